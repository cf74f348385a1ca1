package workload_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// fleet plays the workers of a pool over takeovers.
type fleet struct {
	*harness
	jobs    map[jaybarrow.JobID]*jaybarrow.Job // as stored
	records map[jaybarrow.JobID][]byte         // as stored
	writes  int                                // records that were written
	stops   int                                // stops that were sent
	running map[runID]workload.StartRun
	ended   map[jaybarrow.WorkerID][]jaybarrow.EndReport // that no order has acknowledged
	starts  map[jaybarrow.TaskRef]int
	started map[jaybarrow.TaskRef]time.Time
	runTime time.Duration
	largest int // size of the largest record
}

type runID struct {
	task jaybarrow.TaskRef
	run  jaybarrow.RunNumber
}

func newFleet(t *testing.T, runTime time.Duration) *fleet {
	return &fleet{
		harness: newHarness(t), jobs: make(map[jaybarrow.JobID]*jaybarrow.Job), records: make(map[jaybarrow.JobID][]byte),
		running: make(map[runID]workload.StartRun), ended: make(map[jaybarrow.WorkerID][]jaybarrow.EndReport),
		starts: make(map[jaybarrow.TaskRef]int), started: make(map[jaybarrow.TaskRef]time.Time), runTime: runTime,
	}
}

// accept stores a job and adds it to the pool.
func (f *fleet) accept(j *jaybarrow.Job) {
	f.jobs[j.ID] = j
	f.pool.AddJob(j, nil, f.now)
}

// takeOver replaces the pool by one that reads the register and the stored jobs and then has reports of some workers.
func (f *fleet) takeOver(reporting ...jaybarrow.WorkerID) {
	f.Helper()
	f.used, f.usedBy = jaybarrow.Resources{}, make(map[jaybarrow.TeamID]jaybarrow.Resources)
	f.pool = f.newPool()
	for _, id := range slices.Sorted(maps.Keys(f.clocks)) {
		f.pool.SetWorker(jaybarrow.Worker{
			ID: id, Pool: "desk", Address: "192.0.2.1:80", State: jaybarrow.WorkerReady, Capacity: jaybarrow.Resources{CPU: 10_000, Memory: 10_000},
		}, f.now)
	}
	for _, id := range slices.Sorted(maps.Keys(f.jobs)) {
		var stored *workload.Record
		if data, ok := f.records[id]; ok {
			r, err := workload.DecodeRecord(data)
			assert.NilError(f, err)
			stored = &r
		}
		f.pool.AddJob(f.jobs[id], stored, f.now)
	}
	for _, id := range reporting {
		f.reportFrom(id)
	}
}

// reportFrom delivers the report of a worker whose tasks end after their run time.
func (f *fleet) reportFrom(id jaybarrow.WorkerID) {
	f.Helper()
	var running []workload.StartRun
	for key, s := range f.running {
		switch {
		case s.Worker.ID != id:
		case f.now.Sub(f.started[s.Task]) >= f.runTime:
			f.ended[id] = append(f.ended[id], f.endReport(s, jaybarrow.EndDone))
			delete(f.running, key)
		default:
			running = append(running, s)
		}
	}
	order := f.report(id, runReports(running, id, 50), f.ended[id]...)
	f.ended[id] = slices.DeleteFunc(f.ended[id], func(e jaybarrow.EndReport) bool { return e.Number <= order.Acknowledged })
}

// turn plans once, stores what the plan says, starts its runs, each of which must be the first of its task, and returns the stops.
func (f *fleet) turn() []workload.StopRun {
	f.Helper()
	out := f.plan()
	for _, r := range out.Records {
		data, err := r.Encode()
		assert.NilError(f, err)
		f.records[r.Job], f.largest = data, max(f.largest, len(data))
		f.writes++
		if r.Accepted != nil {
			f.jobs[r.Job] = r.Accepted
		}
	}
	f.stops += len(out.Stops)
	for _, s := range out.Starts {
		f.starts[s.Task]++
		assert.Equal(f, f.starts[s.Task], 1, "%v is started twice", s.Task)
		f.pool.HandleStartOutcome(s, jaybarrow.StartDone, f.now)
		f.running[runID{s.Task, s.Run}], f.started[s.Task] = s, f.now
	}
	return out.Stops
}

// stop lets the workers carry the stops out and answer them.
func (f *fleet) stop(stops []workload.StopRun) {
	for _, s := range stops {
		if run, ok := f.running[runID{s.Task, s.Run}]; ok {
			delete(f.running, runID{s.Task, s.Run})
			f.ended[s.Worker.ID] = append(f.ended[s.Worker.ID], f.endReport(run, jaybarrow.EndStopped))
		}
		f.pool.HandleStopOutcome(s, true, f.now)
	}
}
