package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
)

// runsADay is how often a schedule of 4.5 s runs in a day.
const runsADay = 19_200

// schedule returns a job with one task a run, the first run of which is due at start.
func (h *harness) schedule(id jaybarrow.JobID, start time.Time, interval time.Duration, runs int) *jaybarrow.Job {
	return &jaybarrow.Job{
		ID: id, Queue: "match", Pool: "desk", Team: "trail", Spec: "s", Steps: []jaybarrow.Step{tasks(1, 1000)}, AcceptedMs: h.now.UnixMilli(),
		Recurrence: &jaybarrow.Recurrence{Runs: runs, StartMs: start.UnixMilli(), IntervalMs: interval.Milliseconds()},
	}
}

// Guards against runs of a schedule that begin early, twice or never when leaders change, each of which stores the progress in another form.
func TestAScheduleGoesOnOverTakeovers(t *testing.T) {
	for _, c := range []struct {
		name  string
		marks func(term int) bool
	}{
		{"by tasks", func(int) bool { return false }},
		{"by marks", func(int) bool { return true }},
		{"in turns", func(term int) bool { return term%2 == 1 }},
	} {
		t.Run(c.name, func(t *testing.T) { playSchedule(t, c.marks) })
	}
}

func playSchedule(t *testing.T, marks func(term int) bool) {
	f := newFleet(t, 300*time.Millisecond)
	f.settings.ProgressByMarks = marks(0)
	f.pool = f.newPool()
	f.addWorker("w1")
	f.addWorker("w2")
	const runs, interval = 400, 100 * time.Millisecond
	start := f.now.Add(time.Second)
	j := f.schedule("j", start, interval, runs)
	f.accept(j)
	for n := 0; f.finished["j"] == ""; n++ {
		assert.Assert(t, n < 5000, "%d of %d runs have begun", len(f.starts), runs)
		f.turn()
		f.reportFrom("w1")
		f.reportFrom("w2")
		if n%37 == 36 {
			f.settings.ProgressByMarks = marks(n / 37)
			f.takeOver("w1", "w2")
		}
	}
	assert.Equal(t, f.finished["j"], jaybarrow.JobCompleted)
	assert.Equal(t, len(f.starts), runs)
	assert.Equal(t, f.stops, 0)
	for ref, at := range f.started {
		due := start.Add(time.Duration(ref.Occurrence) * interval)
		assert.Assert(t, !at.Before(due) && at.Sub(due) < time.Second, "%v began at %v, due at %v", ref, at, due)
	}
}

// Guards against runs of a schedule that are all overdue and begin one after the other, although there is room for more.
func TestOverdueRunsFillThePool(t *testing.T) {
	f := newFleet(t, 300*time.Millisecond)
	f.addWorker("w1")
	f.addWorker("w2")
	j := f.schedule("j", f.now.Add(-time.Hour), time.Millisecond, 200)
	f.accept(j)
	assert.Equal(t, f.pool.Load(f.now).Waiting.CPU, jaybarrow.Millicores(200_000), "all of them wait")
	f.turn()
	assert.Equal(t, len(f.running), 20)
	for n := 0; f.finished["j"] == ""; n++ {
		assert.Assert(t, n < 1000)
		f.reportFrom("w1")
		f.reportFrom("w2")
		f.turn()
	}
	assert.Equal(t, len(f.starts), 200)
}

// Guards against a run that begins early because it was due by a clock that has been set back since.
func TestARunOfAScheduleIsNotEarlyAfterTheClockIsSetBack(t *testing.T) {
	h := newHarness(t)
	h.pool.AddJob(h.schedule("j", h.now.Add(time.Second), time.Second, 10), nil, h.now)
	h.advance(4 * time.Second)
	assert.Equal(t, len(h.plan().Starts), 0, "there is no worker")
	h.advance(-4 * time.Second)
	h.addWorker("w1")
	assert.Equal(t, len(h.plan().Starts), 0)
	h.advance(1500 * time.Millisecond)
	h.report("w1", nil)
	assert.Equal(t, len(h.plan().Starts), 1)
}

// Guards against a run of a schedule whose later steps are not begun, or begun too early, since others of its runs are under way.
func TestRunsOfAScheduleKeepTheOrderOfTheirSteps(t *testing.T) {
	f := newFleet(t, 300*time.Millisecond)
	f.addWorker("w1")
	f.addWorker("w2")
	j := f.schedule("j", f.now, 200*time.Millisecond, 50)
	j.Steps = []jaybarrow.Step{tasks(2, 1000), tasks(3, 500)}
	j.Steps[1].After = []jaybarrow.StepIndex{0}
	f.accept(j)
	for n := 0; f.finished["j"] == ""; n++ {
		assert.Assert(t, n < 5000)
		f.turn()
		f.reportFrom("w1")
		f.reportFrom("w2")
		if n%23 == 22 {
			f.takeOver("w1", "w2")
		}
	}
	assert.Equal(t, len(f.starts), 50*5)
	assert.Equal(t, f.stops, 0)
	for ref, at := range f.started {
		if ref.Step == 1 {
			for i := range jaybarrow.TaskIndex(2) {
				first := jaybarrow.TaskRef{Job: "j", Occurrence: ref.Occurrence, Index: i}
				assert.Assert(t, at.Sub(f.started[first]) >= f.runTime, "%v began at %v, %v at %v", ref, at, first, f.started[first])
			}
		}
	}
}
