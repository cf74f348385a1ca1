// Package metrics measures waits, run times, errors and received service by team; its size is bounded by the number of
// teams.
package metrics
