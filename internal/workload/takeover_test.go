package workload_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// takeover returns a bench whose scheduler finds a stored job with two runs on the worker w1.
func takeover(t *testing.T) *bench {
	b := newBench(t)
	b.register("w1")
	j := &jaybarrow.Job{ID: "j", Queue: "match", Pool: "desk", Team: "trail", Steps: []jaybarrow.Step{tasks(2, 1000)}, AcceptedMs: b.now.UnixMilli()}
	b.pool.AddJob(j, &workload.Record{State: jaybarrow.JobRunning, Tasks: []workload.TaskRecord{
		{Run: 4, Worker: "w1"}, {Run: 2, Worker: "w1"},
	}}, b.now)
	return b
}

func inherited(index jaybarrow.TaskIndex, run jaybarrow.RunNumber) workload.StartRun {
	return workload.StartRun{
		Worker: jaybarrow.Worker{ID: "w1"}, Task: jaybarrow.TaskRef{Job: "j", Index: index}, Run: run,
	}
}

// Guards against a new scheduler that starts tasks again, or stops them, while they run or have ended at their worker.
func TestASuccessorAdoptsWhatRuns(t *testing.T) {
	b := takeover(t)
	assert.Equal(t, len(b.plan().Starts), 0, "nothing starts before the worker has reported")
	runs := []workload.StartRun{inherited(0, 4)}
	b.report("w1", running(runs, "w1", 30), b.end(inherited(1, 2), jaybarrow.EndDone))
	out := b.plan()
	assert.Equal(t, len(out.Starts)+len(out.Stops), 0)
	assert.Equal(t, b.used, jaybarrow.Resources{CPU: 1000, Memory: 100})
	b.report("w1", nil, b.end(runs[0], jaybarrow.EndDone))
	b.plan()
	assert.Equal(t, b.finished["j"], jaybarrow.JobCompleted)
}

// Guards against tasks that are lost because their start never reached the worker: the own fence has made it certain.
func TestASuccessorRestartsWhatTheWorkerDoesNotHave(t *testing.T) {
	b := takeover(t)
	b.report("w1", running([]workload.StartRun{inherited(0, 4)}, "w1", 30))
	s := b.plan().Starts
	assert.Equal(t, len(s), 1)
	assert.Equal(t, s[0].Run, jaybarrow.RunNumber(3))
}

// Guards against a second run while the first may go on behind a partition under the lease that the predecessor granted.
func TestASuccessorWaitsForTheLeaseOfASilentWorker(t *testing.T) {
	b := takeover(t)
	b.worker("w2")
	begun := b.now
	for {
		b.silent("w1")
		b.wait(b.settings.Lease / 20)
		b.report("w2", nil)
		if n := len(b.plan().Starts); n > 0 {
			assert.Equal(t, n, 2)
			break
		}
	}
	took := b.now.Sub(begun)
	assert.Assert(t, took > b.settings.Lease, "after %v", took)
	assert.Assert(t, took < b.settings.Lease*5/4, "after %v", took)
}

// Guards against a report of runs that no record explains, such as those of a job that has ended: they must not go on.
func TestUnknownRunsAreStopped(t *testing.T) {
	b := newBench(t)
	b.worker("w1")
	b.report("w1", []jaybarrow.RunReport{{Task: jaybarrow.TaskRef{Job: "gone"}, Run: 3}})
	out := b.plan()
	assert.Equal(t, len(out.Stops), 1)
	assert.Equal(t, out.Stops[0].Run, jaybarrow.RunNumber(3))
}

// Guards against lasting tasks that are stopped for a maintenance while another of their step is away: on a silent worker,
// starting up, or without room elsewhere.
func TestLastingTasksLeaveAReservedWorkerOneAtATime(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(b *bench, s []workload.StartRun)
		stops   int
	}{
		{"all at work", func(b *bench, s []workload.StartRun) { b.report("w2", running(s, "w2", 100)) }, 1},
		{"one starts up", func(b *bench, s []workload.StartRun) { b.report("w2", running(s, "w2", 50)) }, 0},
		{"one is silent", func(b *bench, s []workload.StartRun) {
			b.report("w2", running(s, "w2", 100))
			b.silent("w2")
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.worker("w1")
			b.worker("w2")
			b.add("j", lasting(2))
			s := b.start(jaybarrow.StartDone)
			assert.Equal(t, len(s), 2)
			b.worker("w3")
			b.report("w1", running(s, "w1", 100))
			c.prepare(b, s)
			assert.Assert(t, b.pool.Reserve("w1", false))
			assert.Equal(t, len(b.plan().Stops), c.stops)
		})
	}
	t.Run("no room elsewhere", func(t *testing.T) {
		b := newBench(t)
		b.worker("w1")
		b.worker("w2")
		b.add("j", lasting(2))
		s := b.start(jaybarrow.StartDone)
		b.report("w1", running(s, "w1", 100))
		b.report("w2", running(s, "w2", 100))
		assert.Assert(t, b.pool.Reserve("w1", false))
		assert.Equal(t, len(b.plan().Stops), 0)
	})
}

// Guards against lasting tasks that move from one host of a wave to the next.
func TestLastingTasksAvoidHostsThatAreDue(t *testing.T) {
	b := newBench(t)
	b.worker("w1")
	b.add("short", tasks(1, 1000))
	assert.Equal(t, len(b.start(jaybarrow.StartDone)), 1)
	b.worker("w2")
	b.pool.SetDue(map[jaybarrow.WorkerID]bool{"w1": true})
	b.add("j", lasting(1))
	s := b.start(jaybarrow.StartDone)
	assert.Equal(t, len(s), 1)
	assert.Equal(t, s[0].Worker.ID, jaybarrow.WorkerID("w2"))
}
