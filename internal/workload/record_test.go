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

// Guards against a record that loses fields when it is encoded and decoded.
func TestRecordsRoundTrip(t *testing.T) {
	in := workload.Record{State: jaybarrow.JobRunning, Tasks: []workload.TaskRecord{
		{Done: true, Run: 3}, {Run: 2, Worker: "w1", InstanceStartMs: 5, Failures: 1, Checkpoint: "x"},
	}}
	data, err := in.Encode()
	assert.NilError(t, err)
	out, err := workload.DecodeRecord(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, in, out)
}
