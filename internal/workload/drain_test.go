package workload_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// pairs is a lasting step of two tasks on each of n workers, of which one may be unavailable.
func pairs(n int) jaybarrow.Step {
	s := lasting(2 * n)
	s.MaxPerWorker = 2
	return s
}

// filled returns a harness with n workers, each with two tasks of one lasting step at work, and the starts of the tasks.
func filled(t *testing.T, n int) (*harness, []workload.StartRun) {
	h := newHarness(t)
	for i := range n {
		h.addWorker(workerName(i))
	}
	h.addJob("lasting", pairs(n))
	s := h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, len(s), 2*n)
	h.reportAll(s, n)
	return h, s
}

func workerName(n int) jaybarrow.WorkerID { return jaybarrow.WorkerID(fmt.Sprintf("w%d", n)) }

// reportAll delivers a report of each of the first n workers, with all of its runs at work.
func (h *harness) reportAll(s []workload.StartRun, n int) {
	h.Helper()
	for i := range n {
		h.report(workerName(i), runReports(s, workerName(i), 100))
	}
}

// Guards against a pool that starts nothing any more (shared/wave-hold): a wave over all of its hosts but one keeps them free although two
// tasks of a step on each of them, of which one may be away, have no other place, and then the last host crashes.
func TestWorkersThatCannotBeEmptiedAreNotHeld(t *testing.T) {
	h, s := filled(t, 5)
	for i := range 4 {
		h.drain(workerName(i), jaybarrow.ObstacleNoRoom)
	}
	h.advance(h.settings.Lease)
	h.reportAll(s, 4)
	h.missReport("w4")
	h.addJobOf("crews", "quick", tasks(2, 3500))
	assert.Equal(t, h.startsOf("quick"), 2)
}

// Guards against a wave that waits for ever once a host has joined that can take the tasks.
func TestAWorkerIsDrainedOnceRoomAppears(t *testing.T) {
	h, s := filled(t, 3)
	h.drain("w0", jaybarrow.ObstacleNoRoom)
	assert.Equal(t, obstacles(h)["w0"], jaybarrow.ObstacleNoRoom)
	h.addWorker("w3")
	h.advance(time.Second)
	h.reportAll(s, 4)
	assert.Equal(t, obstacles(h)["w0"], jaybarrow.DrainObstacle(""), "it is not tried again")
	h.drain("w0", "")
	assert.Equal(t, len(h.plan().Stops), 1, "one of its tasks moves at a time")
}

// obstacles returns the obstacle of each worker in the pool's load.
func obstacles(h *harness) map[jaybarrow.WorkerID]jaybarrow.DrainObstacle {
	out := make(map[jaybarrow.WorkerID]jaybarrow.DrainObstacle)
	for _, w := range h.pool.Load(h.now).Workers {
		out[w.ID] = w.Obstacle
	}
	return out
}

// Guards against a worker that is kept free after the room has gone that its tasks were to move to.
func TestAHoldIsGivenUpOnceTheRoomIsGone(t *testing.T) {
	h, s := filled(t, 3)
	h.addWorker("w3")
	h.drain("w0", "")
	h.missReport("w3")
	for range 3 {
		h.advance(time.Second)
		h.reportAll(s, 3)
		h.plan()
	}
	assert.DeepEqual(t, h.givenUp, []givenUpHold{{"w0", jaybarrow.ObstacleNoRoom}}, allowUnexported)
	assert.Equal(t, obstacles(h)["w0"], jaybarrow.ObstacleNoRoom)
}

// Guards against waiting work whose only place is a worker that is kept free: the other ones have crashed, are ejected, fill up with lasting
// tasks or lack the label that it requires.
func TestAHoldIsGivenUpForWorkThatHasNoOtherPlace(t *testing.T) {
	cases := []struct {
		name string
		lose func(h *harness) []workload.StartRun // returns starts of further runs
		work jaybarrow.Step
	}{
		{"the others are silent", func(h *harness) []workload.StartRun { h.missReport("w1"); return nil }, tasks(1, 1000)},
		{"a lasting task while the others are silent", func(h *harness) []workload.StartRun { h.missReport("w1"); return nil }, lasting(1)},
		{"the others do not report in time", func(h *harness) []workload.StartRun { h.quiet = "w1"; return nil }, tasks(1, 1000)},
		{"the others refuse starts", func(h *harness) []workload.StartRun { h.refusing = "w1"; return nil }, tasks(1, 1000)},
		{"the others are full of lasting tasks", func(h *harness) []workload.StartRun {
			full := lasting(1)
			full.Demand.CPU = 9500
			h.addJob("full", full)
			return h.planAndStart(jaybarrow.StartDone)
		}, tasks(1, 1000)},
		{"the others lack the label", func(*harness) []workload.StartRun { return nil }, func() jaybarrow.Step {
			s := tasks(1, 1000)
			s.Requires = "fast"
			return s
		}()},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("w0", "fast")
			h.addWorker("w1")
			h.addJob("long", tasks(1, 2000))
			long := h.planAndStart(jaybarrow.StartDone)
			assert.Equal(t, long[0].Worker.ID, jaybarrow.WorkerID("w0"))
			h.drain("w0", "")
			runs := append(long, c.lose(h)...)
			h.addJobOf("crews", "quick", c.work)
			started := false
			for range 60 {
				h.advance(100 * time.Millisecond)
				h.report("w0", runReports(runs, "w0", 10+jaybarrow.Percent(h.now.UnixMilli()/100%80)))
				if h.quiet != "w1" && len(h.missed) == 0 {
					h.report("w1", runReports(runs, "w1", 100))
				}
				for _, s := range h.plan().Starts {
					outcome := jaybarrow.StartDone
					if s.Worker.ID == h.refusing {
						outcome = jaybarrow.StartNoCapacity
					}
					h.pool.HandleStartOutcome(s, outcome, h.now)
					started = started || s.Task.Job == "quick" && s.Worker.ID == "w0"
				}
			}
			assert.Assert(t, started, "the waiting task was not started on the worker that was kept free")
		})
	}
}

// Guards against the end of a wave's progress: a worker that is kept free is not given back to tasks that others can take, however many wait,
// nor to the lasting task that was stopped on it for its maintenance.
func TestAHoldIsKeptWhileOthersServe(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w0")
	h.addWorker("w1")
	h.addJob("lasting", lasting(2))
	s := h.planAndStart(jaybarrow.StartDone)
	h.reportAll(s, 2)
	h.drain("w0", "")
	for n := range 40 {
		h.addJobOf("crews", jaybarrow.JobID(fmt.Sprintf("quick-%d", n)), tasks(1, 4000))
	}
	stopped := false
	for range 50 {
		h.advance(100 * time.Millisecond)
		h.report("w1", runReports(s, "w1", 100))
		if !stopped {
			h.report("w0", runReports(s, "w0", 100))
		}
		for _, stop := range h.planStops() {
			assert.Equal(t, stop.Worker.ID, jaybarrow.WorkerID("w0"))
			stopped = true
			h.pool.HandleStopOutcome(stop, true, h.now)
			h.report("w0", nil, jaybarrow.EndReport{Number: 1, Task: stop.Task, Run: stop.Run, Kind: jaybarrow.EndStopped})
		}
	}
	assert.Assert(t, stopped, "the worker was not emptied")
	assert.Equal(t, len(h.givenUp), 0)
	assert.Assert(t, h.pool.Reserve("w0"), "its maintenance cannot begin")
}
