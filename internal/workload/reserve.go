package workload

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// WorkerLoad is what runs on a worker.
type WorkerLoad struct {
	ID        jaybarrow.WorkerID
	Usable    bool
	Reserved  bool
	StartedMs int64 // wall clock of the worker's start; 0: not known
	Runs      int
	Lasting   int // of the runs
}

// Load is what a pool's workers do and what waits for them.
type Load struct {
	Workers []WorkerLoad
	Used    jaybarrow.Resources                     // by runs that count as used capacity
	Lasting jaybarrow.Resources                     // by those of lasting tasks
	Waiting jaybarrow.Resources                     // by tasks that could start now, of jobs that can still meet their target
	Late    jaybarrow.Resources                     // by those of jobs that cannot
	Offered jaybarrow.Resources                     // what runs on average while jobs arrive as they did lately
	Labels  map[jaybarrow.Label]jaybarrow.Resources // of what runs and waits, that which only workers with a label may run
}

// Load returns the pool's load.
func (p *Pool) Load(now time.Time) Load {
	out := Load{Labels: make(map[jaybarrow.Label]jaybarrow.Resources)}
	for _, w := range p.workers {
		if w.gone {
			continue
		}
		l := WorkerLoad{
			ID: w.entry.ID, Usable: w.usable(now, p.settings.Suspect) || w.reserved && w.failing == 0, Reserved: w.reserved,
			StartedMs: w.bornMs, Runs: len(w.runs),
		}
		for _, r := range w.runs {
			if r.task.step.spec.Lasting {
				l.Lasting++
				out.Lasting = out.Lasting.Plus(r.demand)
			}
			if label := r.task.step.spec.Requires; label != "" {
				out.Labels[label] = out.Labels[label].Plus(r.demand)
			}
		}
		out.Workers = append(out.Workers, l)
		out.Used = out.Used.Plus(w.used)
	}
	out.Offered = p.arrivals.offered(now)
	for _, j := range p.jobs {
		if j.state.Ended() {
			continue
		}
		for _, s := range j.steps {
			if s.idle == 0 || !s.ready(now) {
				continue
			}
			demand := s.spec.Demand.Times(s.idle)
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

// Reserve keeps new tasks from a worker that is to be moved or maintained; with onlyEmpty it does nothing unless nothing runs
// there. It reports whether the worker is reserved.
func (p *Pool) Reserve(id jaybarrow.WorkerID, onlyEmpty bool) bool {
	w := p.workers[id]
	if w == nil || onlyEmpty && len(w.runs) > 0 {
		return false
	}
	w.reserved = true
	return true
}

// Unreserve lets the worker receive new tasks again.
func (p *Pool) Unreserve(id jaybarrow.WorkerID) {
	if w := p.workers[id]; w != nil {
		w.reserved = false
	}
}

// Reserved reports whether the worker is expected to end, since its host is to be moved or maintained.
func (p *Pool) Reserved(id jaybarrow.WorkerID) bool {
	w := p.workers[id]
	return w != nil && w.reserved
}

// SetDue names the workers whose hosts are still to be maintained; lasting tasks begin elsewhere where they can.
func (p *Pool) SetDue(due map[jaybarrow.WorkerID]bool) {
	for id, w := range p.workers {
		w.due = due[id]
	}
}

// evacuate moves lasting tasks from reserved workers, as far as their steps may miss them.
func (p *Pool) evacuate(now time.Time) {
	for _, w := range p.workers {
		if !w.reserved || w.failing > 0 {
			continue
		}
		for _, r := range w.runs {
			if r.task.step.spec.Lasting && r.phase == runRunning && p.mayMiss(r, now) {
				p.stop(r, now)
			}
		}
	}
}

// mayMiss reports whether a lasting task may be away: enough others of its step are at work, and another worker has room.
func (p *Pool) mayMiss(r *run, now time.Time) bool {
	s := r.task.step
	away := 0
	for _, t := range s.tasks {
		if t != r.task && !t.atWork(now, p.settings.Suspect) {
			away++
		}
	}
	if away >= max(1, s.spec.MaxUnavailable) {
		return false
	}
	for _, w := range p.workers {
		if w != r.worker && w.usable(now, p.settings.Suspect) && p.allowed(r.task, w) {
			return true
		}
	}
	return false
}

// atWork reports whether a lasting task has started up on a worker that reports.
func (t *task) atWork(now time.Time, suspect time.Duration) bool {
	r := t.current
	return r != nil && r.phase == runRunning && r.progress >= fullPace && r.worker.failing == 0 && !r.worker.gone &&
		r.worker.heard(now, suspect)
}
