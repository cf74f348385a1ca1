package workload

import (
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/advice"
)

// AdviceOffers returns the first step of each flow that the adviser may be asked about. Steps with a request under way are left out, and so is
// room that tasks of other requests will take, unless again is set. A step without a worker to ask about is not looked at again before the next
// plan.
func (p *Pool) AdviceOffers(now time.Time, again bool) []advice.Offer {
	if len(p.advising.jobs) == 0 {
		return nil
	}
	var usable []*worker
	for _, w := range p.sortedWorkers() {
		if w.usable(now, p.settings.ReportGrace) {
			usable = append(usable, w)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	var out []advice.Offer
	room := room{largest: largestFree(usable)}
	offered := make(map[advice.Flow]bool)
	for _, j := range p.advising.jobs {
		flow := advice.Flow{Pool: p.id, Queue: j.spec.Queue, Late: j.order.rank == rankLate}
		waits := flow
		waits.Waits = true
		if j.state.Ended() || j.policy.Advice == nil || offered[flow] && offered[waits] {
			continue
		}
		for s := range j.steps() {
			if !p.needsAdvice(s, again, now) {
				continue
			}
			canStart, found := p.findCandidate(s, usable, &room, again)
			if !found {
				s.initAdvice()
				s.advice.vainPlan = p.advising.plan
				continue
			}
			of := flow
			of.Waits = !canStart || !s.ready(now)
			if offered[of] {
				continue
			}
			offered[of] = true
			out = append(out, advice.Offer{
				Flow: of, Step: jaybarrow.StepRef{Job: j.spec.ID, Occurrence: s.occurrence.number, Step: s.index},
				Rank: j.order.rank, Priority: j.policy.Priority, Target: j.targetTime,
			})
		}
	}
	return out
}

// AdviceBacklog returns the adviser's time for the steps that wait for it, by the priority of their queues; it is as of the last plan.
func (p *Pool) AdviceBacklog() []advice.Backlog { return slices.Clone(p.advising.backlog) }

// AdviceTime returns the adviser's expected time for a step of the queue; 0 when the queue has no adviser.
func (p *Pool) AdviceTime(queue jaybarrow.QueueID) time.Duration {
	policy, ok := p.policies(queue)
	if !ok || policy.Advice == nil {
		return 0
	}
	return p.advising.oddsOf(queue).StepTime(*policy.Advice)
}

// HasAdvised reports whether a job waited for advice after the last plan.
func (p *Pool) HasAdvised() bool { return len(p.advising.jobs) > 0 }

// needsAdvice reports whether the step waits for its adviser and nothing else, as far as a look at the step shows.
func (p *Pool) needsAdvice(s *step, again bool, now time.Time) bool {
	if s.unassigned == 0 || !s.ready(now.Add(s.job.adviceLead())) {
		return false
	}
	if a := s.advice; a != nil {
		if now.Before(a.retryAt) || !again && (a.vainPlan == p.advising.plan || len(a.underWay) > 0) {
			return false
		}
		if p.canUseTickets(s, now) {
			return false
		}
	}
	return p.teams.MayUse(s.job.spec.Team, s.spec.Demand)
}

// canUseTickets reports whether the workers with a ticket can take a task of the step, or all tasks of a gang.
func (p *Pool) canUseTickets(s *step, now time.Time) bool {
	tasks, needed := 0, 1
	if s.spec.Gang {
		needed = s.unassigned
	}
	for id := range s.advice.tickets {
		w := p.workers[id]
		if w == nil || !w.usable(now, p.settings.ReportGrace) || !p.mayBecomePlaceable(s, w) {
			continue
		}
		if _, ok := s.ticketFor(w, now); ok {
			tasks += max(1, s.fits(w, w.free()))
		}
	}
	return tasks >= needed
}

// probableTickets is how many tickets must be expected of a request for the step to count as one that can start.
const probableTickets = 0.5

// findCandidate looks for a worker that the step may be asked about, and reports whether its tasks could start at once if all were allowed.
func (p *Pool) findCandidate(s *step, usable []*worker, r *room, again bool) (canStart, found bool) {
	demand := s.demand()
	if !s.spec.Lasting && !r.mayFit(demand) {
		return false, false
	}
	tasks, needed, hasRoom := 0, 1, false
	if s.spec.Gang {
		needed = s.unassigned
	}
	odds, tickets := p.advising.oddsOf(s.job.spec.Queue), 0.0
	for _, w := range usable {
		fits := demand.FitsIn(w.free())
		hasRoom = hasRoom || fits
		if !p.mayBecomePlaceable(s, w) || s.advice.refuses(w) {
			continue
		}
		found = true
		if fits {
			free := w.free()
			if !again {
				free = free.Minus(p.advising.promised[w.entry.ID])
			}
			if n := s.fits(w, free); n > 0 {
				tasks += n
				tickets += odds.Allowed(w.entry.ID)
			}
		}
		if tasks >= needed && tickets >= probableTickets {
			return true, true
		}
	}
	if !hasRoom {
		r.refuse(demand)
	}
	return false, found && (s.spec.Lasting || tasks > 0)
}
