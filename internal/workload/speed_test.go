package workload_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
)

// Guards against jobs that are late because their tasks stay on a slow worker, against new tasks that are sent there, and against
// sound workers that are taken for slow ones.
func TestTasksLeaveASlowWorker(t *testing.T) {
	cases := []struct {
		name     string
		progress jaybarrow.Percent // of each task, 300 ms after the start; they are expected to take 500 ms
		room     bool              // on another worker
		stops    int
		rests    bool
	}{
		{"as expected", 60, true, 0, false},
		{"twice as long", 30, true, 0, false},
		{"six times as long", 10, true, 4, true},
		{"six times as long, and no room elsewhere", 10, false, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.worker("w1")
			b.add("j", tasks(4, 2000))
			starts := b.start(jaybarrow.StartDone)
			assert.Equal(t, len(starts), 4)
			if c.room {
				b.worker("w2")
			}
			b.wait(300 * time.Millisecond)
			b.report("w1", running(starts, "w1", c.progress))
			if c.room {
				b.report("w2", nil)
			}
			b.plan()
			out := b.plan()
			assert.Equal(t, len(b.stopped), c.stops)
			// A task that only w1 has room for shows whether it rests.
			b.add("next", tasks(1, 1000))
			if !c.room {
				out = b.plan()
				assert.Equal(t, len(out.Starts) == 0, c.rests)
			}
			// A task is taken from a slow worker once.
			for _, s := range b.stopped {
				b.pool.Stopped(s, true, b.now)
			}
			if c.stops > 0 {
				var ended []jaybarrow.EndReport
				for _, s := range starts {
					ended = append(ended, b.end(s, jaybarrow.EndStopped))
				}
				b.report("w1", nil, ended...)
				again := b.start(jaybarrow.StartDone)
				for _, s := range again {
					assert.Equal(t, s.Worker.ID, jaybarrow.WorkerID("w2"))
				}
				before := len(b.stopped)
				b.wait(300 * time.Millisecond)
				b.report("w2", running(again, "w2", c.progress))
				b.plan()
				assert.Equal(t, len(b.stopped), before)
			}
		})
	}
}

// Guards against a queue whose estimates are far too low making every worker look slow.
func TestEstimatesAreCorrectedByWhatTasksTake(t *testing.T) {
	b := newBench(t)
	b.worker("w1")
	for n := range 6 {
		b.add(jaybarrow.JobID(fmt.Sprint(n)), tasks(1, 1000))
		starts := b.start(jaybarrow.StartDone)
		assert.Equal(t, len(starts), 1)
		b.wait(2 * time.Second) // four times the estimate
		b.report("w1", nil, b.end(starts[0], jaybarrow.EndDone))
		b.plan()
	}
	b.wait(10 * time.Second)
	b.report("w1", nil)
	b.add("j", tasks(4, 1000))
	starts := b.start(jaybarrow.StartDone)
	b.worker("w2")
	b.wait(400 * time.Millisecond)
	b.report("w1", running(starts, "w1", 20))
	b.report("w2", nil)
	b.plan()
	assert.Equal(t, len(b.stopped), 0)
}
