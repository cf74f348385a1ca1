package workload

import (
	"cmp"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// AdviceRequest is a decision to ask the adviser which workers may run a step.
type AdviceRequest struct {
	Step      jaybarrow.StepRef
	Workers   []jaybarrow.WorkerID
	instances map[jaybarrow.WorkerID]instanceNumber // the instance of each worker when the request was made
}

const (
	// maxAdviceWorkers bounds the workers that one request names, because an answer takes time for each of them.
	maxAdviceWorkers = 30
	// adviceMargin is how long before its expiry a ticket is no longer used, to cover the transfer to the worker and clock drift.
	adviceMargin = 200 * time.Millisecond
	// adviceRetry is the interval at which a request is repeated that was not answered.
	adviceRetry = time.Second
	// adviceRestart is how long after its last answer an adviser that has refused every worker is asked again from the start.
	adviceRestart = 10 * time.Second
)

// stepAdvice is what a step knows of its adviser's decisions.
type stepAdvice struct {
	tickets     map[jaybarrow.WorkerID]ticket         // of the workers that are allowed, also expired ones
	refused     map[jaybarrow.WorkerID]instanceNumber // the instances of workers that are not allowed
	requestedAt time.Time                             // when the request that waits for its answer was made; zero without one
	answeredAt  time.Time
}

// requestAdvice returns the requests for steps of the waiting jobs that no worker with a ticket can take, in the order of their jobs.
func (p *Pool) requestAdvice(waiting []*job, now time.Time) []AdviceRequest {
	var out []AdviceRequest
	for _, j := range waiting {
		if j.policy.Advice == nil {
			continue
		}
		for s := range j.steps() {
			if s.unassigned == 0 || !s.ready(now) {
				continue
			}
			if s.advice == nil {
				s.advice = new(stepAdvice)
			}
			if !s.advice.requestedAt.IsZero() && now.Sub(s.advice.requestedAt) < adviceRetry {
				continue
			}
			if q, ok := p.newAdviceRequest(s, now); ok {
				s.advice.requestedAt = now
				out = append(out, q)
			}
		}
	}
	return out
}

// newAdviceRequest names workers that could take a task of the step if they were allowed: first those that were before, then those that the
// adviser was not asked about yet, each with the most free CPU first. It returns false when a worker with a ticket can take one, or when there
// is none to ask about.
func (p *Pool) newAdviceRequest(s *step, now time.Time) (AdviceRequest, bool) {
	var candidates []*worker
	for _, w := range p.workers {
		if !w.usable(now, p.settings.ReportGrace) || !p.mayBecomePlaceable(s, w) || s.advice.refuses(w) {
			continue
		}
		if _, ok := s.ticketFor(w, now); ok {
			return AdviceRequest{}, false
		}
		candidates = append(candidates, w)
	}
	if len(candidates) == 0 {
		if !s.advice.answeredAt.IsZero() && now.Sub(s.advice.answeredAt) > adviceRestart {
			clear(s.advice.refused)
		}
		return AdviceRequest{}, false
	}
	slices.SortFunc(candidates, func(a, b *worker) int {
		return cmp.Or(
			cmp.Compare(s.advice.askOrder(a), s.advice.askOrder(b)), cmp.Compare(b.free().CPU, a.free().CPU), cmp.Compare(a.entry.ID, b.entry.ID),
		)
	})
	q := AdviceRequest{
		Step:      jaybarrow.StepRef{Job: s.job.spec.ID, Occurrence: s.occurrence.number, Step: s.index},
		instances: make(map[jaybarrow.WorkerID]instanceNumber),
	}
	for _, w := range candidates[:min(maxAdviceWorkers, len(candidates))] {
		q.Workers = append(q.Workers, w.entry.ID)
		q.instances[w.entry.ID] = w.instance
	}
	return q, true
}

// mayBecomePlaceable reports whether a task of the step can be placed on the worker if it is allowed there. Room for lasting tasks is held where
// they have a ticket, so they need none yet.
func (p *Pool) mayBecomePlaceable(s *step, w *worker) bool {
	if s.spec.Lasting {
		return s.demand().FitsIn(w.entry.Capacity.Minus(w.lastingUsed)) && s.allows(w)
	}
	return p.canRun(s, w)
}

// refuses reports whether the adviser has refused the present instance of the worker.
func (a *stepAdvice) refuses(w *worker) bool {
	if a == nil {
		return false
	}
	refused, ok := a.refused[w.entry.ID]
	return ok && refused == w.instance
}

// askOrder returns 0 for a worker whose present instance was allowed and 1 for one that the adviser was not asked about.
func (a *stepAdvice) askOrder(w *worker) int {
	if t, ok := a.tickets[w.entry.ID]; ok && t.instance == w.instance {
		return 0
	}
	return 1
}

// HandleAdvice stores an adviser's answer. The validity of the tickets is counted from requestedAt, when the request was sent. If none of them
// can be used, the next plan asks about further workers.
func (p *Pool) HandleAdvice(q AdviceRequest, advice jaybarrow.Advice, requestedAt, now time.Time) {
	j := p.jobs[q.Step.Job]
	if j == nil {
		return
	}
	s := j.step(q.Step.Occurrence, q.Step.Step)
	if s == nil || s.advice == nil {
		return // its occurrence is done
	}
	p.placementsDue = true
	a := s.advice
	if a.tickets == nil {
		a.tickets, a.refused = make(map[jaybarrow.WorkerID]ticket), make(map[jaybarrow.WorkerID]instanceNumber)
	}
	a.requestedAt, a.answeredAt = time.Time{}, now
	for _, id := range q.Workers {
		if value, ok := advice.Tickets[id]; ok {
			a.tickets[id] = ticket{value: value, instance: q.instances[id], expires: requestedAt.Add(advice.Valid)}
			continue
		}
		delete(a.tickets, id)
		a.refused[id] = q.instances[id]
	}
}

// ticketFor returns the step's ticket for a worker; false when the queue requires one and none is usable.
func (s *step) ticketFor(w *worker, now time.Time) (jaybarrow.Ticket, bool) {
	if s.job.policy.Advice == nil {
		return "", true
	}
	if s.advice == nil {
		return "", false
	}
	t, ok := s.advice.tickets[w.entry.ID]
	return t.value, ok && t.instance == w.instance && now.Add(adviceMargin).Before(t.expires)
}
