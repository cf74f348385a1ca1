package worker

import (
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/task"
)

// usage keeps the past sets of running tasks, so that reports can lag like those of the platform.
type usage struct {
	lag     time.Duration
	history []usageSample // oldest first
}

type usageSample struct {
	since   time.Time
	running []jaybarrow.TaskID
}

// SetUsageLag sets the lag of the running tasks in a report.
func (w *Worker) SetUsageLag(lag time.Duration) {
	w.Lock()
	defer w.Unlock()
	w.usage.lag = lag
}

// recordUsage adds the current set of running tasks to the history.
func (w *Worker) recordUsage() {
	running := []jaybarrow.TaskID{}
	for id, r := range w.records {
		if r.outcome == task.OutcomeRunning {
			running = append(running, id)
		}
	}
	slices.Sort(running)
	now := w.clock.Now()
	w.usage.history = append(w.usage.history, usageSample{since: now, running: running})
	w.usage.prune(now)
}

// prune drops the samples that are too old for a report.
func (u *usage) prune(now time.Time) {
	for len(u.history) > 1 && now.Sub(u.history[1].since) > u.lag {
		u.history = u.history[1:]
	}
}

// report returns the tasks that were running one lag before now, or none when the history does not reach back that far.
func (u *usage) report(now time.Time) []jaybarrow.TaskID {
	u.prune(now)
	if len(u.history) == 0 || now.Sub(u.history[0].since) < u.lag {
		return []jaybarrow.TaskID{}
	}
	return u.history[0].running
}

// Status returns the report of the worker. Its running tasks lag; its clock and drain state do not.
func (w *Worker) Status() jaybarrow.WorkerStatus {
	w.Lock()
	defer w.Unlock()
	return jaybarrow.WorkerStatus{
		Clock: w.Clock(), Draining: w.draining, DrainingSince: w.drainingSince, Capacity: w.capacity,
		Running:   w.usage.report(w.clock.Now()),
		RunningAt: w.Clock() - jaybarrow.WorkerClock(w.usage.lag.Milliseconds()),
	}
}
