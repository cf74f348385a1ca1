package outage

import "time"

const (
	// minRetryAfter is when callers may return in the first second of an outage, and the unit of what they are told.
	minRetryAfter = time.Second
	// maxRetryAfter bounds it: most outages end within a few seconds, after which callers should not stay away for long.
	maxRetryAfter = 4 * time.Second
)

// retryAfter returns when the n-th refused caller of an outage that has lasted so long may return.
//
// Load pattern: an outage in which the refused callers of all entry hosts come back each second, also while nothing can be accepted, and all at
// once when it is over. The longer it lasts, the further the callers of one host are spread, in whole seconds, since no smaller unit reaches them.
func retryAfter(lasted time.Duration, n int) time.Duration {
	spread := min(maxRetryAfter, max(minRetryAfter, lasted))
	choices := int((spread + minRetryAfter - 1) / minRetryAfter)
	return time.Duration(1+n%choices) * minRetryAfter
}

// RetryAfter returns when the next refused caller may return; 0 while no write has failed since the last one that succeeded.
func (g *Gate) RetryAfter(now time.Time) time.Duration {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.state.firstFailure.IsZero() {
		return 0
	}
	g.refused++
	return retryAfter(now.Sub(g.state.firstFailure), g.refused)
}
