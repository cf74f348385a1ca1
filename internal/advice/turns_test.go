package advice_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/advice"
)

func offer(queue jaybarrow.QueueID, priority int, waits bool) advice.Offer {
	return advice.Offer{Flow: advice.Flow{Pool: "desk", Queue: queue, Waits: waits}, Priority: priority}
}

// take lets the flows have so many turns of their costs and returns how much of the adviser's time each got.
func take(turns *advice.Turns, rounds int, offers []advice.Offer, costs []time.Duration) []time.Duration {
	out := make([]time.Duration, len(offers))
	for range rounds {
		n, ok := turns.Choose(offers, true)
		if !ok {
			break
		}
		turns.Take(offers, n, costs[n])
		out[n] += costs[n]
	}
	return out
}

// Guards against a queue with slow decisions that gets most of the adviser's time, and against one that catches up on time in which it did not wait.
func TestEqualQueuesShareTheTime(t *testing.T) {
	offers := []advice.Offer{offer("slow", 1, false), offer("quick", 1, false)}
	turns := advice.NewTurns()
	costs := []time.Duration{900 * time.Millisecond, 50 * time.Millisecond}
	got := take(turns, 400, offers, costs)
	assert.Assert(t, got[0] < got[1]*11/10 && got[1] < got[0]*11/10, "%v", got)
	take(turns, 100, offers[:1], costs)
	got = take(turns, 100, offers, costs)
	assert.Assert(t, got[1] < got[0]+time.Second, "%v", got)
}

// Guards against patient steps before urgent ones, and against steps that are passed over without end.
func TestUrgentStepsComeFirstWithinLimits(t *testing.T) {
	offers := []advice.Offer{offer("patient", 1, false), offer("urgent", 0, false), offer("waits", 0, true)}
	costs := []time.Duration{decision, decision, decision}
	got := take(advice.NewTurns(), 1000, offers, costs)
	assert.Assert(t, got[1] > 85*time.Second && got[0] > 3*time.Second && got[2] > 3*time.Second, "%v", got)
	n, ok := advice.NewTurns().Choose(offers, false)
	assert.Assert(t, ok && n == 1)
}

// Guards against steps that can start and wait behind one that cannot, which was asked about because nothing else waited at that moment.
func TestAStepThatWaitsForRoomNeedsAnIdleAdviser(t *testing.T) {
	offers := []advice.Offer{offer("waits", 0, true)}
	_, ok := advice.NewTurns().Choose(offers, false)
	assert.Assert(t, !ok)
	_, ok = advice.NewTurns().Choose(offers, true)
	assert.Assert(t, ok)
	_, ok = advice.NewTurns().Choose(nil, true)
	assert.Assert(t, !ok)
}
