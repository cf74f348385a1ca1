package schedule

import (
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// selection is one search for the next start.
type selection struct {
	pool   *Pool
	now    time.Time
	in     Inputs
	free   jaybarrow.Slots
	held   map[jaybarrow.TeamID]jaybarrow.Slots // free slots held for each team's quick work
	sum    jaybarrow.Slots                      // of held
	byNeed map[jaybarrow.Demand][]jaybarrow.Candidate
	chosen []jaybarrow.Candidate // hosts of the accepted item; nil when the item is to be parked
	parked []jaybarrow.Item      // items that only hosts they were tried on could take now
}

func newSelection(p *Pool, now time.Time, in Inputs) *selection {
	held, sum := p.reserve.held(now, p.totalSlots())
	return &selection{
		pool: p, now: now, in: in,
		free: p.freeSlots(now), held: held, sum: sum,
		byNeed: make(map[jaybarrow.Demand][]jaybarrow.Candidate),
	}
}

// accepts reports whether the order should hand out the item: to start it on one of the chosen hosts, or to park it, so
// that it does not stand for the other items of its team and demand.
func (s *selection) accepts(item jaybarrow.Item) bool {
	s.chosen = nil
	candidates, ok := s.byNeed[item.Demand]
	if !ok {
		candidates = s.pool.candidates(s.now, item.Demand, s.in.Signals)
		s.byNeed[item.Demand] = candidates
	}
	switch {
	case len(candidates) == 0:
		return s.skip(item, SkipRoom)
	case s.free-item.Slots < s.heldFrom(item):
		s.pool.reserved = true
		return s.skip(item, SkipReserve)
	}
	untried, park := s.untried(item, candidates)
	if park {
		return true
	}
	if !s.in.Acquire(item.Team, item.Slots) {
		return s.skip(item, SkipPermits)
	}
	s.pool.waiting.setSkip(item, SkipNone)
	s.chosen = untried
	return true
}

// heldFrom is how many free slots the item has to leave.
func (s *selection) heldFrom(item jaybarrow.Item) jaybarrow.Slots {
	if mayUse(s.now, item) {
		return s.sum - s.held[item.Team]
	}
	return s.sum
}

func (s *selection) skip(item jaybarrow.Item, reason Skip) bool {
	s.pool.waiting.setSkip(item, reason)
	return false
}

// untried leaves out the hosts that the item was tried on; park is true when the item should wait for another host.
func (s *selection) untried(item jaybarrow.Item, candidates []jaybarrow.Candidate) (rest []jaybarrow.Candidate, park bool) {
	tried := s.pool.tried[item.ID]
	if len(tried) == 0 {
		return candidates, false
	}
	for _, c := range candidates {
		if !slices.Contains(tried, c.Host) {
			rest = append(rest, c)
		}
	}
	if len(rest) > 0 {
		return rest, false
	}
	return candidates, s.pool.HasOther(item.Demand, tried)
}

// restore returns the parked items to the order.
func (s *selection) restore() {
	for _, item := range s.parked {
		s.pool.order.Push(s.now, item)
	}
}
