package worker

import (
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/task"
)

// usage keeps the past sets of running tasks, so that reports lag as the platform's do.
type usage struct {
	lag     time.Duration
	history []usageAt // oldest first
}

type usageAt struct {
	since   time.Time
	running []jaybarrow.TaskID
}

// SetUsageLag sets how old the running tasks in a report are.
func (w *Worker) SetUsageLag(lag time.Duration) {
	w.Lock()
	defer w.Unlock()
	w.usage.lag = lag
}

// noteUsage adds the current set of running tasks to the history.
func (w *Worker) noteUsage() {
	running := []jaybarrow.TaskID{}
	for id, r := range w.records {
		if r.outcome == task.OutcomeRunning {
			running = append(running, id)
		}
	}
	slices.Sort(running)
	now := w.clock.Now()
	w.usage.history = append(w.usage.history, usageAt{since: now, running: running})
	w.usage.prune(now)
}

// prune drops the states that a report can no longer show.
func (u *usage) prune(now time.Time) {
	for len(u.history) > 1 && now.Sub(u.history[1].since) > u.lag {
		u.history = u.history[1:]
	}
}

func (u *usage) report(now time.Time) []jaybarrow.TaskID {
	u.prune(now)
	if len(u.history) == 0 || now.Sub(u.history[0].since) < u.lag {
		return []jaybarrow.TaskID{}
	}
	return u.history[0].running
}

// Status returns the worker's report; the running tasks lag, the clock and the drain do not.
func (w *Worker) Status() jaybarrow.WorkerStatus {
	w.Lock()
	defer w.Unlock()
	return jaybarrow.WorkerStatus{
		Clock: w.Clock(), Draining: w.draining, DrainingSince: w.drainingSince, Capacity: w.capacity,
		Running:   w.usage.report(w.clock.Now()),
		RunningAt: w.Clock() - jaybarrow.WorkerClock(w.usage.lag.Milliseconds()),
	}
}
