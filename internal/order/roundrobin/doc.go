// Package roundrobin serves the teams in turn and each team's requests in arrival order; it is a baseline for measurements.
package roundrobin
