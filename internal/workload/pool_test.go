package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// Guards against a step that starts before the steps it waits for, and against a job that is completed too early or never.
func TestStepsRunInOrderUntilTheJobIsCompleted(t *testing.T) {
	b := newBench(t)
	b.worker("w1")
	second := tasks(1, 1000)
	second.After = []jaybarrow.StepIndex{0}
	b.add("j", tasks(2, 1000), second)
	first := b.start(jaybarrow.StartDone)
	assert.Equal(t, len(first), 2)
	b.report("w1", running(first[1:], "w1", 50), b.end(first[0], jaybarrow.EndDone))
	assert.Equal(t, len(b.start(jaybarrow.StartDone)), 0)
	b.report("w1", nil, b.end(first[1], jaybarrow.EndDone))
	last := b.start(jaybarrow.StartDone)
	assert.Equal(t, len(last), 1)
	assert.Equal(t, last[0].Task.Step, jaybarrow.StepIndex(1))
	b.report("w1", nil, b.end(last[0], jaybarrow.EndDone))
	assert.Equal(t, b.pool.Status("j").State, jaybarrow.JobRunning) // the end is not stored yet
	b.plan()
	assert.Equal(t, b.pool.Status("j").State, jaybarrow.JobCompleted)
	assert.Equal(t, b.used, jaybarrow.Resources{})
}

// Guards against an end that is acknowledged before it is stored: a loss of power between the two would start the task again.
func TestEndsAreAcknowledgedOnceTheyAreStored(t *testing.T) {
	b := newBench(t)
	b.worker("w1")
	b.add("j", tasks(1, 1000))
	s := b.start(jaybarrow.StartDone)
	end := b.end(s[0], jaybarrow.EndDone)
	b.report("w1", nil, end)
	assert.Assert(t, !b.pool.EndsStored("w1"))
	assert.Equal(t, b.report("w1", nil, end).Acknowledged, jaybarrow.EndNumber(0))
	b.plan()
	assert.Assert(t, b.pool.EndsStored("w1"))
	assert.Equal(t, b.report("w1", nil).Acknowledged, end.Number)
}

// Guards against starts whose assignment is not stored: a successor would not know where the task may run.
func TestStartsWaitForTheWriteOfTheirAssignment(t *testing.T) {
	b := newBench(t)
	b.worker("w1")
	b.add("j", tasks(1, 1000))
	out := b.pool.Plan(b.now, true)
	assert.Equal(t, len(out.Starts), 1)
	assert.Equal(t, len(out.Records), 1)
	assert.Equal(t, out.Records[0].Record.Tasks[0].Worker, jaybarrow.WorkerID("w1"))
	assert.Equal(t, out.Records[0].Record.Tasks[0].Run, jaybarrow.RunNumber(1))
}

// Guards against a lease that retried orders extend: the tasks of a dark worker would never be started elsewhere.
func TestTasksOfASilentWorkerRestartWhenItsLeaseHasEnded(t *testing.T) {
	b := newBench(t)
	b.worker("w1")
	b.add("j", tasks(1, 1000))
	first := b.start(jaybarrow.StartDone)
	b.worker("w2")
	lastOrder := b.now
	b.silent("w1")
	for b.now.Sub(lastOrder) < b.settings.Lease {
		assert.Equal(t, len(b.plan().Starts), 0, "restarted after %v", b.now.Sub(lastOrder))
		assert.Equal(t, b.silent("w1").Expires, jaybarrow.WorkerClock(0))
		b.wait(200 * time.Millisecond)
		b.report("w2", nil)
	}
	b.wait(b.settings.Lease / 20)
	b.report("w2", nil)
	again := b.plan().Starts
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Worker.ID, jaybarrow.WorkerID("w2"))
	assert.Assert(t, again[0].Run > first[0].Run)
}

// Guards against leases that a scheduler extends after it has lost the lead: its successor waits for one lease only.
func TestNoLeaseIsExtendedWithoutTheLead(t *testing.T) {
	b := newBench(t)
	b.worker("w1")
	_, order, ok := b.pool.HoldOrder("w1", false, b.now)
	assert.Assert(t, ok)
	assert.Equal(t, order.Expires, jaybarrow.WorkerClock(0))
}

// Guards against two runs of one task after a start without an answer, which may still be carried out.
func TestAStartWithoutAnswerIsStoppedBeforeTheTaskRestarts(t *testing.T) {
	b := newBench(t)
	b.worker("w1")
	b.add("j", tasks(1, 1000))
	lost := b.start(jaybarrow.StartUnknown)
	assert.Equal(t, len(lost), 1)
	b.wait(time.Millisecond)
	b.report("w1", nil)
	out := b.plan()
	assert.Equal(t, len(out.Starts), 0)
	assert.Equal(t, len(out.Stops), 1)
	b.report("w1", nil)
	assert.Equal(t, len(b.plan().Starts), 0)
	b.pool.HandleStopOutcome(out.Stops[0], true, b.now)
	assert.Equal(t, len(b.plan().Starts), 0)
	b.report("w1", nil)
	assert.Equal(t, len(b.plan().Starts), 1)
}

// Guards against a task that waits for a report which nothing brings: neither a start without an answer nor the stop of a run that
// never began has an end.
func TestDoubtfulRunsAreLookedAt(t *testing.T) {
	b := newBench(t)
	b.worker("w1")
	b.add("j", tasks(1, 1000))
	lost := b.plan().Starts
	assert.Assert(t, b.pool.HandleStartOutcome(lost[0], jaybarrow.StartUnknown, b.now))
	b.look("w1")
	stops := b.plan().Stops
	assert.Equal(t, len(stops), 1)
	assert.Assert(t, b.pool.HandleStopOutcome(stops[0], true, b.now))
	b.look("w1")
	again := b.plan().Starts
	assert.Equal(t, len(again), 1)
	assert.Assert(t, !b.pool.HandleStartOutcome(again[0], jaybarrow.StartDone, b.now))
	b.pool.Cancel("j", b.now)
	stops = b.plan().Stops
	assert.Equal(t, len(stops), 1)
	assert.Assert(t, !b.pool.HandleStopOutcome(stops[0], true, b.now), "the end of a run that began is reported anyway")
}

// Guards against a task that is assigned but never started, because the lead was in doubt at the moment of its start and nothing else
// happened in its pool afterwards.
func TestAStartThatWasHeldBackIsSentLater(t *testing.T) {
	b := newBench(t)
	b.worker("w1")
	b.add("j", tasks(1, 1000))
	b.wait(b.settings.Gather)
	heldBack := b.pool.Plan(b.now, true)
	assert.Equal(t, len(heldBack.Starts), 1)
	b.pool.MarkWritten(heldBack)
	assert.Equal(t, len(b.plan().Starts), 1)
	assert.Equal(t, len(b.plan().Starts), 0)
}

// Guards against work that is thrown away because only the answer to its start was lost.
func TestAStartWithoutAnswerIsAdoptedWhenItRuns(t *testing.T) {
	b := newBench(t)
	b.worker("w1")
	b.add("j", tasks(1, 1000))
	lost := b.start(jaybarrow.StartUnknown)
	b.wait(time.Millisecond)
	b.report("w1", running(lost, "w1", 10))
	out := b.plan()
	assert.Equal(t, len(out.Stops)+len(out.Starts), 0)
	b.report("w1", nil, b.end(lost[0], jaybarrow.EndDone))
	b.plan()
	assert.Equal(t, b.finished["j"], jaybarrow.JobCompleted)
}

// Guards against tasks that wait for a lease although their worker has certainly lost them.
func TestTasksOfAnEndedLifeRestartAtOnce(t *testing.T) {
	cases := map[string]func(b *bench){
		"started again under its id": func(b *bench) {
			b.pool.HandleReport("w1", jaybarrow.HoldReport{Clock: 5, StartedMs: 2}, b.now, b.now)
			b.pool.HandleReport("w1", jaybarrow.HoldReport{Clock: 6, StartedMs: 2}, b.now, b.now)
		},
		"address answers as another": func(b *bench) {
			b.pool.HandleHoldFailure("w1", true, b.now)
			b.worker("w2")
		},
	}
	for name, happens := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.register("w1")
			b.pool.HandleReport("w1", jaybarrow.HoldReport{Clock: 1000, StartedMs: 1}, b.now, b.now)
			b.add("j", tasks(1, 1000))
			assert.Equal(t, len(b.start(jaybarrow.StartDone)), 1)
			happens(b)
			again := b.start(jaybarrow.StartDone)
			assert.Equal(t, len(again), 1)
			assert.Equal(t, again[0].Run, jaybarrow.RunNumber(2))
		})
	}
}

// Guards against a job that fails for its workers' faults too early, or never although none of its tasks can be done.
func TestAJobFailsWhenATaskHasUsedUpItsAttempts(t *testing.T) {
	b := newBench(t)
	b.worker("w1")
	b.worker("w2")
	b.add("j", tasks(1, 1000))
	first := b.start(jaybarrow.StartDone)
	b.report(first[0].Worker.ID, nil, b.end(first[0], jaybarrow.EndFailed))
	second := b.start(jaybarrow.StartDone)
	assert.Equal(t, len(second), 1)
	assert.Assert(t, second[0].Worker.ID != first[0].Worker.ID, "the second attempt goes elsewhere")
	b.report(second[0].Worker.ID, nil, b.end(second[0], jaybarrow.EndFailed))
	assert.Equal(t, len(b.plan().Starts), 0)
	assert.Equal(t, b.pool.Status("j").State, jaybarrow.JobFailed)
}

// Guards against ends by the scheduler or a lapse that count as attempts.
func TestOtherEndsAreNoAttempts(t *testing.T) {
	for _, kind := range []jaybarrow.EndKind{jaybarrow.EndStopped, jaybarrow.EndLeaseExpired, jaybarrow.EndGangMemberEnded, jaybarrow.EndGangIncomplete} {
		t.Run(string(kind), func(t *testing.T) {
			b := newBench(t)
			b.worker("w1")
			b.add("j", tasks(1, 1000))
			for range 5 {
				s := b.start(jaybarrow.StartDone)
				assert.Equal(t, len(s), 1)
				b.report("w1", nil, b.end(s[0], kind))
			}
			assert.Equal(t, b.pool.Status("j").State, jaybarrow.JobRunning)
		})
	}
}

// Guards against tasks that go on, or begin, after their job was cancelled.
func TestACancelledJobIsStopped(t *testing.T) {
	b := newBench(t)
	b.worker("w1")
	b.add("j", tasks(3, 5000))
	s := b.start(jaybarrow.StartDone)
	assert.Equal(t, len(s), 2)
	assert.Assert(t, b.pool.Cancel("j", b.now))
	out := b.plan()
	assert.Equal(t, len(out.Stops), 2)
	assert.Equal(t, len(out.Starts), 0)
	assert.Equal(t, b.pool.Status("j").State, jaybarrow.JobCancelled)
	b.report("w1", nil, b.end(s[0], jaybarrow.EndStopped), b.end(s[1], jaybarrow.EndStopped))
	assert.Equal(t, len(b.plan().Starts), 0)
	assert.Equal(t, b.used, jaybarrow.Resources{})
}

// Guards against a cancellation that is overtaken by a start whose assignment was being stored.
func TestAStartIsNotSentOnceItsJobIsCancelled(t *testing.T) {
	b := newBench(t)
	b.worker("w1")
	b.add("j", tasks(1, 1000))
	out := b.pool.Plan(b.now, true)
	b.pool.Cancel("j", b.now)
	_, ok := b.pool.MarkSent(out.Starts[0], b.now)
	assert.Assert(t, !ok)
	assert.Equal(t, b.used, jaybarrow.Resources{})
}

// Guards against tasks that stand still on a worker whose reports look sound.
func TestATaskWithoutProgressRunsElsewhere(t *testing.T) {
	b := newBench(t)
	b.worker("w1")
	b.add("j", tasks(1, 1000))
	s := b.start(jaybarrow.StartDone)
	b.worker("w2")
	for range 3 {
		b.report("w1", running(s, "w1", 40))
		b.wait(b.settings.Stall / 2)
		b.report("w2", nil)
	}
	b.report("w1", running(s, "w1", 40))
	out := b.plan()
	assert.Equal(t, len(out.Stops), 1)
	b.report("w1", nil, b.end(s[0], jaybarrow.EndStopped))
	b.report("w2", nil)
	again := b.plan().Starts
	assert.Equal(t, len(again), 1)
	assert.Equal(t, again[0].Worker.ID, jaybarrow.WorkerID("w2"))
}

// Guards against background work that goes on while it disturbs a task with a latency bound.
func TestBackgroundWorkIsSlowedBesideAMissedBound(t *testing.T) {
	b := newBench(t)
	b.worker("w1")
	serving, background := lasting(1), tasks(1, 1000)
	serving.LatencyMs, background.Background = 100, true
	b.add("serve", serving)
	b.add("fill", background)
	s := b.start(jaybarrow.StartDone)
	assert.Equal(t, len(s), 2)
	last := jaybarrow.Percent(100)
	for range 4 {
		report := running(s, "w1", 100)
		for i := range report {
			if report[i].Task.Job == "serve" {
				report[i].Gauge = 150
			}
		}
		b.wait(time.Second)
		b.report("w1", report)
		paces := b.plan().Throttles
		assert.Equal(t, len(paces), 1)
		assert.Equal(t, paces[0].Task.Job, jaybarrow.JobID("fill"))
		assert.Assert(t, paces[0].Share < last)
		last = paces[0].Share
	}
	assert.Equal(t, last, jaybarrow.Percent(0))
}

// Guards against ended jobs whose records stay after a removal that failed.
func TestEndedJobsExpire(t *testing.T) {
	b := newBench(t)
	b.add("j", tasks(1, 1000))
	b.pool.Cancel("j", b.now)
	b.plan()
	assert.Equal(t, len(b.plan().Expired), 0)
	b.wait(b.settings.Keep)
	expired := b.plan().Expired
	assert.DeepEqual(t, expired, []jaybarrow.JobID{"j"})
	assert.Equal(t, len(b.plan().Expired), 0, "the removal is under way")
	b.pool.HandleRemoval(expired, false)
	assert.DeepEqual(t, b.plan().Expired, expired)
	b.pool.HandleRemoval(expired, true)
	assert.Equal(t, len(b.plan().Expired), 0)
	assert.Assert(t, !b.pool.Status("j").Known)
}

// Guards against a count of waiting jobs that leaves some out or keeps those that have begun.
func TestWaitingCountsJobsWithoutAStart(t *testing.T) {
	b := newBench(t)
	b.add("a", tasks(1, 6000))
	b.add("b", tasks(1, 6000))
	assert.Equal(t, b.pool.Waiting("match"), 2)
	assert.Equal(t, b.pool.Waiting("other"), 0)
	b.worker("w1")
	b.start(jaybarrow.StartDone)
	assert.Equal(t, b.pool.Waiting("match"), 1)
}

// Guards against a scheduled run that begins before it is due.
func TestAScheduledRunWaitsUntilItIsDue(t *testing.T) {
	b := newBench(t)
	b.worker("w1")
	j := &jaybarrow.Job{
		ID: "j", Queue: "match", Pool: "desk", Steps: []jaybarrow.Step{tasks(1, 1000)}, AcceptedMs: b.now.UnixMilli(),
		Recurrence: &jaybarrow.Recurrence{Runs: 2, StartMs: b.now.UnixMilli() + 500, IntervalMs: 1000},
	}
	b.pool.AddJob(j, nil, b.now)
	var began []jaybarrow.Occurrence
	for range 20 {
		b.wait(100 * time.Millisecond)
		b.report("w1", nil)
		for _, s := range b.start(jaybarrow.StartDone) {
			assert.Assert(t, b.now.UnixMilli() >= j.Recurrence.StartMs+int64(s.Task.Occurrence)*j.Recurrence.IntervalMs)
			began = append(began, s.Task.Occurrence)
			b.report("w1", nil, b.end(s, jaybarrow.EndDone))
		}
	}
	assert.DeepEqual(t, began, []jaybarrow.Occurrence{0, 1})
	assert.Equal(t, b.finished["j"], jaybarrow.JobCompleted)
}

// Guards against a record that does not bring back what it was made of.
func TestRecordsRoundTrip(t *testing.T) {
	in := workload.Record{State: jaybarrow.JobRunning, Tasks: []workload.TaskRecord{
		{Done: true, Run: 3}, {Run: 2, Worker: "w1", BornMs: 5, Failures: 1, Saved: "x"},
	}}
	data, err := in.Encode()
	assert.NilError(t, err)
	out, err := workload.DecodeRecord(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, in, out)
}
