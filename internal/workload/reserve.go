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
	// Obstacle is why the worker cannot be emptied at present; empty when nothing is known to prevent it.
	Obstacle jaybarrow.DrainObstacle
}

// Load is what a pool's workers run and what waits for them.
type Load struct {
	Workers []WorkerLoad
	Used    jaybarrow.Resources                     // in use by runs; the CPU of background runs does not count
	Lasting jaybarrow.Resources                     // the part of Used that lasting tasks use
	Waiting jaybarrow.Resources                     // demand of tasks that could start now, of jobs that can still meet their target
	Late    jaybarrow.Resources                     // demand of tasks that could start now, of jobs that can no longer meet it
	Offered jaybarrow.Resources                     // average demand if jobs keep arriving at the recent rate
	Refused jaybarrow.Resources                     // average demand of the work that entry hosts have refused within the last second
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
		if now.Before(w.drainRetryAt) {
			l.Obstacle = w.obstacle
		}
		out.Workers = append(out.Workers, l)
		out.Used = out.Used.Plus(w.used)
		if w.evacuated() {
			// Lasting tasks stay there, so they need no room elsewhere; short ones are followed by others that do.
			out.Used = out.Used.Minus(w.lastingUsed)
			out.leaveOutLasting(w)
			continue
		}
		out.Lasting = out.Lasting.Plus(w.lastingUsed)
	}
	out.Offered = p.arrivals.offered(now)
	for j := range p.waiting {
		if j.state.Ended() {
			continue
		}
		p.addWaiting(&out, j, now)
	}
	return out
}

// leaveOutLasting takes off the demand by label of the worker's lasting runs.
func (l *Load) leaveOutLasting(w *worker) {
	if w.lasting == 0 {
		return
	}
	for _, r := range w.runs {
		spec := r.task.step.spec
		if !spec.Lasting || spec.Requires == "" {
			continue
		}
		l.Labels[spec.Requires] = l.Labels[spec.Requires].Minus(r.demand)
		if l.Labels[spec.Requires] == (jaybarrow.Resources{}) {
			delete(l.Labels, spec.Requires)
		}
	}
}

// addWaiting adds the demand of the job's tasks that could start now.
func (p *Pool) addWaiting(out *Load, j *job, now time.Time) {
	late := j.rank(now, 0) == rankLate // by what hosts change, which the dispatch of its tasks is not
	add := func(s *jaybarrow.Step, tasks int) {
		demand := s.Demand.Times(tasks)
		if label := s.Requires; label != "" {
			out.Labels[label] = out.Labels[label].Plus(demand)
		}
		if late {
			out.Late = out.Late.Plus(demand)
		} else {
			out.Waiting = out.Waiting.Plus(demand)
		}
	}
	for s := range j.steps() {
		if s.unassigned > 0 && s.ready(now) {
			add(s.spec, s.unassigned)
		}
	}
	if n := j.dueUnopened(now); n > 0 {
		for i := range j.spec.Steps {
			if s := &j.spec.Steps[i]; len(s.After) == 0 {
				add(s, s.Tasks*n)
			}
		}
	}
}

// Reserve stops the assignment of new tasks to a worker whose host is to be moved or maintained at once. It reports false, and changes
// nothing, when the worker is unknown or still has tasks.
func (p *Pool) Reserve(id jaybarrow.WorkerID) bool {
	w := p.workers[id]
	if w == nil || len(w.runs) > 0 {
		return false
	}
	w.reserved, w.emptyingSince, p.sweepDue = true, time.Time{}, true
	return true
}

// Unreserve ends the reservation of a worker.
func (p *Pool) Unreserve(id jaybarrow.WorkerID) {
	if w := p.workers[id]; w != nil {
		p.release(w)
	}
}

// release ends the reservation of the worker.
func (p *Pool) release(w *worker) {
	w.reserved, w.emptyingSince, w.obstructedSince, w.emptied, p.placementsDue = false, time.Time{}, time.Time{}, false, true
}

// Leaves reports whether the worker is expected to end, since its host is to be moved or maintained, or is known to have ended.
func (p *Pool) Leaves(id jaybarrow.WorkerID) bool {
	w := p.workers[id]
	return w == nil || w.reserved
}

// SetMaintenanceDue replaces the set of workers whose hosts await maintenance; lasting tasks are placed on other workers where
// possible.
func (p *Pool) SetMaintenanceDue(maintenanceDue map[jaybarrow.WorkerID]bool) {
	for id, w := range p.workers {
		w.maintenanceDue = maintenanceDue[id]
		if !w.maintenanceDue {
			w.drainWantedAt = time.Time{}
		}
	}
}
