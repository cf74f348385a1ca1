// Package experiment drives the decision code (schedule, orders, placements, estimate, balance, drain) with generated, seeded
// events on a virtual clock, and measures shares, bursts, placement and moves against baselines. It has no network and no
// processes.
package experiment
