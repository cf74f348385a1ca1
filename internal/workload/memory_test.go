package workload_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// leaderMemory is the memory of the smallest host that may lead.
const leaderMemory = 284_000_000

// heapBytes returns the memory that is in use.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

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
