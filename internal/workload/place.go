package workload

import (
	"cmp"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// place assigns waiting tasks to workers, job after job.
func (p *Pool) place(now time.Time) {
	open := make([]*worker, 0, len(p.workers))
	for _, w := range p.workers {
		if w.usable(now, p.settings.Suspect) {
			open = append(open, w)
		}
	}
	slices.SortFunc(open, func(a, b *worker) int { return cmp.Compare(a.entry.ID, b.entry.ID) })
	if len(open) == 0 {
		return
	}
	largest := largestFree(open)
	for _, j := range p.order(now) {
		for _, s := range j.steps {
			if s.idle > 0 && s.roomLeft(largest) && s.ready(now) {
				p.placeStep(s, open, now)
			}
		}
	}
}

// largestFree returns the largest free part of each resource on any worker: what exceeds it fits nowhere.
func largestFree(open []*worker) jaybarrow.Resources {
	var out jaybarrow.Resources
	for _, w := range open {
		f := w.free()
		out.CPU, out.Memory, out.Accelerators = max(out.CPU, f.CPU), max(out.Memory, f.Memory), max(out.Accelerators, f.Accelerators)
	}
	return out
}

// roomLeft reports whether a task of the step could fit a worker with that much room.
func (s *step) roomLeft(largest jaybarrow.Resources) bool {
	demand := s.spec.Demand
	if s.spec.Background {
		demand.CPU = 0
	}
	return demand.FitsIn(largest)
}

// order returns the jobs with tasks to start: first those that can still meet their target, of these those of more urgent queues,
// then those of teams within their share, then by target.
func (p *Pool) order(now time.Time) []*job {
	var waiting []*job
	for _, j := range p.jobs {
		if !j.state.Ended() && j.left > 0 && slices.ContainsFunc(j.steps, func(s *step) bool { return s.idle > 0 }) {
			waiting = append(waiting, j)
		}
	}
	beyond := p.beyondShare(waiting)
	slices.SortFunc(waiting, func(a, b *job) int {
		return cmp.Or(
			cmp.Compare(a.rank(now), b.rank(now)),
			cmp.Compare(a.policy.Priority, b.policy.Priority),
			cmp.Compare(beyond[a.spec.Team], beyond[b.spec.Team]),
			a.due.Compare(b.due),
			cmp.Compare(a.spec.ID, b.spec.ID),
		)
	})
	return waiting
}

// The ranks of jobs: lasting ones, which are few and wait for no turn, then those in time, then late ones.
const (
	rankLasting = iota
	rankInTime
	rankLate
)

// rank returns the job's rank; a lower one is served first.
func (j *job) rank(now time.Time) int {
	switch {
	case j.spec.Lasting():
		return rankLasting
	case now.Add(j.chain).Before(j.due):
		return rankInTime
	}
	return rankLate
}

func (p *Pool) placeStep(s *step, open []*worker, now time.Time) {
	if s.spec.Gang {
		p.placeGang(s, open, now)
		return
	}
	for _, t := range s.tasks {
		if t.done || t.current != nil {
			continue
		}
		if p.placeTask(t, open, now) == nil {
			return
		}
		p.begin(s.job, now)
	}
}

// begin notes that runs of the job were assigned.
func (p *Pool) begin(j *job, now time.Time) {
	p.urgent[j] = true
	j.state = jaybarrow.JobRunning
	if !j.begun {
		j.begun = true
		p.observer.JobStarted(j.spec, now.Sub(j.accepted))
	}
}

// placeTask assigns the task to the best worker; nil when none can take it now.
func (p *Pool) placeTask(t *task, open []*worker, now time.Time) *run {
	w := p.choose(t, open, now)
	if w == nil || !p.teams.TryUse(t.step.job.spec.Team, t.step.spec.Demand) {
		return nil
	}
	r := p.attach(t, w, t.run+1, now)
	r.ticket, _ = t.step.ticketFor(w, now)
	return r
}

// placeGang assigns all tasks of a gang under one run number, or none.
func (p *Pool) placeGang(s *step, open []*worker, now time.Time) {
	var number jaybarrow.RunNumber
	for _, t := range s.tasks {
		if t.current != nil {
			return // an earlier run of the gang has not ended everywhere
		}
		number = max(number, t.run)
	}
	var placed []*run
	for _, t := range s.tasks {
		t.run = number
		r := p.placeTask(t, open, now)
		if r == nil {
			for _, other := range placed {
				p.withdraw(other)
			}
			return
		}
		placed = append(placed, r)
	}
	p.begin(s.job, now)
}

// withdraw undoes an assignment that was not stored or sent.
func (p *Pool) withdraw(r *run) {
	t := r.task
	delete(r.worker.runs, runKey{t.ref, r.number})
	r.worker.used = r.worker.used.Minus(r.demand)
	p.teams.Release(t.step.job.spec.Team, r.charged)
	t.step.job.runs--
	t.step.idle++
	t.current = nil
	t.run--
}

// choose returns the worker for the task, or nil.
func (p *Pool) choose(t *task, open []*worker, now time.Time) *worker {
	var best *worker
	var bestScore float64
	for _, w := range open {
		if !p.allowed(t, w) {
			continue
		}
		if _, ok := t.step.ticketFor(w, now); !ok {
			continue
		}
		if score := p.score(t, w); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// allowed reports whether the task may run on the worker.
func (p *Pool) allowed(t *task, w *worker) bool {
	s := t.step.spec
	demand := s.Demand
	if s.Background {
		demand.CPU = 0
	}
	switch {
	case !demand.FitsIn(w.free()):
		return false
	case s.Requires != "" && !slices.Contains(w.entry.Labels, s.Requires):
		return false
	case s.MaxPerWorker > 0 && w.count(t.step) >= s.MaxPerWorker:
		return false
	}
	return true
}

// The weights of a placement's score; the largest decides, the fraction of room used breaks ties.
const (
	weightAvoid    = -100 // the task failed there
	weightData     = 20   // far from its data it takes a multiple of its time
	weightSameRack = 10   // so do the tasks of a step that is spread over racks
	weightDue      = -30  // a lasting task would have to move again soon
	weightApart    = -5   // background work beside work with a latency bound disturbs it
	weightFull     = 1
)

func (p *Pool) score(t *task, w *worker) float64 {
	s := t.step.spec
	score := weightFull * float64(w.used.CPU) / float64(max(1, w.entry.Capacity.CPU))
	if t.avoid == w.entry.ID {
		score += weightAvoid
	}
	if s.DataRack != "" && s.DataRack == w.entry.Rack {
		score += weightData
	}
	if s.Lasting && w.due {
		score += weightDue
	}
	if s.SameRack && t.step.onRack(w.entry.Rack) {
		score += weightSameRack
	}
	if s.Background || s.LatencyMs > 0 {
		for _, r := range w.runs {
			other := r.task.step.spec
			if s.Background && other.LatencyMs > 0 || s.LatencyMs > 0 && other.Background {
				score += weightApart
			}
		}
	}
	return score
}

// onRack reports whether a task of the step has a run on the rack.
func (s *step) onRack(rack jaybarrow.RackID) bool {
	for _, t := range s.tasks {
		if t.current != nil && t.current.worker.entry.Rack == rack {
			return true
		}
	}
	return false
}
