package workload_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// Guards against a record of progress that the store refuses because of its size: the write would be repeated without end, and the pool would
// start nothing more. The job is the widest that is accepted, and its records are the largest that workers can cause.
func TestTheProgressOfTheWidestJobCanBeStored(t *testing.T) {
	h := newHarness(t)
	h.settings.MaxValueBytes = 48 << 10
	h.pool = h.newPool()
	longID := jaybarrow.WorkerID("w-" + strings.Repeat("x", 180))
	h.pool.SetWorker(jaybarrow.Worker{
		ID: longID, Pool: "desk", Address: "192.0.2.1:80", State: jaybarrow.WorkerReady, StartedMs: 1_700_000_000_000,
		Capacity: jaybarrow.Resources{CPU: 1_000_000, Memory: 1_000_000},
	}, h.now)
	h.clocks[longID] = 1000
	h.report(longID, nil)
	h.addJob("wide", tasks(workload.MaxTasks(h.settings.MaxValueBytes), 1))
	largest, began := 0, 0
	for round := 0; h.finished["wide"] == ""; round++ {
		assert.Assert(t, round < 200, "the job is not completed")
		out := h.plan()
		for _, r := range out.Records {
			value, err := r.Encode()
			assert.NilError(t, err)
			largest = max(largest, len(value))
		}
		began = max(began, len(out.Starts))
		var ends []jaybarrow.EndReport
		for _, s := range out.Starts {
			h.pool.HandleStartOutcome(s, jaybarrow.StartDone, h.now)
			end := h.endReport(s, jaybarrow.EndDone)
			if round == 0 {
				// The first ones all have to begin again, from a checkpoint.
				end.Kind, end.Checkpoint = jaybarrow.EndStopped, jaybarrow.Checkpoint(strings.Repeat("c", 128))
			}
			ends = append(ends, end)
		}
		h.report(longID, nil, ends...)
	}
	assert.Assert(t, largest <= h.settings.MaxValueBytes, "%d bytes", largest)
	assert.Equal(t, h.finished["wide"], jaybarrow.JobCompleted)
	assert.Equal(t, began, workload.MaxBegunTasks(h.settings.MaxValueBytes))
}

// Guards against a checkpoint of any size that makes the record of its job too large.
func TestALargeCheckpointIsNotKept(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	h.addJob("j", tasks(1, 1000))
	s := h.planAndStart(jaybarrow.StartDone)
	running := runReports(s, "w1", 10)
	for n, c := range []struct {
		size int
		want int
	}{{16, 16}, {100_000, 16}, {100, 100}} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			running[0].Checkpoint = jaybarrow.Checkpoint(strings.Repeat("c", c.size))
			h.report("w1", running)
			h.pool.HandleStartOutcome(s[0], jaybarrow.StartDone, h.now)
			h.advance(time.Second)
			h.addJob(jaybarrow.JobID(fmt.Sprint("other", n)), tasks(1, 1))
			var kept int
			for _, r := range h.plan().Records {
				if r.Job == "j" {
					kept = len(h.stored(r).Tasks[0].Checkpoint)
				}
			}
			if c.size <= c.want {
				assert.Equal(t, kept, c.want)
			} else {
				assert.Equal(t, kept, 0, "the record has changed")
			}
		})
	}
}

// Guards against other jobs that are refused because of tasks that cannot begin yet.
func TestOnlyTasksThatMayBeginCountAsBacklog(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	h.addJob("wide", tasks(workload.MaxTasks(h.settings.MaxValueBytes), 1))
	most := workload.MaxBegunTasks(h.settings.MaxValueBytes)
	assert.Equal(t, h.pool.Backlog(0, h.now).Tasks, most)
	s := h.planAndStart(jaybarrow.StartDone)
	assert.Assert(t, len(s) > 0 && len(s) < most, "%d tasks have room", len(s))
	assert.Equal(t, h.pool.Backlog(0, h.now).Tasks, most-len(s))
	h.report("w1", nil, h.endReport(s[0], jaybarrow.EndStopped))
	assert.Equal(t, h.pool.Backlog(0, h.now).Tasks, most-len(s)+1)
}
