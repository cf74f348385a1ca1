package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// newTakeover returns a harness whose scheduler finds a stored job with two runs on the worker w1.
func newTakeover(t *testing.T) *harness {
	h := newHarness(t)
	h.registerWorker("w1")
	j := &jaybarrow.Job{ID: "j", Queue: "match", Pool: "desk", Team: "trail", Steps: []jaybarrow.Step{tasks(2, 1000)}, AcceptedMs: h.now.UnixMilli()}
	h.pool.AddJob(j, &workload.Record{State: jaybarrow.JobRunning, Tasks: []workload.TaskRecord{
		{Run: 4, Worker: "w1"}, {Run: 2, Worker: "w1"},
	}}, h.now)
	return h
}

func storedRun(index jaybarrow.TaskIndex, run jaybarrow.RunNumber) workload.StartRun {
	return workload.StartRun{
		Worker: jaybarrow.Worker{ID: "w1"}, Task: jaybarrow.TaskRef{Job: "j", Index: index}, Run: run,
	}
}

// Guards against a new leader that restarts or stops tasks that are running or have ended on their worker.
func TestASuccessorAdoptsRunningTasks(t *testing.T) {
	h := newTakeover(t)
	assert.Equal(t, len(h.plan().Starts), 0, "nothing starts before the worker has reported")
	runs := []workload.StartRun{storedRun(0, 4)}
	h.report("w1", runReports(runs, "w1", 30), h.endReport(storedRun(1, 2), jaybarrow.EndDone))
	out := h.plan()
	assert.Equal(t, len(out.Starts)+len(out.Stops), 0)
	assert.Equal(t, h.used, jaybarrow.Resources{CPU: 1000, Memory: 100})
	h.report("w1", nil, h.endReport(runs[0], jaybarrow.EndDone))
	h.plan()
	assert.Equal(t, h.finished["j"], jaybarrow.JobCompleted)
}

// Guards against tasks that are lost because their start never reached the worker: once the worker has reported under the new
// fence, the old start cannot take effect.
func TestASuccessorRestartsTasksThatTheWorkerDoesNotHave(t *testing.T) {
	h := newTakeover(t)
	h.report("w1", runReports([]workload.StartRun{storedRun(0, 4)}, "w1", 30))
	s := h.plan().Starts
	assert.Equal(t, len(s), 1)
	assert.Equal(t, s[0].Run, jaybarrow.RunNumber(3))
}

// Guards against a second run while the first may still run behind a partition, under the lease that the previous leader granted.
func TestASuccessorWaitsForTheLeaseOfAnUnreachableWorker(t *testing.T) {
	h := newTakeover(t)
	h.addWorker("w2")
	started := h.now
	for {
		h.missReport("w1")
		h.advance(h.settings.Lease / 20)
		h.report("w2", nil)
		if n := len(h.plan().Starts); n > 0 {
			assert.Equal(t, n, 2)
			break
		}
	}
	took := h.now.Sub(started)
	assert.Assert(t, took > h.settings.Lease, "after %v", took)
	assert.Assert(t, took < h.settings.Lease*5/4, "after %v", took)
}

// Guards against reported runs without a record, such as those of an ended job, that keep running.
func TestUnknownRunsAreStopped(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	h.report("w1", []jaybarrow.RunReport{{Task: jaybarrow.TaskRef{Job: "gone"}, Run: 3}})
	out := h.plan()
	assert.Equal(t, len(out.Stops), 1)
	assert.Equal(t, out.Stops[0].Run, jaybarrow.RunNumber(3))
}

// Guards against lasting tasks that are stopped for maintenance while another task of their step is unavailable, because its
// worker is unreachable or it is starting up, or while no other worker has room.
func TestLastingTasksLeaveAReservedWorkerOneAtATime(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(h *harness, s []workload.StartRun)
		stops   int
	}{
		{"all available", func(h *harness, s []workload.StartRun) { h.report("w2", runReports(s, "w2", 100)) }, 1},
		{"one is starting up", func(h *harness, s []workload.StartRun) { h.report("w2", runReports(s, "w2", 50)) }, 0},
		{"one is unreachable", func(h *harness, s []workload.StartRun) {
			h.report("w2", runReports(s, "w2", 100))
			h.missReport("w2")
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("w1")
			h.addWorker("w2")
			h.addJob("j", lasting(2))
			s := h.planAndStart(jaybarrow.StartDone)
			assert.Equal(t, len(s), 2)
			h.addWorker("w3")
			h.report("w1", runReports(s, "w1", 100))
			c.prepare(h, s)
			h.drain("w1", "")
			assert.Equal(t, len(h.plan().Stops), c.stops)
		})
	}
	t.Run("no room on another worker", func(t *testing.T) {
		h := newHarness(t)
		h.addWorker("w1")
		h.addWorker("w2")
		h.addJob("j", lasting(2))
		s := h.planAndStart(jaybarrow.StartDone)
		h.report("w1", runReports(s, "w1", 100))
		h.report("w2", runReports(s, "w2", 100))
		h.drain("w1", "")
		assert.Equal(t, len(h.plan().Stops), 0)
	})
}

// Guards against lasting tasks that move from one host of a maintenance wave to the next.
func TestLastingTasksAvoidHostsDueForMaintenance(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	h.addJob("short", tasks(1, 1000))
	assert.Equal(t, len(h.planAndStart(jaybarrow.StartDone)), 1)
	h.addWorker("w2")
	h.pool.SetMaintenanceDue(map[jaybarrow.WorkerID]bool{"w1": true})
	h.addJob("j", lasting(1))
	s := h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, len(s), 1)
	assert.Equal(t, s[0].Worker.ID, jaybarrow.WorkerID("w2"))
}

// Guards against work that is run again although it had run: a worker is silent until its lease has ended, and then lists a task that it
// completed before.
func TestATaskThatASilentWorkerCompletedIsNotStartedAgain(t *testing.T) {
	cases := []struct {
		name  string
		spare bool // whether another worker has room, so that the task is started again before the worker returns
	}{
		{"waiting for room", false},
		{"running elsewhere", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("w1")
			h.addJob("j", tasks(1, 8000))
			starts := h.planAndStart(jaybarrow.StartDone)
			assert.Equal(t, len(starts), 1)
			if c.spare {
				h.addWorker("w2")
			}
			h.missReport("w1")
			for range 12 {
				h.advance(h.settings.Lease / 10)
				if c.spare {
					h.report("w2", nil)
				}
				h.plan()
			}
			h.report("w1", nil, h.endReport(starts[0], jaybarrow.EndDone))
			round := h.plan()
			assert.Equal(t, len(round.Starts), 0)
			if !c.spare {
				assert.Equal(t, h.finished["j"], jaybarrow.JobCompleted)
				return
			}
			assert.Equal(t, len(round.Stops), 1, "the second run must be stopped")
			h.pool.HandleStopOutcome(round.Stops[0], true, h.now)
			stopped := round.Stops[0]
			h.ends["w2"]++
			h.report("w2", nil, jaybarrow.EndReport{Number: h.ends["w2"], Task: stopped.Task, Run: stopped.Run, Kind: jaybarrow.EndStopped})
			assert.Equal(t, len(h.plan().Starts), 0)
			assert.Equal(t, h.finished["j"], jaybarrow.JobCompleted)
		})
	}
}

// Guards against a takeover that reads what no one needs any more: the record that is kept of an ended job has its team and queue only,
// and a successor that loads it knows the job as ended.
func TestTheStubOfAnEndedJobIsLoadedAsEnded(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	h.addJob("j", tasks(1, 1000))
	starts := h.planAndStart(jaybarrow.StartDone)
	h.report("w1", nil, h.endReport(starts[0], jaybarrow.EndDone))
	round := h.plan()
	assert.Equal(t, len(round.Records), 1)
	stub := round.Records[0].Accepted
	assert.Assert(t, stub != nil)
	assert.Equal(t, len(stub.Steps), 0)
	assert.Equal(t, stub.Spec, "")
	successor := newHarness(t)
	successor.addWorker("w1")
	successor.pool.AddJob(stub, &round.Records[0].Record, successor.now)
	status := successor.pool.Status("j")
	assert.Equal(t, status.State, jaybarrow.JobCompleted)
	assert.Equal(t, status.Team, jaybarrow.TeamID("trail"))
	assert.Equal(t, len(successor.plan().Starts), 0)
}

// Guards against a job that is shown as failed before a task has used up its attempts, because the leader that has taken over does not know
// the job's queue: it was removed, or its configuration has not arrived here yet.
func TestAJobKeepsItsPolicyWithoutItsQueue(t *testing.T) {
	h := newHarness(t)
	h.unconfigured = true
	h.addWorker("w1")
	h.addWorker("w2")
	h.addWorker("w3")
	job := &jaybarrow.Job{
		ID: "j", Queue: "match", Pool: "desk", Team: "trail", Steps: []jaybarrow.Step{tasks(1, 1000)}, AcceptedMs: h.now.UnixMilli(),
		Policy: &jaybarrow.QueuePolicy{MaxAttempts: 3, Stretch: 2, Target: time.Second},
	}
	h.pool.AddJob(job, &workload.Record{State: jaybarrow.JobRunning, Tasks: []workload.TaskRecord{{Run: 1, Failures: 1}}}, h.now)
	s := h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, len(s), 1)
	h.report(s[0].Worker.ID, nil, h.endReport(s[0], jaybarrow.EndFailed))
	s = h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, len(s), 1, "two of three attempts have failed")
	h.report(s[0].Worker.ID, nil, h.endReport(s[0], jaybarrow.EndFailed))
	h.plan()
	assert.Equal(t, h.finished["j"], jaybarrow.JobFailed)
}

// Guards against decisions by the policy that was in force when the job was loaded.
func TestAJobFollowsThePolicyOfItsQueue(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	h.addWorker("w2")
	h.addJob("j", tasks(1, 1000))
	s := h.planAndStart(jaybarrow.StartDone)
	h.maxAttempts = 3
	h.pool.UpdatePolicies(h.now)
	h.report(s[0].Worker.ID, nil, h.endReport(s[0], jaybarrow.EndFailed))
	s = h.planAndStart(jaybarrow.StartDone)
	h.report(s[0].Worker.ID, nil, h.endReport(s[0], jaybarrow.EndFailed))
	assert.Equal(t, len(h.planAndStart(jaybarrow.StartDone)), 1, "two of three attempts have failed")
	h.unconfigured = true
	h.pool.UpdatePolicies(h.now)
	h.plan()
	assert.Equal(t, h.finished["j"], jaybarrow.JobState(""))
	h.unconfigured, h.maxAttempts = false, 2
	h.pool.UpdatePolicies(h.now)
	h.plan()
	assert.Equal(t, h.finished["j"], jaybarrow.JobFailed)
}

// Guards against a wave that never ends because its lasting tasks cannot run on another worker: they may be away one at a time, and start again
// after the maintenance.
func TestLastingTasksWithoutRoomElsewhereAreStoppedOneAtATime(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	h.addWorker("w2")
	h.addWorker("w3")
	h.addJob("j", lasting(3))
	s := h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, len(s), 3)
	report := func() {
		for _, id := range []jaybarrow.WorkerID{"w1", "w2", "w3"} {
			h.report(id, runReports(s, id, 100))
		}
	}
	report()
	h.drain("w1", "")
	h.drain("w2", jaybarrow.ObstacleOthersAway)
	assert.Equal(t, len(h.plan().Stops), 0, "another worker may have room soon")
	h.advance(4 * time.Second)
	report()
	out := h.plan()
	assert.Equal(t, len(out.Stops), 1)
	h.pool.HandleStopOutcome(out.Stops[0], true, h.now)
	stopped := out.Stops[0].Worker.ID
	for _, start := range s {
		if start.Worker.ID == stopped {
			h.report(stopped, nil, h.endReport(start, jaybarrow.EndStopped))
		}
	}
	out = h.plan()
	assert.Equal(t, len(out.Stops)+len(out.Starts), 0, "one at a time")
	h.pool.Unreserve(stopped)
	again := h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Worker.ID, stopped)
}

// Guards against a task that a successor starts elsewhere while its worker, which has started again since the assignment and cannot be reached,
// may run it under the longest lease: the order set it by the clock of the instance before.
func TestASuccessorWaitsForTheLongestLeaseOfANewInstance(t *testing.T) {
	for _, c := range []struct {
		name       string
		registered int64
		want       func(workload.Settings) time.Duration
	}{
		{"the same instance", firstBorn, func(s workload.Settings) time.Duration { return s.Lease }},
		{"a later instance", secondBorn, func(s workload.Settings) time.Duration { return s.MaxLease }},
		{"not registered", 0, func(s workload.Settings) time.Duration { return s.Lease }},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.registerInstance("w1", c.registered)
			h.addWorker("w2")
			job := &jaybarrow.Job{ID: "j", Queue: "match", Pool: "desk", Team: "trail", Steps: []jaybarrow.Step{tasks(1, 1000)}, AcceptedMs: h.now.UnixMilli()}
			h.pool.AddJob(job, &workload.Record{State: jaybarrow.JobRunning, Tasks: []workload.TaskRecord{{Run: 4, Worker: "w1", InstanceStartMs: firstBorn}}}, h.now)
			started := h.now
			for len(h.plan().Starts) == 0 {
				h.missReport("w1")
				h.advance(h.settings.Lease / 20)
				h.report("w2", nil)
			}
			took := h.now.Sub(started)
			assert.Assert(t, took > c.want(h.settings) && took < c.want(h.settings)*5/4, "after %v", took)
		})
	}
}
