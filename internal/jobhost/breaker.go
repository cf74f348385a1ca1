package jobhost

import (
	"sync"
	"time"
)

const (
	// breakAfter is how long writes must have failed, directly and through the leader, before they are refused untried.
	breakAfter = 300 * time.Millisecond
	// probeEvery is how often one of them is tried meanwhile: a few tries in the time that a refused caller waits.
	probeEvery = 200 * time.Millisecond
)

// breaker refuses writes while the store does not take any. A write that was not tried certainly has no effect, so its caller can be
// told to come back; one that got no answer may have been stored.
type breaker struct {
	lock   sync.Mutex
	failed time.Time // when the first failure since the last success was noted; zero: none was
	tried  time.Time // when a write was last let through since
}

// admit reports whether a write may be tried.
func (b *breaker) admit(now time.Time) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.failed.IsZero() || now.Sub(b.failed) < breakAfter {
		return true
	}
	if now.Sub(b.tried) < probeEvery {
		return false
	}
	b.tried = now
	return true
}

// note takes the outcome of a write into account.
func (b *breaker) note(now time.Time, ok bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	switch {
	case ok:
		b.failed, b.tried = time.Time{}, time.Time{}
	case b.failed.IsZero():
		b.failed = now
	}
}
