package permit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow/internal/allotment"
)

// Guards against a budget that is spent on idle permits, or on writes that came later, while more urgent ones wait; and
// against a write that is no longer due and blocks the others.
func TestTurnsGoByUrgencyThenByAge(t *testing.T) {
	now := time.Unix(1000, 0)
	turns := newTurns(4, 0)
	spent, idle, early, late, starved := &holding{id: "a"}, &holding{id: "b"}, &holding{id: "c"}, &holding{id: "d"}, &holding{id: "e"}
	for range 2 {
		assert.Assert(t, turns.take(now, spent, allotment.UrgencyIdle))
	}
	assert.Assert(t, !turns.take(now, idle, allotment.UrgencyIdle), "half of the budget is left to demand")
	for range 2 {
		assert.Assert(t, turns.take(now, spent, allotment.UrgencyDemand))
	}
	for i, w := range []struct {
		h       *holding
		urgency allotment.Urgency
	}{{early, allotment.UrgencyDemand}, {late, allotment.UrgencyDemand}, {starved, allotment.UrgencyStarved}} {
		assert.Assert(t, !turns.take(now.Add(time.Duration(i)*time.Millisecond), w.h, w.urgency))
	}
	turns.drop(late)
	now = now.Add(500 * time.Millisecond) // two tokens
	assert.Assert(t, !turns.take(now, early, allotment.UrgencyDemand), "a more urgent write waits")
	next, wait := turns.next(now)
	assert.Assert(t, next == starved && wait == 0)
	assert.Assert(t, turns.take(now, starved, allotment.UrgencyStarved))
	assert.Assert(t, turns.take(now, early, allotment.UrgencyDemand))
	next, wait = turns.next(now)
	assert.Assert(t, next == idle && wait == 500*time.Millisecond, "%v", wait)
}

// Guards against a small lack that waits for ever behind larger ones.
func TestSmallLackRanksAsDemandAfterAWhile(t *testing.T) {
	now := time.Unix(1000, 0)
	turns := newTurns(2, 0)
	spent, small, large := &holding{id: "a"}, &holding{id: "b"}, &holding{id: "c"}
	for range 2 {
		assert.Assert(t, turns.take(now, spent, allotment.UrgencyDemand))
	}
	assert.Assert(t, !turns.take(now, small, allotment.UrgencyMinor))
	now = now.Add(10 * time.Millisecond)
	assert.Assert(t, !turns.take(now, large, allotment.UrgencyDemand))
	next, _ := turns.next(now)
	assert.Assert(t, next == large)
	next, _ = turns.next(now.Add(minorWait))
	assert.Assert(t, next == small)
}
