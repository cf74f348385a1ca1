package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// newEndingJob returns a fleet of two workers, the first of which runs ten tasks of a team whose limit they reach. The team's next job waits.
func newEndingJob(t *testing.T, step jaybarrow.Step) *fleet {
	f := newFleet(t, time.Hour)
	f.addWorker("w1")
	f.limits["trail"] = jaybarrow.Resources{CPU: 10_000}
	first := f.schedule("first", f.now, 0, 1)
	first.Recurrence, first.Steps = nil, []jaybarrow.Step{step}
	f.accept(first)
	f.turn()
	assert.Equal(t, len(f.running), step.Tasks)
	f.addWorker("w2")
	f.reportFrom("w1")
	f.turn()
	return f
}

// handInNext adds the team's next job, which needs all that its limit allows.
func (f *fleet) handInNext() {
	next := f.schedule("next", f.now, 0, 1)
	next.Recurrence, next.Steps = nil, []jaybarrow.Step{tasks(1, 10_000)}
	f.accept(next)
}

// nextStarted reports whether the team's next job runs.
func (f *fleet) nextStarted() bool { return f.starts[jaybarrow.TaskRef{Job: "next"}] > 0 }

// endings are the ways in which a job ends before its runs.
var endings = []struct {
	name  string
	step  jaybarrow.Step
	state jaybarrow.JobState
	end   func(f *fleet)
}{
	{"cancelled", tasks(10, 1000), jaybarrow.JobCancelled, func(f *fleet) { f.pool.Cancel("first", f.now) }},
	{"cancelled background work", func() jaybarrow.Step {
		s := tasks(10, 1000)
		s.Background = true
		return s
	}(), jaybarrow.JobCancelled, func(f *fleet) { f.pool.Cancel("first", f.now) }},
	{"cancelled lasting work", func() jaybarrow.Step {
		s := lasting(10)
		s.MaxPerWorker = 0
		return s
	}(), jaybarrow.JobCancelled, func(f *fleet) { f.pool.Cancel("first", f.now) }},
	{"failed", tasks(11, 900), jaybarrow.JobFailed, func(f *fleet) { f.endOne(jaybarrow.EndFailed) }},
	{"completed with members of a gang left", func() jaybarrow.Step {
		s := tasks(11, 900)
		s.Gang = true
		return s
	}(), jaybarrow.JobCompleted, func(f *fleet) { f.endOne(jaybarrow.EndDone) }},
}

// endOne lets a worker list the end of one of its runs.
func (f *fleet) endOne(kind jaybarrow.EndKind) {
	for key, s := range f.running {
		delete(f.running, key)
		f.ended[s.Worker.ID] = append(f.ended[s.Worker.ID], f.endReport(s, kind))
		f.reportFrom(s.Worker.ID)
		return
	}
}

// Guards against a new leader that takes the runs of an ended job for ended too, and starts more for its team than the team's limit, while a
// worker that cannot be reached still runs them.
func TestASuccessorCountsRunsOfAnEndedJobForItsTeam(t *testing.T) {
	for _, c := range endings {
		for _, takeovers := range []int{1, 3} {
			t.Run(c.name, func(t *testing.T) {
				f := newEndingJob(t, c.step)
				f.maxAttempts = 1
				f.pool.UpdatePolicies(f.now)
				c.end(f)
				f.turn() // the worker gets none of the stops
				assert.Equal(t, f.finished["first"], c.state)
				var ledSince time.Time
				for range takeovers {
					f.takeOver("w2")
					ledSince = f.now
					assert.Equal(t, f.pool.Status("first").State, c.state)
					f.turn()
				}
				f.handInNext()
				for !f.nextStarted() {
					f.missReport("w1")
					f.advance(f.settings.Lease / 20)
					f.reportFrom("w2")
					f.turn()
				}
				took := f.now.Sub(ledSince)
				assert.Assert(t, took > f.settings.Lease && took < f.settings.Lease*5/4, "after %v", took)
			})
		}
	}
}

// Guards against a new leader that takes the room of such runs for free, on a worker that it can reach, or never stops them.
func TestASuccessorStopsRunsOfAnEndedJob(t *testing.T) {
	for _, c := range endings {
		t.Run(c.name, func(t *testing.T) {
			f := newEndingJob(t, c.step)
			f.maxAttempts = 1
			f.pool.UpdatePolicies(f.now)
			c.end(f)
			f.turn() // the leader goes before its stops do
			left := len(f.running)
			f.takeOver("w1", "w2")
			f.handInNext()
			assert.Assert(t, !f.pool.Reserve("w1"), "its host must not be moved")
			stops := f.turn()
			assert.Equal(t, len(stops), left)
			assert.Assert(t, !f.nextStarted(), "the team's limit is in use")
			f.stop(stops)
			f.reportFrom("w1")
			f.reportFrom("w2")
			f.turn()
			assert.Assert(t, f.nextStarted())
			assert.Equal(t, f.usedBy["trail"].CPU, jaybarrow.Millicores(10_000))
			assert.Equal(t, f.pool.Status("first").State, c.state)
		})
	}
}

// Guards against records that keep the runs of an ended job for good, and against more than one write for a job that ends with its last run.
func TestTheRecordOfAnEndedJobShrinksWithItsLastRun(t *testing.T) {
	f := newEndingJob(t, tasks(10, 1000))
	f.pool.Cancel("first", f.now)
	f.writes = 0
	stops := f.turn()
	assert.Equal(t, f.writes, 1)
	assert.Equal(t, len(f.jobs["first"].Steps), 1, "a successor needs what its runs use")
	f.takeOver("w1", "w2")
	stops = append(stops, f.turn()...)
	f.stop(stops)
	f.reportFrom("w1")
	for range 3 {
		f.turn()
	}
	assert.Equal(t, f.writes, 2)
	assert.Equal(t, len(f.jobs["first"].Steps), 0)
	r, err := workload.DecodeRecord(f.records["first"])
	assert.NilError(t, err)
	assert.Equal(t, r.State, jaybarrow.JobCancelled)
	assert.Assert(t, r.Progress == nil)
	f.advance(f.settings.Retention + time.Second)
	assert.DeepEqual(t, f.plan().Expired, []jaybarrow.JobID{"first"})

	f = newEndingJob(t, tasks(1, 1000))
	f.writes = 0
	f.endOne(jaybarrow.EndDone)
	for range 3 {
		f.turn()
	}
	assert.Equal(t, f.writes, 1)
	assert.Equal(t, len(f.jobs["first"].Steps), 0)
}

// Guards against members of a gang that run on in a step that is done, while a successor believes that they use nothing.
func TestASuccessorCountsTheRunsLeftOfADoneStep(t *testing.T) {
	for _, byMarks := range []bool{false, true} {
		f := newFleet(t, time.Hour)
		f.settings.ProgressByMarks = byMarks
		f.pool = f.newPool()
		f.addWorker("w1")
		gang := tasks(5, 1000)
		gang.Gang = true
		after := tasks(1, 7000)
		after.After = []jaybarrow.StepIndex{0}
		j := f.schedule("j", f.now, 0, 1)
		j.Recurrence, j.Steps = nil, []jaybarrow.Step{gang, after}
		f.accept(j)
		f.turn()
		f.endOne(jaybarrow.EndDone)
		f.turn()
		assert.Equal(t, len(f.running), 4, "the last step waits for room")
		f.takeOver("w1")
		f.turn()
		assert.Equal(t, f.used.CPU, jaybarrow.Millicores(4000))
		assert.Equal(t, len(f.starts), 5)
		for range 4 {
			f.endOne(jaybarrow.EndGangMemberEnded)
		}
		f.turn()
		assert.Equal(t, len(f.starts), 6)
	}
}

// Guards against a run that counts for nobody because it was given up: its worker was silent until its lease had ended, and runs it still.
func TestARunThatWasGivenUpCountsWhileItsWorkerReportsIt(t *testing.T) {
	for _, c := range []struct {
		name  string
		spare bool // whether another worker has room, so that the task is started again before the worker returns
		end   jaybarrow.EndKind
	}{
		{"waiting for room", false, jaybarrow.EndStopped},
		{"running elsewhere", true, jaybarrow.EndStopped},
		{"completed while it is stopped", false, jaybarrow.EndDone},
		{"completed while it runs elsewhere", true, jaybarrow.EndDone},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, time.Hour)
			f.addWorker("w1")
			j := f.schedule("j", f.now, 0, 1)
			j.Recurrence, j.Steps = nil, []jaybarrow.Step{tasks(1, 8000)}
			f.accept(j)
			f.turn()
			if c.spare {
				f.addWorker("w2")
			}
			f.missReport("w1")
			for range 12 {
				f.advance(f.settings.Lease / 10)
				if c.spare {
					f.report("w2", nil)
				}
				for _, s := range f.plan().Starts {
					f.pool.HandleStartOutcome(s, jaybarrow.StartDone, f.now)
					f.running[runID{s.Task, s.Run}] = s
				}
			}
			again := len(f.running) - 1
			assert.Equal(t, again == 1, c.spare)
			f.reportFrom("w1")
			assert.Equal(t, f.used.CPU, jaybarrow.Millicores(8000*(1+again)))
			other := f.schedule("other", f.now, 0, 1)
			other.Recurrence, other.Steps = nil, []jaybarrow.Step{tasks(1, 3000)}
			f.accept(other)
			stops := f.turn()
			assert.Equal(t, len(stops), 1)
			assert.Equal(t, f.starts[jaybarrow.TaskRef{Job: "other"}], 0, "no worker has room")
			run := f.running[runID{stops[0].Task, stops[0].Run}]
			delete(f.running, runID{stops[0].Task, stops[0].Run})
			f.ended["w1"] = append(f.ended["w1"], f.endReport(run, c.end))
			f.pool.HandleStopOutcome(stops[0], true, f.now)
			f.reportFrom("w1")
			f.turn()
			assert.Equal(t, f.starts[jaybarrow.TaskRef{Job: "other"}], 1)
			if c.end == jaybarrow.EndDone && !c.spare {
				assert.Equal(t, f.finished["j"], jaybarrow.JobCompleted)
				assert.Equal(t, f.used.CPU, jaybarrow.Millicores(3000))
			}
		})
	}
}
