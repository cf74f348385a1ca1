package jobhost

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
)

const (
	// writeInterval is the time between two jobs of one entry host, and repeatDelay that before the repeat of an unanswered write.
	writeInterval = 400 * time.Millisecond
	repeatDelay   = 120 * time.Millisecond
)

// suspectWrites makes a write in each writeInterval, with a repeat if it is not answered within repeatDelay. It returns how many of the calls would
// have gone through the leader while the store answers after answerTime.
func suspectWrites(h *storeHealth, now time.Time, writes int, answerTime time.Duration) (suspect, calls int) {
	type call struct {
		ends   time.Time
		finish func(time.Time, bool)
	}
	var open []call
	attempt := func(t time.Time) {
		calls++
		if h.isSuspect(t) {
			suspect++
			return
		}
		open = append(open, call{t.Add(answerTime), h.startCall(t)})
	}
	for n := range writes {
		began := now.Add(time.Duration(n) * writeInterval)
		for t := began; t.Before(began.Add(writeInterval)); t = t.Add(time.Millisecond) {
			for len(open) > 0 && !t.Before(open[0].ends) {
				open[0].finish(t, true)
				open = open[1:]
			}
			if t.Equal(began) || t.Equal(began.Add(repeatDelay)) && answerTime > repeatDelay {
				attempt(t)
			}
		}
	}
	return suspect, calls
}

// Load pattern: a store that takes 292 ms for every call. Its writes must not go through the leader, whose connections they would use up.
func TestAStoreThatIsSlowForAllIsNotUnresponsive(t *testing.T) {
	h, now := newStoreHealth(), time.Unix(1000, 0)
	suspect, _ := suspectWrites(h, now, 5, 4*time.Millisecond)
	assert.Equal(t, suspect, 0)
	suspect, calls := suspectWrites(h, now.Add(5*writeInterval), 20, 292*time.Millisecond)
	assert.Equal(t, calls, 40)
	assert.Assert(t, suspect <= 4, "%d of %d calls go through the leader", suspect, calls)
}

// Guards against a change while the store answers as usual: a lost answer is noticed after 100 ms, as before, and a fast store has no effect.
func TestAnUnansweredCallIsNoticedAsBefore(t *testing.T) {
	for _, usual := range []time.Duration{0, time.Millisecond, 4 * time.Millisecond, 33 * time.Millisecond} {
		assert.Equal(t, unresponsiveAfter(usual), 100*time.Millisecond)
	}
	assert.Equal(t, unresponsiveAfter(292*time.Millisecond), 876*time.Millisecond)
	assert.Equal(t, unresponsiveAfter(time.Minute), time.Second)
	h, now := newStoreHealth(), time.Unix(1000, 0)
	suspectWrites(h, now, 5, 4*time.Millisecond)
	now = now.Add(5 * writeInterval)
	h.startCall(now)
	assert.Assert(t, !h.isSuspect(now.Add(100*time.Millisecond)))
	assert.Assert(t, h.isSuspect(now.Add(101*time.Millisecond)))
}

// Guards against writes for other entry hosts that take all of the leader's connections to the store, and against one that waits until its
// caller has no time left for the direct way.
func TestWritesForOthersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newForwardedWrites(jaybarrow.SystemClock{}, 2)
		first, ok := f.begin(context.Background())
		assert.Assert(t, ok)
		_, ok = f.begin(context.Background())
		assert.Assert(t, ok)
		began := time.Now()
		_, ok = f.begin(context.Background())
		assert.Assert(t, !ok)
		assert.Equal(t, time.Since(began), forwardedWriteWait)
		time.AfterFunc(forwardedWriteWait/2, first)
		_, ok = f.begin(context.Background())
		assert.Assert(t, ok, "a slot has become free")
	})
}
