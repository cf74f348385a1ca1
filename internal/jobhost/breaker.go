package jobhost

import (
	"sync"
	"time"
)

const (
	// openAfterFailing is how long questions must have failed before no further ones are asked.
	openAfterFailing = 300 * time.Millisecond
	// questionInterval is the time between two questions that are asked nevertheless.
	questionInterval = 200 * time.Millisecond
)

// breaker is a circuit breaker of questions to the leader, which change nothing, so that any of them may find out whether it answers again.
type breaker struct {
	lock         sync.Mutex
	firstFailure time.Time // time of the first failure since the last success; zero when there was none
	lastProbe    time.Time // time of the last question since then that was asked nevertheless
}

// allow reports whether a question may be asked.
func (b *breaker) allow(now time.Time) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.firstFailure.IsZero() || now.Sub(b.firstFailure) < openAfterFailing {
		return true
	}
	if now.Sub(b.lastProbe) < questionInterval {
		return false
	}
	b.lastProbe = now
	return true
}

// record records the outcome of a question; a success closes the breaker.
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
