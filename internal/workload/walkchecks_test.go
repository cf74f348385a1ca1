package workload_test

import (
	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// checkFailures reports an error when a stored record has more failures of a task than runs of it that failed.
func (w *walk) checkFailures(id jaybarrow.JobID) {
	for ref, t := range storedTasks(id, w.records[id]) {
		if t.Failures > w.failures[ref] {
			w.Errorf("%v is stored with %d failures, and %d of its runs failed", ref, t.Failures, w.failures[ref])
		}
	}
}

// checkFinished reports an error for a job that has failed although none of its tasks has failed too often.
func (w *walk) checkFinished() {
	for id, state := range w.finished {
		most := 0
		for ref, n := range w.failures {
			if ref.Job == id {
				most = max(most, n)
			}
		}
		if state == jaybarrow.JobFailed && most < w.maxAttempts {
			w.Errorf("%s has failed, with %d failed runs of one task of %d that are allowed", id, most, w.maxAttempts)
		}
	}
}

// checkAlone reports an error when another run of the task still runs.
func (w *walk) checkAlone(starting *walkWorker, id runID) {
	for _, worker := range w.workers {
		for other := range worker.running {
			if other.task == id.task && worker.clock(w.now) <= worker.lease {
				w.Errorf("%s starts %v run %d while %s runs run %d", starting.id, id.task, id.run, worker.id, other.run)
			}
		}
	}
}

// checkStored reports an error when the end of a run is acknowledged while the store says that the run may exist, or that its task is to be done
// still. A job that has ended may keep a run for longer, which only delays others.
func (w *walk) checkStored(e jaybarrow.EndReport, id jaybarrow.WorkerID) {
	r := w.records[e.Task.Job]
	if r.State.Ended() {
		return
	}
	if t := storedTasks(e.Task.Job, r)[e.Task]; t.Run == e.Run && t.Worker != "" {
		w.Errorf("end %d of %s, %v run %d, is acknowledged and not stored", e.Number, id, e.Task, e.Run)
	}
	if e.Kind == jaybarrow.EndDone && !isStoredDone(e.Task, r) {
		w.Errorf("end %d of %s, %v run %d, is acknowledged and its task is not stored as done", e.Number, id, e.Task, e.Run)
	}
}

// isStoredDone reports whether the record of a job of one step says that the task is done.
func isStoredDone(ref jaybarrow.TaskRef, r workload.Record) bool {
	if t, ok := storedTasks(ref.Job, r)[ref]; ok {
		return t.Done
	}
	p := r.Progress
	return p != nil && p.Next > 0 && (len(p.Open) == 0 || len(p.Open[0].Next) > 0 && p.Open[0].Next[0] > ref.Index)
}

// storedTasks returns the tasks that the record of a job of one step holds.
func storedTasks(id jaybarrow.JobID, r workload.Record) map[jaybarrow.TaskRef]workload.TaskRecord {
	out := make(map[jaybarrow.TaskRef]workload.TaskRecord)
	for n, t := range r.Tasks {
		out[jaybarrow.TaskRef{Job: id, Index: jaybarrow.TaskIndex(n)}] = t
	}
	if r.Progress != nil {
		for _, o := range r.Progress.Open {
			for _, t := range o.Tasks {
				out[jaybarrow.TaskRef{Job: id, Index: t.Index}] = t.TaskRecord
			}
		}
	}
	return out
}
