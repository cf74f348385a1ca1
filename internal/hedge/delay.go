package hedge

import "time"

const (
	// lostFactor is how many times its usual time a call may take before it counts as lost. Twice covers the variation of a store that is slow.
	lostFactor = 2
	// limitParts is the number of parts of the time limit of which the delay takes one at most, so that a repeated call has as long as the first.
	limitParts = 2
)

// Following returns the settings with a delay that follows the time within which the dependency usually answers, 0 when that is not known. The
// delay is at least that of s, and at most half of the time limit unless that of s is longer.
//
// Load pattern: a store that becomes slow for all of its callers. With a fixed delay every call to it is repeated, which uses up the connections
// and makes the store slower still.
func (s Settings) Following(usual time.Duration) Settings {
	s.Delay = max(s.Delay, min(lostFactor*usual, s.Timeout/limitParts))
	return s
}
