package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// newGang returns a fleet in which a gang of three with checkpoints runs, one member on each of three workers, and a fourth worker is idle.
func newGang(t *testing.T) *fleet {
	f := newFleet(t, time.Hour)
	for _, id := range []jaybarrow.WorkerID{"w1", "w2", "w3", "w4"} {
		f.addWorker(id)
	}
	j := f.schedule("j", f.now, 0, 1)
	gang := tasks(3, 8000)
	gang.Gang, gang.Checkpoints = true, true
	j.Recurrence, j.Steps = nil, []jaybarrow.Step{gang}
	f.accept(j)
	f.turn()
	assert.Equal(t, len(f.running), 3)
	return f
}

// reportSaved delivers the report of a worker whose run has the checkpoint.
func (f *fleet) reportSaved(id jaybarrow.WorkerID, c jaybarrow.Checkpoint) {
	f.Helper()
	var running []jaybarrow.RunReport
	for _, s := range f.running {
		if s.Worker.ID == id {
			running = append(running, jaybarrow.RunReport{Task: s.Task, Run: s.Run, Progress: 50, Checkpoint: c})
		}
	}
	f.report(id, running)
}

// endAll lets the members on the workers end with the checkpoint, since the gang is broken.
func (f *fleet) endAll(c jaybarrow.Checkpoint, workers ...jaybarrow.WorkerID) {
	f.Helper()
	for _, id := range workers {
		for key, s := range f.running {
			if s.Worker.ID == id {
				delete(f.running, key)
				end := f.endReport(s, jaybarrow.EndGangMemberEnded)
				end.Checkpoint = c
				f.report(id, nil, end)
			}
		}
	}
}

// loseMember lets a worker fall silent until its lease has ended; the other members save later checkpoints meanwhile and then end.
func (f *fleet) loseMember() {
	f.Helper()
	for _, id := range []jaybarrow.WorkerID{"w1", "w2", "w3"} {
		f.reportSaved(id, "2")
	}
	for range 12 {
		f.missReport("w1")
		f.advance(f.settings.Lease / 10)
		f.reportSaved("w2", "6")
		f.reportSaved("w3", "6")
		f.report("w4", nil)
		assert.Equal(f, len(f.plan().Starts), 0)
	}
	for key, s := range f.running {
		if s.Worker.ID == "w1" {
			delete(f.running, key)
		}
	}
	f.endAll("7", "w2", "w3")
}

// checkpoints returns those of the starts.
func checkpoints(starts []workload.StartRun) []jaybarrow.Checkpoint {
	var out []jaybarrow.Checkpoint
	for _, s := range starts {
		out = append(out, s.Order.Checkpoint)
	}
	return out
}

var seven = []jaybarrow.Checkpoint{"7", "7", "7"}

// Guards against members of a gang that are told to start from different checkpoints, since one of them was lost with its worker: they would
// never work together again.
func TestMembersOfAGangStartFromOneCheckpoint(t *testing.T) {
	f := newGang(t)
	f.loseMember()
	assert.DeepEqual(t, checkpoints(f.plan().Starts), seven)
}

// Guards against the same after a takeover, and by records that an earlier build has written.
func TestASuccessorStartsAGangFromOneCheckpoint(t *testing.T) {
	for _, byMarks := range []bool{false, true} {
		f := newGang(t)
		f.settings.ProgressByMarks = byMarks
		f.pool = f.newPool()
		stored, err := workload.DecodeRecord([]byte(
			`{"state":"running","tasks":[{"run":1,"saved":"2"},{"run":1,"saved":"7"},{"run":1,"saved":"7"}]}`,
		))
		assert.NilError(t, err)
		f.pool.AddJob(f.jobs["j"], &stored, f.now)
		clear(f.running)
		f.runTime = 0
		for _, id := range []jaybarrow.WorkerID{"w1", "w2", "w3", "w4"} {
			f.registerWorker(id)
			f.report(id, nil)
		}
		assert.DeepEqual(t, checkpoints(f.plan().Starts), seven)
	}
	f := newGang(t)
	f.loseMember()
	f.pool.LimitOrders(0, 0)
	f.turn()
	f.takeOver("w1", "w2", "w3", "w4")
	assert.DeepEqual(t, checkpoints(f.plan().Starts), seven)
}

// Guards against a checkpoint that changes between the starts of a gang's members: the worker of the lost member returns with an old one, and one
// of the members that were started saves a new one, while another start waits for the budget of orders.
func TestStartsOfAGangThatAreHeldBackCarryTheSameCheckpoint(t *testing.T) {
	f := newGang(t)
	lost := workload.StartRun{}
	for _, s := range f.running {
		if s.Worker.ID == "w1" {
			lost = s
		}
	}
	f.loseMember()
	f.advance(f.settings.BatchDelay)
	out := f.pool.Plan(f.now, true)
	assert.DeepEqual(t, checkpoints(out.Starts), seven)
	f.pool.MarkWritten(out)
	first, ok := f.pool.MarkSent(out.Starts[0], f.now)
	assert.Assert(t, ok)
	f.pool.HandleStartOutcome(first, jaybarrow.StartDone, f.now)
	f.report("w1", []jaybarrow.RunReport{{Task: lost.Task, Run: lost.Run, Checkpoint: "3"}})
	f.report("w1", []jaybarrow.RunReport{{Task: lost.Task, Run: lost.Run, Checkpoint: "4"}})
	f.report(first.Worker.ID, []jaybarrow.RunReport{{Task: first.Task, Run: first.Run, Checkpoint: "8"}})
	f.advance(f.settings.BatchDelay)
	assert.DeepEqual(t, checkpoints(f.pool.Plan(f.now, true).Starts), seven[:2])
}

// Guards against a gang that is set back by the end of a lost member, which its worker lists late with the checkpoint of before.
func TestALateEndDoesNotSetAGangBack(t *testing.T) {
	f := newGang(t)
	for _, c := range []jaybarrow.Checkpoint{"1", "2", "3"} {
		for _, id := range []jaybarrow.WorkerID{"w1", "w2", "w3"} {
			f.reportSaved(id, c)
		}
	}
	f.reportSaved("w2", "7")
	f.endAll("7", "w2", "w3")
	f.endAll("2", "w1")
	assert.DeepEqual(t, checkpoints(f.plan().Starts), seven)
}
