package permit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow/internal/allotment"
)

// Guards against spending the budget on the return of idle permits, or on later writes, while more urgent ones wait, and against
// a write that is no longer due but blocks the others.
func TestWritesGoByUrgencyThenByAge(t *testing.T) {
	now := time.Unix(1000, 0)
	queue := newWriteQueue(4, 0)
	spent, idle, early, late, starved := &holding{id: "a"}, &holding{id: "b"}, &holding{id: "c"}, &holding{id: "d"}, &holding{id: "e"}
	for range 2 {
		assert.Assert(t, queue.take(now, spent, allotment.UrgencyIdle))
	}
	assert.Assert(t, !queue.take(now, idle, allotment.UrgencyIdle), "half of the budget is kept for demand")
	for range 2 {
		assert.Assert(t, queue.take(now, spent, allotment.UrgencyDemand))
	}
	for i, w := range []struct {
		h       *holding
		urgency allotment.Urgency
	}{{early, allotment.UrgencyDemand}, {late, allotment.UrgencyDemand}, {starved, allotment.UrgencyStarved}} {
		assert.Assert(t, !queue.take(now.Add(time.Duration(i)*time.Millisecond), w.h, w.urgency))
	}
	queue.remove(late)
	now = now.Add(500 * time.Millisecond) // two tokens
	assert.Assert(t, !queue.take(now, early, allotment.UrgencyDemand), "a more urgent write waits")
	next, wait := queue.next(now)
	assert.Assert(t, next == starved && wait == 0)
	assert.Assert(t, queue.take(now, starved, allotment.UrgencyStarved))
	assert.Assert(t, queue.take(now, early, allotment.UrgencyDemand))
	next, wait = queue.next(now)
	assert.Assert(t, next == idle && wait == 500*time.Millisecond, "%v", wait)
}

// Guards against a minor write that waits for ever behind writes for larger demand.
func TestMinorWriteRanksAsDemandAfterDelay(t *testing.T) {
	now := time.Unix(1000, 0)
	queue := newWriteQueue(2, 0)
	spent, small, large := &holding{id: "a"}, &holding{id: "b"}, &holding{id: "c"}
	for range 2 {
		assert.Assert(t, queue.take(now, spent, allotment.UrgencyDemand))
	}
	assert.Assert(t, !queue.take(now, small, allotment.UrgencyMinor))
	now = now.Add(10 * time.Millisecond)
	assert.Assert(t, !queue.take(now, large, allotment.UrgencyDemand))
	next, _ := queue.next(now)
	assert.Assert(t, next == large)
	next, _ = queue.next(now.Add(minorWriteDelay))
	assert.Assert(t, next == small)
}
