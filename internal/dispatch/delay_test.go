package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow/internal/dispatch"
)

// starts records n starts, each with the delay, 10 ms apart, and returns the time after them.
func starts(d *dispatch.Delay, now time.Time, n int, took time.Duration) time.Time {
	for range n {
		now = now.Add(10 * time.Millisecond)
		d.Observe(now, took)
	}
	return now
}

// Guards against a delay that counts while the store answers as usual, which would make jobs late and refused that are in time.
func TestAUsualDelayCountsAsNone(t *testing.T) {
	var d dispatch.Delay
	now := time.Unix(1000, 0)
	assert.Equal(t, d.Value(now), time.Duration(0), "nothing was started")
	now = starts(&d, now, 1000, 8*time.Millisecond)
	assert.Equal(t, d.Value(now), time.Duration(0))
	d.Observe(now, 400*time.Millisecond)
	assert.Equal(t, d.Value(now), time.Duration(0), "a single start waited")
	now = starts(&d, now, 1000, 49*time.Millisecond)
	assert.Equal(t, d.Value(now), time.Duration(0))
}

// Load pattern: the store turns slow and fast again. Guards against a delay that does not follow it, and against one that outlives it.
func TestTheDelayFollowsASlowStore(t *testing.T) {
	const slow = 300 * time.Millisecond
	var d dispatch.Delay
	now := starts(&d, time.Unix(1000, 0), 100, 8*time.Millisecond)
	now = starts(&d, now, 48, slow)
	assert.Assert(t, d.Value(now) > slow*9/10 && d.Value(now) <= slow, "%v", d.Value(now))
	assert.Equal(t, d.Value(now.Add(6*time.Second)), time.Duration(0), "no start in 6 s")
	now = starts(&d, now, 48, 8*time.Millisecond)
	assert.Equal(t, d.Value(now), time.Duration(0))
}

// Guards against a pool that was idle for long and begins with the delay of another time.
func TestAnIdlePoolBeginsAnew(t *testing.T) {
	var d dispatch.Delay
	now := starts(&d, time.Unix(1000, 0), 100, 300*time.Millisecond)
	now = now.Add(time.Minute)
	d.Observe(now, 8*time.Millisecond)
	assert.Equal(t, d.Value(now), time.Duration(0))
}
