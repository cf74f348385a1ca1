package pool_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Guards against a request that is refused long after its deadline, or never, because the process was paused between reading the
// clock and setting the timer for the deadline.
func TestPauseBeforeTheTimerIsSet(t *testing.T) {
	run, unblock := blockingWorker()
	f := newFixture(t, 1, run)
	defer f.scheduler.Close()
	defer close(unblock)
	var pausing atomic.Bool
	f.clock.onAfter = func() {
		if pausing.CompareAndSwap(true, false) {
			f.clock.advance(time.Minute)
		}
	}
	f.submit(f.request("a", "busy", 0))
	f.eventually("one request runs", func() bool { return f.load().Running == 1 })
	pausing.Store(true)
	waiting := f.request("a", "1", time.Minute)
	assertError(t, f.await(f.submit(waiting)).err, jaybarrow.KindDeadlinePassed, jaybarrow.EffectNotRun)
}
