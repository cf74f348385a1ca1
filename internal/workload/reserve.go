package workload

import (
	"maps"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// WorkerLoad is the load of one worker.
type WorkerLoad struct {
	ID        jaybarrow.WorkerID
	Usable    bool // can receive tasks, or is reserved and reports
	Reserved  bool
	StartedMs int64 // wall clock of the process's start; 0 when unknown
	Runs      int
	Lasting   int // runs of lasting tasks among them
}

// Load is what a pool's workers run and what waits for them.
type Load struct {
	Workers []WorkerLoad
	Used    jaybarrow.Resources                     // in use by runs; the CPU of background runs does not count
	Lasting jaybarrow.Resources                     // the part of Used that lasting tasks use
	Waiting jaybarrow.Resources                     // demand of tasks that could start now, of jobs that can still meet their target
	Late    jaybarrow.Resources                     // demand of tasks that could start now, of jobs that can no longer meet it
	Offered jaybarrow.Resources                     // average demand if jobs keep arriving at the recent rate
	Labels  map[jaybarrow.Label]jaybarrow.Resources // demand of running and waiting tasks that require a label
}

// Load returns the pool's load.
func (p *Pool) Load(now time.Time) Load {
	out := Load{Labels: maps.Clone(p.labelUsed), Workers: make([]WorkerLoad, 0, len(p.workers))}
	for _, w := range p.workers {
		if w.gone {
			continue
		}
		l := WorkerLoad{
			ID: w.entry.ID, Usable: w.usable(now, p.settings.ReportGrace) || w.reserved && w.missedReports == 0, Reserved: w.reserved,
			StartedMs: w.instanceStartMs, Runs: len(w.runs), Lasting: w.lasting,
		}
		out.Workers = append(out.Workers, l)
		out.Used = out.Used.Plus(w.used)
		out.Lasting = out.Lasting.Plus(w.lastingUsed)
	}
	out.Offered = p.arrivals.offered(now)
	for j := range p.waiting {
		if j.state.Ended() {
			continue
		}
		for _, s := range j.steps {
			if s.unassigned == 0 || !s.ready(now) {
				continue
			}
			demand := s.spec.Demand.Times(s.unassigned)
			if label := s.spec.Requires; label != "" {
				out.Labels[label] = out.Labels[label].Plus(demand)
			}
			if j.rank(now) == rankLate {
				out.Late = out.Late.Plus(demand)
			} else {
				out.Waiting = out.Waiting.Plus(demand)
			}
		}
	}
	return out
}

// Reserve stops the assignment of new tasks to a worker whose host is to be moved or maintained. It reports false, and changes
// nothing, when the worker is unknown or, with onlyEmpty, still has tasks.
func (p *Pool) Reserve(id jaybarrow.WorkerID, onlyEmpty bool) bool {
	w := p.workers[id]
	if w == nil || onlyEmpty && len(w.runs) > 0 {
		return false
	}
	w.reserved, p.sweepDue = true, true
	return true
}

// Unreserve ends the reservation of a worker.
func (p *Pool) Unreserve(id jaybarrow.WorkerID) {
	if w := p.workers[id]; w != nil {
		w.reserved, w.reservedAt, p.placementsDue = false, time.Time{}, true
	}
}

// Reserved reports whether the worker is reserved and therefore expected to end: its host is to be moved or maintained.
func (p *Pool) Reserved(id jaybarrow.WorkerID) bool {
	w := p.workers[id]
	return w != nil && w.reserved
}

// SetMaintenanceDue replaces the set of workers whose hosts await maintenance; lasting tasks are placed on other workers where
// possible.
func (p *Pool) SetMaintenanceDue(maintenanceDue map[jaybarrow.WorkerID]bool) {
	for id, w := range p.workers {
		w.maintenanceDue = maintenanceDue[id]
	}
}

// relocationTime is how long the lasting tasks on a reserved worker wait for room elsewhere before they are stopped without, to start again
// after its maintenance. Joining hosts bring room within it, and short tasks end.
const relocationTime = 3 * time.Second

// evacuateReserved stops lasting tasks on reserved workers, as far as their steps' MaxUnavailable allows, so that they move to others. A worker
// whose tasks found no room elsewhere for relocationTime is emptied all the same once this can be done at a stroke, so that its
// maintenance begins at once.
func (p *Pool) evacuateReserved(now time.Time) {
	for _, w := range p.workers {
		if !w.reserved || w.missedReports > 0 {
			continue
		}
		if w.reservedAt.IsZero() {
			w.reservedAt = now
		}
		emptied := now.Sub(w.reservedAt) >= relocationTime && p.mayEmpty(w, now)
		for _, r := range w.runs {
			if r.evictable() && (emptied || p.mayMiss(r, now) && p.hasRoomElsewhere(r, now)) {
				p.stopRun(r, now)
			}
		}
	}
}

// mayEmpty reports whether only lasting tasks run on the worker and all of them may be stopped together.
func (p *Pool) mayEmpty(w *worker, now time.Time) bool {
	steps := make(map[*step]bool, len(w.runs))
	for _, r := range w.runs {
		s := r.task.step
		if !r.evictable() || steps[s] || !p.mayMiss(r, now) {
			return false
		}
		steps[s] = true
	}
	return true
}

// evictable reports whether the run is one of a lasting task that can be stopped.
func (r *run) evictable() bool { return r.task.step.spec.Lasting && r.phase == runRunning }

// mayMiss reports whether the lasting task may be unavailable: enough others of its step are available.
func (p *Pool) mayMiss(r *run, now time.Time) bool {
	s := r.task.step
	unavailable := 0
	for _, t := range s.tasks {
		if t != r.task && !t.available(now, p.settings.ReportGrace) {
			unavailable++
		}
	}
	return unavailable < max(1, s.spec.MaxUnavailable)
}

// hasRoomElsewhere reports whether another worker can take the run's task.
func (p *Pool) hasRoomElsewhere(r *run, now time.Time) bool {
	for _, w := range p.workers {
		if w != r.worker && w.usable(now, p.settings.ReportGrace) && p.canRun(r.task, w) {
			return true
		}
	}
	return false
}

// available reports whether a lasting task has finished starting up on a worker that reports on time.
func (t *task) available(now time.Time, grace time.Duration) bool {
	r := t.current
	return r != nil && r.phase == runRunning && r.progress >= fullPercent && r.worker.missedReports == 0 && !r.worker.gone &&
		r.worker.reportsOnTime(now, grace)
}
