package jobhost

import (
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow/internal/latency"
)

const (
	// unresponsiveFactor is how many times the time within which most recent answers arrived the store may take for one before writes go
	// through the leader.
	unresponsiveFactor = 3
	// minUnresponsive is the least such time: twenty times the store's usual answer time.
	minUnresponsive = 100 * time.Millisecond
	// maxUnresponsive is the largest: it leaves a third of the 1.5 s that a caller's write may take for the way through the leader.
	maxUnresponsive = time.Second
	// failureCooldown is how long writes go through the leader after a direct call has failed.
	failureCooldown = 2 * time.Second
)

// unresponsiveAfter returns how long the store may take for one answer before writes go through the leader, given the time within which most of
// its recent answers arrived; 0 means that there were none.
//
// Load pattern: a store that takes 292 ms instead of 4 ms for every call. The leader cannot write faster than the other entry hosts, and with
// all of their writes it becomes the bottleneck. A store that answers other hosts but not this one is slow here only.
func unresponsiveAfter(usual time.Duration) time.Duration {
	return min(maxUnresponsive, max(minUnresponsive, unresponsiveFactor*usual))
}

// storeHealth tracks whether the store answers the direct calls of this entry host, and how fast.
type storeHealth struct {
	answers *latency.Estimator

	lock         sync.Mutex
	inFlight     int       // calls without an answer yet
	lastProgress time.Time // when the first of them started, or the last call ended
	lastFailure  time.Time // time of the last failed call
	failing      bool      // whether the call that ended last has failed
}

func newStoreHealth() *storeHealth { return &storeHealth{answers: latency.New()} }

// isSuspect reports whether a direct call is likely to fail or to stay unanswered.
func (h *storeHealth) isSuspect(now time.Time) bool {
	limit := unresponsiveAfter(h.answers.Usual(now))
	h.lock.Lock()
	defer h.lock.Unlock()
	return h.failing && now.Sub(h.lastFailure) < failureCooldown || h.inFlight > 0 && now.Sub(h.lastProgress) > limit
}

// startCall counts a call as in flight; the returned function must be called with its outcome.
func (h *storeHealth) startCall(startedAt time.Time) func(now time.Time, ok bool) {
	h.lock.Lock()
	defer h.lock.Unlock()
	if h.inFlight == 0 {
		h.lastProgress = startedAt
	}
	h.inFlight++
	return func(now time.Time, ok bool) {
		if ok {
			h.answers.Observe(now, now.Sub(startedAt))
		}
		h.lock.Lock()
		defer h.lock.Unlock()
		h.inFlight--
		h.lastProgress = now
		h.failing = !ok
		if !ok {
			h.lastFailure = now
		}
	}
}
