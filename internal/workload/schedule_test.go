package workload_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
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

// heapBytes returns the memory that is in use.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// leaderMemory is the memory of the smallest host that may lead.
const leaderMemory = 284_000_000

// Guards against a leader that exceeds its memory by work that is to come, and is killed, and each one after it too. The bounds hold for a
// thousand schedules and a hundred jobs of many tasks; a tenth of them is loaded here.
func TestWorkToComeTakesLittleMemory(t *testing.T) {
	const part = 10
	cases := []struct {
		name  string
		jobs  int
		bound int64
		job   func(h *harness, id jaybarrow.JobID) *jaybarrow.Job
	}{
		{"schedules of one day that are not due", 1000, 64_000_000, func(h *harness, id jaybarrow.JobID) *jaybarrow.Job {
			return h.schedule(id, h.now.Add(time.Hour), 4500*time.Millisecond, runsADay)
		}},
		{"schedules whose runs are all due", 100, leaderMemory / 2, func(h *harness, id jaybarrow.JobID) *jaybarrow.Job {
			return h.schedule(id, h.now.Add(-48*time.Hour), 4500*time.Millisecond, runsADay)
		}},
		{"schedules without an interval", 100, leaderMemory / 2, func(h *harness, id jaybarrow.JobID) *jaybarrow.Job {
			return h.schedule(id, h.now, 0, runsADay)
		}},
		{"wide jobs", 100, leaderMemory / 2, func(h *harness, id jaybarrow.JobID) *jaybarrow.Job {
			j := h.schedule(id, h.now, 0, 1)
			j.Recurrence, j.Steps = nil, []jaybarrow.Step{tasks(runsADay, 1000)}
			return j
		}},
		{"jobs of many steps", 100, leaderMemory / 2, func(h *harness, id jaybarrow.JobID) *jaybarrow.Job {
			j := h.schedule(id, h.now, 0, runsADay/960)
			for len(j.Steps) < 960 {
				j.Steps = append(j.Steps, tasks(1, 1000))
			}
			return j
		}},
		{"gangs", 100, leaderMemory / 2, func(h *harness, id jaybarrow.JobID) *jaybarrow.Job {
			j := h.schedule(id, h.now, 0, runsADay/960)
			j.Steps[0].Tasks, j.Steps[0].Gang = 960, true
			return j
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("w1")
			before := heapBytes()
			for n := range c.jobs / part {
				h.pool.AddJob(c.job(h, jaybarrow.JobID(fmt.Sprint(n))), nil, h.now)
			}
			h.plan()
			h.pool.Load(h.now)
			used := heapBytes() - before
			t.Logf("%d jobs take %d KB", c.jobs/part, used/1000)
			assert.Assert(t, used < c.bound/part, "%d bytes", used)
			runtime.KeepAlive(h)
		})
	}
}

// Guards against a round of writes that exceeds a leader's memory, since each record of a wide job lists all that is done.
func TestWritesOfWideJobsTakeLittleMemory(t *testing.T) {
	const jobs, allJobs = 10, 100
	h := newHarness(t)
	h.settings.BatchDelay = 0
	h.pool = h.newPool()
	h.addWorker("w1")
	stored := &workload.Record{State: jaybarrow.JobRunning, Tasks: make([]workload.TaskRecord, runsADay-1)}
	for n := range stored.Tasks {
		stored.Tasks[n].Done = true
	}
	for n := range jobs {
		j := h.schedule(jaybarrow.JobID(fmt.Sprint(n)), h.now, 0, 1)
		j.Recurrence, j.Steps = nil, []jaybarrow.Step{tasks(runsADay, 1000)}
		h.pool.AddJob(j, stored, h.now)
	}
	before := heapBytes()
	out := h.pool.Plan(h.now, true)
	assert.Equal(t, len(out.Records), jobs)
	encoded := make([][]byte, jobs)
	for n, r := range out.Records {
		var err error
		encoded[n], err = r.Encode()
		assert.NilError(t, err)
	}
	used := heapBytes() - before
	t.Logf("a round of %d records takes %d KB", jobs, used/1000)
	assert.Assert(t, used < leaderMemory/2*jobs/allJobs)
	runtime.KeepAlive(out)
	runtime.KeepAlive(encoded)
}

// Guards against plans that visit each run of each schedule, due or not.
func TestSchedulesThatAreNotDueTakeNoTimeOfAPlan(t *testing.T) {
	planTime := func(schedules int) time.Duration {
		h := newHarness(t)
		for n := range 100 {
			h.addWorker(jaybarrow.WorkerID(fmt.Sprint(n)))
		}
		for n := range schedules {
			h.pool.AddJob(h.schedule(jaybarrow.JobID(fmt.Sprint(n)), h.now.Add(time.Hour), 4500*time.Millisecond, runsADay), nil, h.now)
		}
		least := time.Hour
		for range 30 {
			h.now = h.now.Add(60 * time.Millisecond)
			begin := time.Now()
			h.pool.Plan(h.now, true)
			least = min(least, time.Since(begin))
		}
		return least
	}
	without, with := planTime(0), planTime(100)
	t.Logf("a plan takes %v without schedules and %v with them", without, with)
	assert.Assert(t, with <= 2*without+20*time.Microsecond)
}

// BenchmarkPlanWithSchedules measures a plan beside schedules of which none is due.
func BenchmarkPlanWithSchedules(b *testing.B) {
	for _, schedules := range []int{0, 60, 1000} {
		b.Run(fmt.Sprint(schedules), func(b *testing.B) {
			h := newHarness(new(testing.T))
			for n := range 100 {
				h.addWorker(jaybarrow.WorkerID(fmt.Sprint(n)))
			}
			for n := range schedules {
				h.pool.AddJob(h.schedule(jaybarrow.JobID(fmt.Sprint(n)), h.now.Add(time.Hour), 4500*time.Millisecond, runsADay), nil, h.now)
			}
			for b.Loop() {
				h.now = h.now.Add(60 * time.Millisecond)
				h.pool.Plan(h.now, true)
			}
		})
	}
}

// BenchmarkLoadSchedules measures the memory that a leader takes for schedules of one day.
func BenchmarkLoadSchedules(b *testing.B) {
	for _, schedules := range []int{60, 1000} {
		b.Run(fmt.Sprint(schedules), func(b *testing.B) {
			for b.Loop() {
				h := newHarness(new(testing.T))
				before := heapBytes()
				for n := range schedules {
					h.pool.AddJob(h.schedule(jaybarrow.JobID(fmt.Sprint(n)), h.now.Add(time.Hour), 4500*time.Millisecond, runsADay), nil, h.now)
				}
				b.ReportMetric(float64(heapBytes()-before)/1e6, "MB")
				runtime.KeepAlive(h)
			}
		})
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

// Guards against progress that takes the more bytes and time of each write and takeover the more of a schedule is done.
func TestProgressByMarksLeavesOutWhatIsDone(t *testing.T) {
	f := newFleet(t, 300*time.Millisecond)
	f.settings.ProgressByMarks = true
	f.pool = f.newPool()
	f.addWorker("w1")
	j := f.schedule("j", f.now, time.Millisecond, 2000)
	f.accept(j)
	early := 0
	for n := 0; f.finished["j"] == ""; n++ {
		assert.Assert(t, n < 10_000)
		f.turn()
		f.reportFrom("w1")
		if len(f.starts) == 100 {
			early = f.largest
		}
	}
	assert.Equal(t, len(f.starts), 2000)
	t.Logf("largest record: %d bytes after 100 runs, %d after all", early, f.largest)
	assert.Assert(t, f.largest < early*5/4)
}

// Guards against a record that is too large to be stored, since thousands of runs of a schedule have begun and wait for a label.
func TestProgressByMarksFitsBesideRunsThatCannotGoOn(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	f.settings.ProgressByMarks, f.settings.MaxValueBytes = true, 48<<10
	f.pool = f.newPool()
	f.addWorker("w1")
	runs := workload.MaxTasks(f.settings.MaxValueBytes) / 2
	j := f.schedule("j", f.now, 0, runs)
	j.Steps = []jaybarrow.Step{tasks(1, 1000), tasks(1, 1000)}
	j.Steps[1].Requires = "none"
	f.accept(j)
	for n := 0; len(f.starts) < runs; n++ {
		assert.Assert(t, n < 10_000)
		f.turn()
		f.reportFrom("w1")
	}
	t.Logf("largest record: %d bytes", f.largest)
	assert.Assert(t, f.largest < f.settings.MaxValueBytes)
	f.takeOver("w1")
	f.turn()
	assert.Equal(t, len(f.starts), runs)
}

// Guards against a malformed record that ends a leader, and its successors too.
func TestMalformedProgressEndsNoLeader(t *testing.T) {
	for _, stored := range []string{
		`{"state":"running","progress":{"next":-1}}`,
		`{"state":"running","progress":{"next":99999}}`,
		`{"state":"running","progress":{"next":3,"open":[{"k":-5,"n":[1]},{"k":2,"n":[99,1,1,1]},{"k":1,"n":[1]},{"k":77}]}}`,
		`{"state":"running","progress":{"next":3,"open":[{"k":1,"n":[-4,2],"tasks":[{"step":-1,"run":1,"worker":"w1"},{"step":9,"index":9,"run":2,"worker":"w2"},{"index":-1,"run":3}]}]}}`,
		`{"state":"completed","progress":{"next":9,"open":[{"k":8,"n":[1],"tasks":[{"run":1,"worker":"w9"}]}]}}`,
		`{"state":"running","tasks":[{},{},{},{},{},{},{},{},{},{},{},{},{},{"run":-1,"worker":"w1"},{"done":true,"run":7,"worker":"w1"}]}`,
	} {
		h := newHarness(t)
		h.addWorker("w1")
		record, err := workload.DecodeRecord([]byte(stored))
		assert.NilError(t, err)
		j := h.schedule("j", h.now, 0, 4)
		j.Steps = append(j.Steps, tasks(2, 500))
		h.pool.AddJob(j, &record, h.now)
		h.planAndStart(jaybarrow.StartDone)
		h.pool.Load(h.now)
		h.pool.Cancel("j", h.now)
		h.plan()
	}
}

// Guards against a list of tasks that a successor reads otherwise than it was meant, by a job with every kind of progress.
func TestTheListOfTasksSaysTheSameAsTheMarks(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	after := tasks(2, 100)
	after.After = []jaybarrow.StepIndex{1}
	j := h.schedule("j", h.now, 0, 5)
	j.Steps = []jaybarrow.Step{tasks(3, 100), tasks(1, 100), after}
	const list = `{"state":"running","tasks":[` +
		`{"done":true},{"done":true},{"done":true},{"done":true},{"done":true},{"done":true},` +
		`{"done":true},{"run":4,"worker":"w1","failures":1},{"done":true},{"done":true},{"run":1},{},` +
		`{"done":true},{"done":true},{"done":true},{"done":true},{"done":true},{"done":true},` +
		`{},{},{},{"done":true,"run":2,"worker":"w1","bornMs":7},{"run":1,"saved":"c"}]}`
	record, err := workload.DecodeRecord([]byte(list))
	assert.NilError(t, err)
	h.pool.AddJob(j, &record, h.now)
	h.pool.Cancel("other", h.now)
	h.report("w1", nil) // the job is written again without its runs
	out := h.pool.Plan(h.now.Add(time.Second), false)
	assert.Equal(t, len(out.Records), 1)
	data, err := out.Records[0].Encode()
	assert.NilError(t, err)
	want := strings.NewReplacer(`,"worker":"w1","bornMs":7`, "", `"done":true,"run":2`, `"done":true`, `,"worker":"w1"`, "").Replace(list)
	assert.Equal(t, string(data), want)
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

// BenchmarkStoredProgress measures the record of a schedule with 19,200 runs, half of which are done.
func BenchmarkStoredProgress(b *testing.B) {
	for _, byMarks := range []bool{false, true} {
		b.Run(fmt.Sprintf("byMarks=%v", byMarks), func(b *testing.B) {
			f := newFleet(new(testing.T), 0)
			f.settings.ProgressByMarks = byMarks
			f.pool = f.newPool()
			f.addWorker("w1")
			j := f.schedule("j", f.now, 0, runsADay)
			done := workload.Record{State: jaybarrow.JobRunning, Tasks: make([]workload.TaskRecord, runsADay/2)}
			for n := range done.Tasks {
				done.Tasks[n].Done = true
			}
			f.pool.AddJob(j, &done, f.now)
			for b.Loop() {
				f.turn()
				f.reportFrom("w1")
			}
			b.ReportMetric(float64(f.largest), "bytes")
		})
	}
}

// Guards against a successor that reads the progress of an earlier build, which lists every task, otherwise than it was meant.
func TestTheProgressOfEveryTaskIsRead(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	j := h.schedule("j", h.now.Add(-time.Second), 0, 4)
	j.Steps = []jaybarrow.Step{tasks(2, 1000)}
	stored, err := workload.DecodeRecord([]byte(`{"state":"running","tasks":[{"done":true},{"done":true},{},{"done":true},{"run":3,"worker":"w1"},{"run":1},{},{}]}`))
	assert.NilError(t, err)
	h.pool.AddJob(j, &stored, h.now)
	run := workload.StartRun{Worker: jaybarrow.Worker{ID: "w1"}, Task: jaybarrow.TaskRef{Job: "j", Occurrence: 2}, Run: 3}
	h.report("w1", runReports([]workload.StartRun{run}, "w1", 10))
	var got []string
	for _, s := range h.planAndStart(jaybarrow.StartDone) {
		got = append(got, fmt.Sprintf("%v run %d", s.Task, s.Run))
	}
	assert.DeepEqual(t, got, []string{"j/1/0/0 run 1", "j/2/0/1 run 2", "j/3/0/0 run 1", "j/3/0/1 run 1"})
}
