// Package roundrobin serves the teams in turn and each team's requests by arrival; it is a baseline for measurements.
package roundrobin
