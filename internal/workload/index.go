package workload

import (
	"cmp"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// sweepInterval is the longest time between two plans that check every worker and run. Lease ends, stalls and evacuations are decided
// with this delay; each of them takes several times as long to show.
const sweepInterval = 50 * time.Millisecond

// markWaiting records that the job may have tasks to place.
func (p *Pool) markWaiting(j *job) {
	p.waiting[j] = true
	p.placementsDue = true
}

// addWorker starts to track a worker.
func (p *Pool) addWorker(w *worker) {
	p.workers[w.entry.ID] = w
	p.sorted = nil
}

// removeWorker stops to track a worker without runs.
func (p *Pool) removeWorker(w *worker) {
	delete(p.workers, w.entry.ID)
	delete(p.unstoredEnds, w)
	p.advising.forget(w.entry.ID)
	p.sorted = nil
}

// Workers returns how many workers the pool tracks.
func (p *Pool) Workers() int { return len(p.workers) }

// sortedWorkers returns the workers by id; the result is valid until a worker is added or removed.
func (p *Pool) sortedWorkers() []*worker {
	if p.sorted == nil {
		for _, w := range p.workers {
			p.sorted = append(p.sorted, w)
		}
		slices.SortFunc(p.sorted, func(a, b *worker) int { return cmp.Compare(a.entry.ID, b.entry.ID) })
	}
	return p.sorted
}

// addRun adds the run's resources to what its worker, its team and its label use.
func (p *Pool) addRun(r *run) {
	spec, job := r.task.step.spec, r.task.step.job
	job.runs++
	r.worker.used = r.worker.used.Plus(r.demand)
	r.worker.runs[runKey{r.task.ref, r.number}] = r
	r.worker.countKinds(spec, 1)
	if spec.Lasting {
		r.worker.lasting++
		r.worker.lastingUsed = r.worker.lastingUsed.Plus(r.demand)
	} else {
		p.teamUsed[job.spec.Team] = p.teamUsed[job.spec.Team].Plus(r.demand)
	}
	if spec.Requires != "" {
		p.labelUsed[spec.Requires] = p.labelUsed[spec.Requires].Plus(r.demand)
	}
}

// removeRun undoes addRun, takes back the team's charge and removes the run from the indexes.
func (p *Pool) removeRun(r *run) {
	spec, job := r.task.step.spec, r.task.step.job
	job.runs--
	r.worker.used = r.worker.used.Minus(r.demand)
	delete(r.worker.runs, runKey{r.task.ref, r.number})
	r.worker.countKinds(spec, -1)
	if spec.Lasting {
		r.worker.lasting--
		r.worker.lastingUsed = r.worker.lastingUsed.Minus(r.demand)
	} else {
		p.teamUsed[job.spec.Team] = p.teamUsed[job.spec.Team].Minus(r.demand)
		if p.teamUsed[job.spec.Team] == (jaybarrow.Resources{}) {
			delete(p.teamUsed, job.spec.Team)
		}
	}
	if spec.Requires != "" {
		p.labelUsed[spec.Requires] = p.labelUsed[spec.Requires].Minus(r.demand)
		if p.labelUsed[spec.Requires] == (jaybarrow.Resources{}) {
			delete(p.labelUsed, spec.Requires)
		}
	}
	p.teams.Release(job.spec.Team, r.charged)
	delete(p.planned, r)
	delete(p.unsent, r)
	delete(p.stopping, r)
	p.placementsDue = true
}

// countKinds adds n to the counts of the worker's runs that throttling distinguishes.
func (w *worker) countKinds(spec *jaybarrow.Step, n int) {
	if spec.Background {
		w.background += n
	}
	if spec.LatencyMs > 0 {
		w.bounded += n
	}
}

// setPhase moves the run to a phase.
func (p *Pool) setPhase(r *run, to phase, now time.Time) {
	switch r.phase {
	case runPlanned:
		delete(p.planned, r)
		delete(p.unsent, r)
	case runStopping:
		delete(p.stopping, r)
	}
	r.phase, r.phaseSince = to, now
	switch to {
	case runPlanned:
		p.planned[r] = true
	case runStopping:
		p.stopping[r] = true
	}
}

// takeSweep reports whether this plan must check every worker and run.
func (p *Pool) takeSweep(now time.Time) bool {
	if !p.sweepDue && now.Sub(p.sweptAt) < sweepInterval {
		return false
	}
	p.sweepDue, p.sweptAt = false, now
	return true
}

// LimitOrders sets how many runs may wait for their start orders before no further task is placed, and how many stops a plan returns.
func (p *Pool) LimitOrders(unsent, stops int) {
	p.maxUnsent, p.maxStops = unsent, stops
}

// SetBatchDelay sets how long changes are collected into one write.
func (p *Pool) SetBatchDelay(d time.Duration) { p.batchDelay = d }

// SetRenewInterval sets how long a worker with running tasks may hold back its report.
func (p *Pool) SetRenewInterval(d time.Duration) { p.renewInterval = d }

// HasPlacementsDue reports whether tasks may be placeable that the last plan did not place.
func (p *Pool) HasPlacementsDue() bool { return p.placementsDue && len(p.waiting) > 0 }

// HasUnsentRuns reports whether runs whose assignment is stored wait for their start orders.
func (p *Pool) HasUnsentRuns() bool { return len(p.unsent) > 0 }
