package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
)

// Guards against a step that starts before the steps it depends on, and against a job that is completed too early or never.
func TestStepsRunInOrderUntilTheJobIsCompleted(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	second := tasks(1, 1000)
	second.After = []jaybarrow.StepIndex{0}
	h.addJob("j", tasks(2, 1000), second)
	first := h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, len(first), 2)
	h.report("w1", runReports(first[1:], "w1", 50), h.endReport(first[0], jaybarrow.EndDone))
	assert.Equal(t, len(h.planAndStart(jaybarrow.StartDone)), 0)
	h.report("w1", nil, h.endReport(first[1], jaybarrow.EndDone))
	last := h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, len(last), 1)
	assert.Equal(t, last[0].Task.Step, jaybarrow.StepIndex(1))
	h.report("w1", nil, h.endReport(last[0], jaybarrow.EndDone))
	assert.Equal(t, h.pool.Status("j").State, jaybarrow.JobRunning) // the end is not stored yet
	h.plan()
	assert.Equal(t, h.pool.Status("j").State, jaybarrow.JobCompleted)
	assert.Equal(t, h.used, jaybarrow.Resources{})
}

// Guards against an end that is acknowledged before it is stored: a power loss between the two would start the task again.
func TestEndsAreAcknowledgedOnceTheyAreStored(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	h.addJob("j", tasks(1, 1000))
	s := h.planAndStart(jaybarrow.StartDone)
	endReport := h.endReport(s[0], jaybarrow.EndDone)
	h.report("w1", nil, endReport)
	assert.Assert(t, !h.pool.EndsStored("w1"))
	assert.Equal(t, h.report("w1", nil, endReport).Acknowledged, jaybarrow.EndNumber(0))
	h.plan()
	assert.Assert(t, h.pool.EndsStored("w1"))
	assert.Equal(t, h.report("w1", nil).Acknowledged, endReport.Number)
}

// Guards against starts whose assignment is not stored: after a takeover the new leader would not know where the task may run.
func TestStartsWaitForTheWriteOfTheirAssignment(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	h.addJob("j", tasks(1, 1000))
	out := h.pool.Plan(h.now, true)
	assert.Equal(t, len(out.Starts), 1)
	assert.Equal(t, len(out.Records), 1)
	stored := h.stored(out.Records[0])
	assert.Equal(t, stored.Tasks[0].Worker, jaybarrow.WorkerID("w1"))
	assert.Equal(t, stored.Tasks[0].Run, jaybarrow.RunNumber(1))
}

// Guards against retried hold orders that extend the lease: the tasks of an unreachable worker would never be started elsewhere.
func TestTasksOfAnUnreachableWorkerRestartWhenItsLeaseHasEnded(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	h.addJob("j", tasks(1, 1000))
	first := h.planAndStart(jaybarrow.StartDone)
	h.addWorker("w2")
	lastOrder := h.now
	h.missReport("w1")
	for h.now.Sub(lastOrder) < h.settings.Lease {
		assert.Equal(t, len(h.plan().Starts), 0, "restarted after %v", h.now.Sub(lastOrder))
		assert.Equal(t, h.missReport("w1").Expires, jaybarrow.WorkerClock(0))
		h.advance(200 * time.Millisecond)
		h.report("w2", nil)
	}
	h.advance(h.settings.Lease / 20)
	h.report("w2", nil)
	again := h.plan().Starts
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Worker.ID, jaybarrow.WorkerID("w2"))
	assert.Assert(t, again[0].Run > first[0].Run)
}

// Guards against leases that a scheduler extends after it has lost leadership: its successor waits for one lease only.
func TestNoLeaseIsExtendedWithoutLeadership(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	_, order, ok := h.pool.HoldOrder("w1", false, h.now)
	assert.Assert(t, ok)
	assert.Equal(t, order.Expires, jaybarrow.WorkerClock(0))
}

// Guards against two runs of one task after an unanswered start, which may still be carried out.
func TestAnUnansweredStartIsStoppedBeforeTheTaskRestarts(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	h.addJob("j", tasks(1, 1000))
	lost := h.planAndStart(jaybarrow.StartUnknown)
	assert.Equal(t, len(lost), 1)
	h.advance(time.Millisecond)
	h.report("w1", nil)
	out := h.plan()
	assert.Equal(t, len(out.Starts), 0)
	assert.Equal(t, len(out.Stops), 1)
	h.report("w1", nil)
	assert.Equal(t, len(h.plan().Starts), 0)
	h.pool.HandleStopOutcome(out.Stops[0], true, h.now)
	assert.Equal(t, len(h.plan().Starts), 0)
	h.report("w1", nil)
	assert.Equal(t, len(h.plan().Starts), 1)
}

// Guards against a task that waits for a report that never comes: neither an unanswered start nor the stop of a run that never
// started produces an end, so the worker must be polled.
func TestUnconfirmedRunsArePolled(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	h.addJob("j", tasks(1, 1000))
	lost := h.plan().Starts
	assert.Assert(t, h.pool.HandleStartOutcome(lost[0], jaybarrow.StartUnknown, h.now))
	h.poll("w1")
	stops := h.plan().Stops
	assert.Equal(t, len(stops), 1)
	assert.Assert(t, h.pool.HandleStopOutcome(stops[0], true, h.now))
	h.poll("w1")
	again := h.plan().Starts
	assert.Equal(t, len(again), 1)
	assert.Assert(t, !h.pool.HandleStartOutcome(again[0], jaybarrow.StartDone, h.now))
	h.pool.Cancel("j", h.now)
	stops = h.plan().Stops
	assert.Equal(t, len(stops), 1)
	assert.Assert(t, !h.pool.HandleStopOutcome(stops[0], true, h.now), "the end of a run that started is reported without a poll")
}

// Guards against a task that is assigned but never started, because leadership was uncertain when its start was due and nothing
// else happened in its pool afterwards.
func TestAStartThatWasHeldBackIsSentLater(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	h.addJob("j", tasks(1, 1000))
	h.advance(h.settings.BatchDelay)
	heldBack := h.pool.Plan(h.now, true)
	assert.Equal(t, len(heldBack.Starts), 1)
	h.pool.MarkWritten(heldBack)
	assert.Equal(t, len(h.plan().Starts), 1)
	assert.Equal(t, len(h.plan().Starts), 0)
}

// Guards against work that is discarded only because the answer to its start was lost.
func TestARunOfAnUnansweredStartIsAdopted(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	h.addJob("j", tasks(1, 1000))
	lost := h.planAndStart(jaybarrow.StartUnknown)
	h.advance(time.Millisecond)
	h.report("w1", runReports(lost, "w1", 10))
	out := h.plan()
	assert.Equal(t, len(out.Stops)+len(out.Starts), 0)
	h.report("w1", nil, h.endReport(lost[0], jaybarrow.EndDone))
	h.plan()
	assert.Equal(t, h.finished["j"], jaybarrow.JobCompleted)
}

// Guards against tasks that wait for a lease to end although their worker instance has certainly ended.
func TestTasksOfAnEndedInstanceRestartAtOnce(t *testing.T) {
	cases := map[string]func(h *harness){
		"restarted under its id": func(h *harness) {
			h.pool.HandleReport("w1", jaybarrow.HoldReport{Clock: 5, StartedMs: 2}, h.now, h.now)
			h.pool.HandleReport("w1", jaybarrow.HoldReport{Clock: 6, StartedMs: 2}, h.now, h.now)
		},
		"another worker answers at the address": func(h *harness) {
			h.pool.HandleReplaced(jaybarrow.Worker{ID: "w1", Address: "192.0.2.1:80"}, h.now)
			h.addWorker("w2")
		},
	}
	for name, trigger := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.registerWorker("w1")
			h.pool.HandleReport("w1", jaybarrow.HoldReport{Clock: 1000, StartedMs: 1}, h.now, h.now)
			h.addJob("j", tasks(1, 1000))
			assert.Equal(t, len(h.planAndStart(jaybarrow.StartDone)), 1)
			trigger(h)
			again := h.planAndStart(jaybarrow.StartDone)
			assert.Equal(t, len(again), 1)
			assert.Equal(t, again[0].Run, jaybarrow.RunNumber(2))
		})
	}
}

// Guards against a job that fails before a task has used up its attempts, and against one that never fails although its task
// cannot be done.
func TestAJobFailsWhenATaskHasUsedUpItsAttempts(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	h.addWorker("w2")
	h.addJob("j", tasks(1, 1000))
	first := h.planAndStart(jaybarrow.StartDone)
	h.report(first[0].Worker.ID, nil, h.endReport(first[0], jaybarrow.EndFailed))
	second := h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, len(second), 1)
	assert.Assert(t, second[0].Worker.ID != first[0].Worker.ID, "the second attempt must run on another worker")
	h.report(second[0].Worker.ID, nil, h.endReport(second[0], jaybarrow.EndFailed))
	assert.Equal(t, len(h.plan().Starts), 0)
	assert.Equal(t, h.pool.Status("j").State, jaybarrow.JobFailed)
}

// Guards against runs that end by the scheduler, an expired lease or their gang and that count as failed attempts.
func TestOnlyFailuresCountAsAttempts(t *testing.T) {
	for _, kind := range []jaybarrow.EndKind{jaybarrow.EndStopped, jaybarrow.EndLeaseExpired, jaybarrow.EndGangMemberEnded, jaybarrow.EndGangIncomplete} {
		t.Run(string(kind), func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("w1")
			h.addJob("j", tasks(1, 1000))
			for range 5 {
				s := h.planAndStart(jaybarrow.StartDone)
				assert.Equal(t, len(s), 1)
				h.report("w1", nil, h.endReport(s[0], kind))
			}
			assert.Equal(t, h.pool.Status("j").State, jaybarrow.JobRunning)
		})
	}
}

// Guards against tasks that keep running, or start, after their job was cancelled.
func TestACancelledJobIsStopped(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	h.addJob("j", tasks(3, 5000))
	s := h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, len(s), 2)
	assert.Assert(t, h.pool.Cancel("j", h.now))
	out := h.plan()
	assert.Equal(t, len(out.Stops), 2)
	assert.Equal(t, len(out.Starts), 0)
	assert.Equal(t, h.pool.Status("j").State, jaybarrow.JobCancelled)
	h.report("w1", nil, h.endReport(s[0], jaybarrow.EndStopped), h.endReport(s[1], jaybarrow.EndStopped))
	assert.Equal(t, len(h.plan().Starts), 0)
	assert.Equal(t, h.used, jaybarrow.Resources{})
}

// Guards against a start that is sent although its job was cancelled while the assignment was being stored.
func TestAStartIsNotSentOnceItsJobIsCancelled(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	h.addJob("j", tasks(1, 1000))
	out := h.pool.Plan(h.now, true)
	h.pool.Cancel("j", h.now)
	_, ok := h.pool.MarkSent(out.Starts[0], h.now)
	assert.Assert(t, !ok)
	assert.Equal(t, h.used, jaybarrow.Resources{})
}

// Guards against tasks that stall on a worker whose reports look healthy.
func TestAStalledTaskRestartsOnAnotherWorker(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	h.addJob("j", tasks(1, 1000))
	s := h.planAndStart(jaybarrow.StartDone)
	h.addWorker("w2")
	for range 3 {
		h.report("w1", runReports(s, "w1", 40))
		h.advance(h.settings.StallTimeout / 2)
		h.report("w2", nil)
	}
	h.report("w1", runReports(s, "w1", 40))
	out := h.plan()
	assert.Equal(t, len(out.Stops), 1)
	h.report("w1", nil, h.endReport(s[0], jaybarrow.EndStopped))
	h.report("w2", nil)
	again := h.plan().Starts
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Worker.ID, jaybarrow.WorkerID("w2"))
}

// Guards against background work that keeps its speed while a task beside it exceeds its latency bound.
func TestBackgroundWorkIsSlowedWhenALatencyBoundIsExceeded(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	serving, background := lasting(1), tasks(1, 1000)
	serving.LatencyMs, background.Background = 100, true
	h.addJob("serve", serving)
	h.addJob("fill", background)
	s := h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, len(s), 2)
	last := jaybarrow.Percent(100)
	for range 4 {
		report := runReports(s, "w1", 100)
		for i := range report {
			if report[i].Task.Job == "serve" {
				report[i].Gauge = 150
			}
		}
		h.advance(time.Second)
		h.report("w1", report)
		throttles := h.plan().Throttles
		assert.Equal(t, len(throttles), 1)
		assert.Equal(t, throttles[0].Task.Job, jaybarrow.JobID("fill"))
		assert.Assert(t, throttles[0].Share < last)
		last = throttles[0].Share
	}
	assert.Equal(t, last, jaybarrow.Percent(0))
}

// Guards against records of ended jobs that remain after a failed removal.
func TestEndedJobsExpire(t *testing.T) {
	h := newHarness(t)
	h.addJob("j", tasks(1, 1000))
	h.pool.Cancel("j", h.now)
	h.plan()
	assert.Equal(t, len(h.plan().Expired), 0)
	h.advance(h.settings.Retention)
	expired := h.plan().Expired
	assert.DeepEqual(t, expired, []jaybarrow.JobID{"j"})
	assert.Equal(t, len(h.plan().Expired), 0, "the removal is in progress")
	h.pool.HandleRemoval(expired, false)
	assert.DeepEqual(t, h.plan().Expired, expired)
	h.pool.HandleRemoval(expired, true)
	assert.Equal(t, len(h.plan().Expired), 0)
	assert.Assert(t, !h.pool.Status("j").Known)
}

// Guards against a count of waiting jobs that misses some or includes those that have started.
func TestWaitingCountsJobsWithoutAStart(t *testing.T) {
	h := newHarness(t)
	h.addJob("a", tasks(1, 6000))
	h.addJob("b", tasks(1, 6000))
	assert.Equal(t, h.pool.Waiting("match"), 2)
	assert.Equal(t, h.pool.Waiting("other"), 0)
	h.addWorker("w1")
	h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, h.pool.Waiting("match"), 1)
}

// Guards against a scheduled run that starts before it is due.
func TestAScheduledRunWaitsUntilItIsDue(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	j := &jaybarrow.Job{
		ID: "j", Queue: "match", Pool: "desk", Steps: []jaybarrow.Step{tasks(1, 1000)}, AcceptedMs: h.now.UnixMilli(),
		Recurrence: &jaybarrow.Recurrence{Runs: 2, StartMs: h.now.UnixMilli() + 500, IntervalMs: 1000},
	}
	h.pool.AddJob(j, nil, h.now)
	var started []jaybarrow.Occurrence
	for range 20 {
		h.advance(100 * time.Millisecond)
		h.report("w1", nil)
		for _, s := range h.planAndStart(jaybarrow.StartDone) {
			assert.Assert(t, h.now.UnixMilli() >= j.Recurrence.StartMs+int64(s.Task.Occurrence)*j.Recurrence.IntervalMs)
			started = append(started, s.Task.Occurrence)
			h.report("w1", nil, h.endReport(s, jaybarrow.EndDone))
		}
	}
	assert.DeepEqual(t, started, []jaybarrow.Occurrence{0, 1})
	assert.Equal(t, h.finished["j"], jaybarrow.JobCompleted)
}

// Guards against a start that is sent although its worker has become unusable while the assignment was written: it would run on a draining
// worker, or wait for the lease of a silent one to end.
func TestAStartIsNotSentToAWorkerThatHasBecomeUnusable(t *testing.T) {
	cases := map[string]func(h *harness){
		"drains": func(h *harness) {
			h.pool.SetWorker(jaybarrow.Worker{
				ID: "w1", Pool: "desk", Address: "192.0.2.1:80", State: jaybarrow.WorkerDraining, Capacity: jaybarrow.Resources{CPU: 10_000, Memory: 10_000},
			}, h.now)
		},
		"is silent":         func(h *harness) { h.missReport("w1") },
		"has left":          func(h *harness) { h.pool.DropWorker("w1") },
		"has started again": func(h *harness) { h.reportInstance("w1", secondBorn, 5, nil) },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("w1")
			h.addJob("j", tasks(1, 1000))
			h.advance(h.settings.BatchDelay)
			round := h.pool.Plan(h.now, true)
			assert.Equal(t, len(round.Starts), 1)
			change(h)
			h.pool.MarkWritten(round)
			_, ok := h.pool.MarkSent(round.Starts[0], h.now)
			assert.Assert(t, !ok)
			h.addWorker("w2")
			again := h.plan().Starts
			assert.Equal(t, len(again), 1)
			assert.Assert(t, again[0].Run > round.Starts[0].Run)
		})
	}
}
