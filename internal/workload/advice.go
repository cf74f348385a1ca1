package workload

import (
	"cmp"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// AdviceRequest is a decision to ask the adviser which workers may run a step.
type AdviceRequest struct {
	Step    jaybarrow.StepRef
	Workers []jaybarrow.WorkerID
	lives   map[jaybarrow.WorkerID]life // the life of each worker when the request was made
}

const (
	// maxAdviceWorkers bounds the workers that one request names, because an answer takes time for each of them.
	maxAdviceWorkers = 30
	// adviceMargin is how long before its expiry a ticket is no longer used, to cover the transfer to the worker and clock drift.
	adviceMargin = 200 * time.Millisecond
	// adviceRetry is the interval at which a request is repeated that was not answered, or whose answer allowed no worker.
	adviceRetry = time.Second
)

// requestAdvice returns the requests for steps of the waiting jobs without a usable ticket, in the order of their jobs.
func (p *Pool) requestAdvice(waiting []*job, now time.Time) []AdviceRequest {
	var out []AdviceRequest
	for _, j := range waiting {
		if j.policy.Advice == nil {
			continue
		}
		for _, s := range j.steps {
			if s.unassigned == 0 || !s.ready(now) || !s.adviceRequestedAt.IsZero() && now.Sub(s.adviceRequestedAt) < adviceRetry ||
				s.hasTicket(now) {
				continue
			}
			if q, ok := p.newAdviceRequest(s, now); ok {
				s.adviceRequestedAt = now
				out = append(out, q)
			}
		}
	}
	return out
}

// hasTicket reports whether the step has a ticket that is not about to expire.
func (s *step) hasTicket(now time.Time) bool {
	for _, t := range s.advice {
		if now.Add(adviceMargin).Before(t.expires) {
			return true
		}
	}
	return false
}

// newAdviceRequest names the workers with the most free CPU; false when no worker can run the step.
func (p *Pool) newAdviceRequest(s *step, now time.Time) (AdviceRequest, bool) {
	var candidates []*worker
	for _, w := range p.workers {
		if w.usable(now, p.settings.ReportGrace) && p.canRun(s.tasks[0], w) {
			candidates = append(candidates, w)
		}
	}
	slices.SortFunc(candidates, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.free().CPU, a.free().CPU), cmp.Compare(a.entry.ID, b.entry.ID))
	})
	q := AdviceRequest{
		Step:  jaybarrow.StepRef{Job: s.job.spec.ID, Occurrence: s.occurrence, Step: s.index},
		lives: make(map[jaybarrow.WorkerID]life),
	}
	for _, w := range candidates[:min(maxAdviceWorkers, len(candidates))] {
		q.Workers = append(q.Workers, w.entry.ID)
		q.lives[w.entry.ID] = w.life
	}
	return q, len(q.Workers) > 0
}

// HandleAdvice stores the tickets of an adviser's answer; their validity is counted from requestedAt, when the request was sent.
func (p *Pool) HandleAdvice(q AdviceRequest, advice jaybarrow.Advice, requestedAt time.Time) {
	j := p.jobs[q.Step.Job]
	if j == nil {
		return
	}
	p.placementsDue = true
	s := j.step(q.Step.Occurrence, q.Step.Step)
	if s.advice == nil {
		s.advice = make(map[jaybarrow.WorkerID]ticket)
	}
	for id, value := range advice.Tickets {
		s.advice[id] = ticket{value: value, life: q.lives[id], expires: requestedAt.Add(advice.Valid)}
	}
}

// ticketFor returns the step's ticket for a worker; false when the queue requires one and none is usable.
func (s *step) ticketFor(w *worker, now time.Time) (jaybarrow.Ticket, bool) {
	if s.job.policy.Advice == nil {
		return "", true
	}
	t, ok := s.advice[w.entry.ID]
	return t.value, ok && t.life == w.life && now.Add(adviceMargin).Before(t.expires)
}
