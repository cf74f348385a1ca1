package dispatch

import "time"

const (
	// smoothing is the number of starts over which the delay is smoothed: those of a round or two, so that it follows a store that turns slow
	// within a second, and no single start that waited for its worker decides.
	smoothing = 16
	// noticeable is the delay from which on it counts. Below it lie the usual times of a write and of a plan, which targets allow for.
	noticeable = 50 * time.Millisecond
	// resolution is what the delay is rounded to, so that what is computed from it can be kept while it changes little.
	resolution = 10 * time.Millisecond
	// maxAge is the age of the last start above which it says nothing about the present any more.
	maxAge = 5 * time.Second
)

// Delay is the time that recently passed between the assignment of a pool's tasks and the sending of their start orders. It is not safe for
// concurrent use.
//
// Load pattern: jobs of several short steps while the store is slow. Each step waits for a write before its tasks are sent, which takes longer than
// the tasks run, so that jobs which count by their run times alone are placed and admitted as if they could be in time.
type Delay struct {
	smoothed   time.Duration
	observedAt time.Time
}

// Observe records that a start was sent at now, so long after its task was assigned.
func (d *Delay) Observe(now time.Time, took time.Duration) {
	if d.known(now) {
		d.smoothed += (took - d.smoothed) / smoothing
	} else {
		d.smoothed = took / smoothing
	}
	d.observedAt = now
}

// Value returns the smoothed delay; 0 while it is not noticeable or no start was sent lately.
func (d *Delay) Value(now time.Time) time.Duration {
	if !d.known(now) || d.smoothed < noticeable {
		return 0
	}
	return d.smoothed.Round(resolution)
}

// known reports whether a start was sent lately.
func (d *Delay) known(now time.Time) bool {
	return !d.observedAt.IsZero() && now.Sub(d.observedAt) <= maxAge
}

// Path returns the time that a chain of so many steps takes whose tasks run for the time in all.
func Path(runs time.Duration, steps int, delay time.Duration) time.Duration {
	return runs + time.Duration(steps)*delay
}
