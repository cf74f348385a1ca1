package workload

import (
	"math"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// heldRoom is the room that one plan keeps for lasting tasks: no other task is placed on the workers concerned, since small ones would
// take what is freed there again and again. It is made anew with each plan.
type heldRoom struct {
	workers    map[*worker]jaybarrow.Resources          // promised to lasting tasks
	teams      map[jaybarrow.TeamID]jaybarrow.Resources // demand of the tasks that room is held for
	maxWorkers int
}

// newHeldRoom returns a heldRoom that holds nothing. At most half of the candidates will be held, so that other work goes on while what runs
// on the held ones takes its time to end.
func newHeldRoom(candidates []*worker) *heldRoom {
	return &heldRoom{
		workers: make(map[*worker]jaybarrow.Resources), teams: make(map[jaybarrow.TeamID]jaybarrow.Resources),
		maxWorkers: max(1, len(candidates)/2),
	}
}

// without returns the candidates that are not held.
func (h *heldRoom) without(candidates []*worker) []*worker {
	if len(h.workers) == 0 {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(w *worker) bool {
		_, held := h.workers[w]
		return held
	})
}

// best returns the worker on which one more task of the step will soonest have room; nil when there is none, or too many are held.
func (h *heldRoom) best(s *step, candidates []*worker, now time.Time) *worker {
	var best *worker
	var bestFraction float64
	demand := s.demand()
	for _, w := range candidates {
		promised, held := h.workers[w]
		if !held && len(h.workers) >= h.maxWorkers {
			continue
		}
		if !demand.FitsIn(w.entry.Capacity.Minus(w.lastingUsed).Minus(promised)) || !s.allows(w) {
			continue
		}
		if _, ok := s.ticketFor(w, now); !ok {
			continue
		}
		if fraction := roomFraction(w.free().Minus(promised), demand); best == nil || fraction > bestFraction {
			best, bestFraction = w, fraction
		}
	}
	return best
}

// holdRoom holds room for the step's next task, unless it waits for something else than room: for its team's limit or for a ticket.
//
// Load pattern: a pool full of short tasks, where a lasting task must move to another worker and needs more than one of them frees.
func (p *Pool) holdRoom(s *step, candidates []*worker, held *heldRoom, now time.Time) {
	team := s.job.spec.Team
	charged := held.teams[team].Plus(s.spec.Demand)
	if !p.teams.MayUse(team, charged) {
		return
	}
	if w := held.best(s, candidates, now); w != nil {
		held.workers[w] = held.workers[w].Plus(s.demand())
		held.teams[team] = charged
	}
}

// roomForStopping holds room for the lasting tasks that are being stopped to run elsewhere, so that it is still there when they end. Their
// teams are charged for them until then, and only a team that is over its limit cannot start them again.
func (p *Pool) roomForStopping(candidates []*worker, now time.Time) *heldRoom {
	held := newHeldRoom(candidates)
	for r := range p.stopping {
		s := r.task.step
		if !s.spec.Lasting || s.job.state.Ended() || !p.teams.MayUse(s.job.spec.Team, jaybarrow.Resources{}) {
			continue
		}
		if w := held.best(s, candidates, now); w != nil {
			held.workers[w] = held.workers[w].Plus(s.demand())
		}
	}
	return held
}

// heldReportInterval is the least time between two notices about held room, which may begin and end with each plan.
const heldReportInterval = time.Second

// noteHeldRoom tells the observer when lasting tasks begin or cease to hold room.
func (p *Pool) noteHeldRoom(workers, usable int, now time.Time) {
	if (workers > 0) == p.holdsRoom || now.Sub(p.heldReportedAt) < heldReportInterval {
		return
	}
	p.holdsRoom, p.heldReportedAt = workers > 0, now
	p.observer.RoomHeld(p.id, workers, usable)
}

// roomFraction returns which part of the demand fits into the free resources, by the scarcest one; 1 and more when all of it does.
func roomFraction(free, demand jaybarrow.Resources) float64 {
	fraction := math.Inf(1)
	for _, part := range [...][2]float64{
		{float64(free.CPU), float64(demand.CPU)}, {float64(free.Memory), float64(demand.Memory)}, {float64(free.Accelerators), float64(demand.Accelerators)},
	} {
		if part[1] > 0 {
			fraction = min(fraction, part[0]/part[1])
		}
	}
	return fraction
}
