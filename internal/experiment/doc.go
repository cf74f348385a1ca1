// Package experiment drives the decision code (schedule, orders, placements, estimate, balance, drain) with events generated from
// a seed on a virtual clock, and compares it with baselines for shares, bursts, placement and moves of hosts. It uses no network
// and starts no processes.
package experiment
