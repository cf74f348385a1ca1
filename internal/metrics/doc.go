// Package metrics measures waiting times, response times, errors and received slot time for each team. Its memory is bounded, since
// it measures at most a fixed number of teams on their own.
package metrics
