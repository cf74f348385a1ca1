package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow/internal/dispatch"
	"github.com/jaybarrow/jaybarrow/internal/latency"
)

// Guards against a delay that counts while the store answers as usual, which would make jobs late and refused that are in time.
func TestAUsualDelayCountsAsNone(t *testing.T) {
	assert.Equal(t, dispatch.Delay(0), time.Duration(0), "nothing was written")
	assert.Equal(t, dispatch.Delay(8*time.Millisecond), time.Duration(0))
	assert.Equal(t, dispatch.Delay(49*time.Millisecond), time.Duration(0))
	assert.Equal(t, dispatch.Delay(292*time.Millisecond), 290*time.Millisecond)
}

// Load pattern: the store turns slow and fast again, and loses some answers. Guards against a delay that does not follow it, against one that
// outlives it, and against one that follows a few slow answers, such as those after a takeover.
func TestTheDelayFollowsASlowStore(t *testing.T) {
	const slow = 300 * time.Millisecond
	commits, now := latency.New(), time.Unix(1000, 0)
	answers := func(n int, took time.Duration) time.Duration {
		for range n {
			now = now.Add(10 * time.Millisecond)
			commits.Observe(now, took)
		}
		return dispatch.Delay(commits.Usual(now))
	}
	assert.Equal(t, answers(100, 8*time.Millisecond), time.Duration(0))
	assert.Equal(t, answers(3, 1500*time.Millisecond), time.Duration(0))
	assert.Equal(t, answers(48, slow), slow)
	assert.Equal(t, dispatch.Delay(commits.Usual(now.Add(6*time.Second))), time.Duration(0), "no answer in 6 s")
	assert.Equal(t, answers(48, 8*time.Millisecond), time.Duration(0))
}

// Guards against a chain whose steps do not each wait for the store.
func TestEachStepOfAChainIsDispatched(t *testing.T) {
	assert.Equal(t, dispatch.Path(time.Second, 3, 300*time.Millisecond), 1900*time.Millisecond)
	assert.Equal(t, dispatch.Path(time.Second, 0, 300*time.Millisecond), time.Second)
}
