package dispatch

import "time"

const (
	// noticeable is the delay from which on it counts. Below it lie the usual times of a write and of a plan, which targets allow for.
	noticeable = 50 * time.Millisecond
	// resolution is what the delay is rounded to, so that what is computed from it can be kept while it changes little.
	resolution = 10 * time.Millisecond
)

// Delay returns how long the dispatch of a step takes, given the time within which the store usually answers a write; 0 while it is not
// noticeable. The time from an assignment to its start is no measure of it: it also holds takeovers, lost answers and the wait for the leader's
// link, which say nothing about the next step.
//
// Load pattern: jobs of several short steps while the store is slow. Each step waits for a write before its tasks are sent, so that jobs which
// count by their run times alone are placed and admitted as if they could be in time.
func Delay(usual time.Duration) time.Duration {
	if usual < noticeable {
		return 0
	}
	return usual.Round(resolution)
}

// Path returns the time that a chain of so many steps takes whose tasks run for the time in all.
func Path(runs time.Duration, steps int, delay time.Duration) time.Duration {
	return runs + time.Duration(steps)*delay
}
