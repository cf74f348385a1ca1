package workload_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// beginRound plans once without storing the records.
func (h *harness) beginRound() workload.Round {
	h.Helper()
	h.advance(h.settings.BatchDelay)
	return h.pool.Plan(h.now, true)
}

// send stores the round's records and returns how many of its starts may be sent.
func (h *harness) send(round workload.Round) int {
	h.Helper()
	h.pool.MarkWritten(round)
	n := 0
	for _, s := range round.Starts {
		if ready, ok := h.pool.MarkSent(s, h.now); ok {
			h.pool.HandleStartOutcome(ready, jaybarrow.StartDone, h.now)
			n++
		}
	}
	return n
}

// recordsOf returns the jobs whose records the round writes.
func recordsOf(round workload.Round) []jaybarrow.JobID {
	var out []jaybarrow.JobID
	for _, r := range round.Records {
		out = append(out, r.Job)
	}
	return out
}

// Guards against two writes of one record in progress, of which the older one may be the last, and against a change that is never written since it
// came while its record was being written.
func TestChangesOfAJobWaitForTheWriteInProgress(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	h.addJob("a", tasks(1, 1000))
	first := h.beginRound()
	assert.DeepEqual(t, recordsOf(first), []jaybarrow.JobID{"a"})
	h.pool.Cancel("a", h.now)
	h.addJob("b", tasks(1, 1000))
	second := h.beginRound()
	assert.DeepEqual(t, recordsOf(second), []jaybarrow.JobID{"b"})
	assert.Assert(t, !h.pool.HasWritesDue(), "the cancellation cannot be written yet")
	assert.Equal(t, h.send(first), 0, "the job was cancelled")
	assert.Assert(t, h.pool.HasWritesDue())
	third := h.beginRound()
	assert.DeepEqual(t, recordsOf(third), []jaybarrow.JobID{"a"})
	assert.Equal(t, h.stored(third.Records[0]).State, jaybarrow.JobCancelled)
	assert.Equal(t, h.send(second), 1)
	assert.Equal(t, h.pool.Status("a").State, jaybarrow.JobRunning, "its cancellation is not stored")
	h.send(third)
	assert.Equal(t, h.pool.Status("a").State, jaybarrow.JobCancelled)
}

// Guards against starts that a later round sends although the earlier one that assigns them is not stored, and against starts that no round sends.
func TestARoundSendsOnlyTheStartsThatItStores(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	h.addJob("a", tasks(2, 1000))
	first := h.beginRound()
	h.addJob("b", tasks(3, 1000))
	second := h.beginRound()
	assert.Equal(t, len(first.Starts), 2)
	assert.Equal(t, len(second.Starts), 3)
	_, ok := h.pool.MarkSent(first.Starts[0], h.now)
	assert.Assert(t, !ok, "its assignment is not stored")
	assert.Assert(t, !h.pool.HasUnsentRuns(), "no start could be sent")
	assert.Equal(t, h.send(second), 3)
	// Starts that are not sent after their write are part of the next round.
	h.pool.MarkWritten(first)
	assert.Assert(t, h.pool.HasUnsentRuns())
	third := h.beginRound()
	assert.Equal(t, len(third.Records), 0)
	assert.Equal(t, h.send(third), 2)
}

// Guards against an end that is acknowledged with a later round, so that the worker forgets it, while the round that stores it is in progress.
func TestAnEndInALaterRoundDoesNotAcknowledgeAnEarlierOne(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	h.addJob("a", tasks(1, 1000))
	h.addJob("b", tasks(1, 1000))
	starts := h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, len(starts), 2)
	endA, endB := h.endReport(starts[0], jaybarrow.EndDone), h.endReport(starts[1], jaybarrow.EndDone)
	h.report("w1", runReports(starts[1:], "w1", 50), endA)
	first := h.beginRound()
	h.report("w1", nil, endA, endB)
	second := h.beginRound()
	assert.DeepEqual(t, recordsOf(second), []jaybarrow.JobID{"b"})
	h.pool.MarkWritten(second)
	assert.Assert(t, !h.pool.EndsStored("w1"))
	assert.Equal(t, h.report("w1", nil, endA, endB).Acknowledged, jaybarrow.EndNumber(0))
	h.pool.MarkWritten(first)
	assert.Assert(t, h.pool.EndsStored("w1"))
	assert.Equal(t, h.report("w1", nil, endA, endB).Acknowledged, endB.Number)
}

// loseRun starts job "j" on w1, lets w1 be silent until its lease has ended, and returns the lost run and the one that has taken its place on w2.
func (h *harness) loseRun() (lost, later workload.StartRun) {
	h.Helper()
	h.addWorker("w1")
	h.addJob("j", tasks(1, 1000))
	lost = h.planAndStart(jaybarrow.StartDone)[0]
	h.addWorker("w2")
	for end := h.now.Add(2 * h.settings.Lease); h.now.Before(end); {
		h.missReport("w1")
		h.report("w2", nil)
		h.advance(h.settings.RenewInterval)
	}
	later = h.planAndStart(jaybarrow.StartDone)[0]
	assert.Equal(h, later.Worker.ID, jaybarrow.WorkerID("w2"))
	return lost, later
}

// Guards against an end that is acknowledged while only this process knows that it completes its task: after a takeover the task would run again.
func TestAnEndThatCompletesARestartedTaskIsKeptUntilThatIsStored(t *testing.T) {
	h := newHarness(t)
	lost, later := h.loseRun()
	done := h.endReport(lost, jaybarrow.EndDone)
	h.report("w1", nil, done)
	assert.Equal(t, h.report("w1", nil, done).Acknowledged, jaybarrow.EndNumber(0), "its later run still exists")
	h.plan()
	h.report("w2", nil, h.endReport(later, jaybarrow.EndStopped))
	round := h.beginRound()
	assert.Equal(t, h.report("w1", nil, done).Acknowledged, jaybarrow.EndNumber(0), "not stored yet")
	h.pool.MarkWritten(round)
	assert.Equal(t, h.report("w1", nil, done).Acknowledged, done.Number)
	assert.Equal(t, h.pool.Status("j").State, jaybarrow.JobCompleted)
}

// Guards against an ended job that is dropped while its record is being written: ends that wait for the write, and all later ones of their worker,
// would never be acknowledged.
func TestAnEndedJobIsKeptWhileItsRecordIsBeingWritten(t *testing.T) {
	h := newHarness(t)
	lost, later := h.loseRun()
	done := h.endReport(later, jaybarrow.EndDone)
	h.report("w2", nil, done)
	stub := h.beginRound()
	assert.DeepEqual(t, recordsOf(stub), []jaybarrow.JobID{"j"})
	h.report("w1", runReports([]workload.StartRun{lost}, "w1", 50))
	h.report("w1", []jaybarrow.RunReport{{Task: lost.Task, Run: lost.Run, Checkpoint: "new", Progress: 60}})
	h.pool.MarkWritten(stub)
	end := h.endReport(lost, jaybarrow.EndStopped)
	h.report("w1", nil, end)
	for range 4 {
		h.plan()
	}
	assert.Equal(t, h.report("w1", nil, end).Acknowledged, end.Number)
	h.report("w2", nil, done)
	assert.Assert(t, h.pool.EndsStored("w1") && h.pool.EndsStored("w2"))
}
