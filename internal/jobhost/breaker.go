package jobhost

import (
	"sync"
	"time"
)

const (
	// openAfterFailing is how long writes must have failed, directly and through the leader, before they are refused without an
	// attempt.
	openAfterFailing = 300 * time.Millisecond
	// probeInterval is the time between two probes, writes that are tried while the others are refused. It allows a few probes in
	// the time that a refused caller waits before it retries.
	probeInterval = 200 * time.Millisecond
)

// breaker is a circuit breaker that refuses writes while the store accepts none. A write that was not tried certainly has no
// effect, so its caller can safely retry; a write without an answer may have been stored.
type breaker struct {
	lock         sync.Mutex
	firstFailure time.Time // time of the first failure since the last success; zero when there was none
	lastProbe    time.Time // time of the last probe since then
}

// allow reports whether a write may be tried.
func (b *breaker) allow(now time.Time) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.firstFailure.IsZero() || now.Sub(b.firstFailure) < openAfterFailing {
		return true
	}
	if now.Sub(b.lastProbe) < probeInterval {
		return false
	}
	b.lastProbe = now
	return true
}

// record records the outcome of a write; a success closes the breaker.
func (b *breaker) record(now time.Time, ok bool) {
	b.lock.Lock()
	defer b.lock.Unlock()
	switch {
	case ok:
		b.firstFailure, b.lastProbe = time.Time{}, time.Time{}
	case b.firstFailure.IsZero():
		b.firstFailure = now
	}
}
