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
	born    map[jaybarrow.WorkerID]int64
}

const (
	// adviceWorkers is how many workers one question names: an answer takes time for each of them.
	adviceWorkers = 30
	// adviceMargin is how long before its end a ticket is no longer used, for the way to the worker and the clocks' rates.
	adviceMargin = 200 * time.Millisecond
	// adviceRetry is when an unanswered question, or one that nobody may run the step by, is asked again.
	adviceRetry = time.Second
)

// ask returns the questions that waiting steps need answered, in the order of their jobs.
func (p *Pool) ask(now time.Time) []AdviceRequest {
	var out []AdviceRequest
	for _, j := range p.order(now) {
		if j.policy.Advice == nil {
			continue
		}
		for _, s := range j.steps {
			if s.idle == 0 || !s.ready(now) || !s.asked.IsZero() && now.Sub(s.asked) < adviceRetry || s.ticketed(now) {
				continue
			}
			if q, ok := p.question(s, now); ok {
				s.asked = now
				out = append(out, q)
			}
		}
	}
	return out
}

// ticketed reports whether the step has a ticket that can be used.
func (s *step) ticketed(now time.Time) bool {
	for _, t := range s.advice {
		if now.Add(adviceMargin).Before(t.until) {
			return true
		}
	}
	return false
}

// question names the workers with the most room.
func (p *Pool) question(s *step, now time.Time) (AdviceRequest, bool) {
	var open []*worker
	for _, w := range p.workers {
		if w.usable(now, p.settings.Suspect) && p.allowed(s.tasks[0], w) {
			open = append(open, w)
		}
	}
	slices.SortFunc(open, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.free().CPU, a.free().CPU), cmp.Compare(a.entry.ID, b.entry.ID))
	})
	q := AdviceRequest{
		Step: jaybarrow.StepRef{Job: s.job.spec.ID, Occurrence: s.occurrence, Step: s.index}, born: make(map[jaybarrow.WorkerID]int64),
	}
	for _, w := range open[:min(adviceWorkers, len(open))] {
		q.Workers = append(q.Workers, w.entry.ID)
		q.born[w.entry.ID] = w.bornMs
	}
	return q, len(q.Workers) > 0
}

// HandleAdvice takes the adviser's answer into account; asked is when the question was sent.
func (p *Pool) HandleAdvice(q AdviceRequest, advice jaybarrow.Advice, asked time.Time) {
	j := p.jobs[q.Step.Job]
	if j == nil {
		return
	}
	s := j.step(q.Step.Occurrence, q.Step.Step)
	if s.advice == nil {
		s.advice = make(map[jaybarrow.WorkerID]ticket)
	}
	for id, value := range advice.Tickets {
		s.advice[id] = ticket{value: value, bornMs: q.born[id], until: asked.Add(advice.Valid)}
	}
}

// ticketFor returns the step's ticket on a worker; false when the queue needs one and there is none that can be used.
func (s *step) ticketFor(w *worker, now time.Time) (jaybarrow.Ticket, bool) {
	if s.job.policy.Advice == nil {
		return "", true
	}
	t, ok := s.advice[w.entry.ID]
	return t.value, ok && t.bornMs == w.bornMs && now.Add(adviceMargin).Before(t.until)
}
