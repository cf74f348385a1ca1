// Package experiment drives the decision code (schedule, orders, placements, estimate) with generated, seeded events on a
// virtual clock, and measures shares, bursts and placement against baselines. It has no network and no processes.
package experiment
