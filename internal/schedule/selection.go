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
	free   jaybarrow.Slots                      // of the own hosts
	held   map[jaybarrow.TeamID]jaybarrow.Slots // free slots held for each team's quick work
	sum    jaybarrow.Slots                      // of held
	byNeed map[need][]jaybarrow.Candidate
	chosen []jaybarrow.Candidate // hosts of the accepted item; nil when the item is to be parked
	parked []jaybarrow.Item      // items that only hosts they were tried on could take now
}

// need names one set of candidates.
type need struct {
	demand   jaybarrow.Demand
	borrowed bool
}

func newSelection(p *Pool, now time.Time, in Inputs) *selection {
	held, sum := p.reserve.held(now, p.totalSlots())
	return &selection{
		pool: p, now: now, in: in,
		free: p.freeSlots(now, false), held: held, sum: sum,
		byNeed: make(map[need][]jaybarrow.Candidate),
	}
}

// accepts reports whether the order should hand out the item: to start it on one of the chosen hosts, or to park it, so
// that it does not stand for the other items of its team and demand.
func (s *selection) accepts(item jaybarrow.Item) bool {
	s.chosen = nil
	candidates, reason := s.candidatesFor(item)
	if reason != SkipNone {
		s.pool.reserved = s.pool.reserved || reason == SkipReserved
		return s.skip(item, reason)
	}
	untried, park := s.untried(item, candidates)
	if park {
		return true
	}
	if !s.in.Acquire(item.Team, item.Slots) {
		return s.skip(item, SkipNoPermits)
	}
	s.pool.waiting.setSkip(item, SkipNone)
	s.chosen = untried
	return true
}

// candidatesFor returns the own hosts that the item may use, or else the borrowed ones.
func (s *selection) candidatesFor(item jaybarrow.Item) ([]jaybarrow.Candidate, SkipReason) {
	reason := SkipNoRoom
	if own := s.candidates(item.Demand, false); len(own) > 0 {
		if s.free-item.Slots >= s.heldFrom(item) {
			return own, SkipNone
		}
		reason = SkipReserved
	}
	if mayBorrow(s.now, item) {
		if borrowed := s.candidates(item.Demand, true); len(borrowed) > 0 {
			return borrowed, SkipNone
		}
	}
	return nil, reason
}

// mayBorrow reports whether the item may run on a borrowed host: quick work, and slow work that has to start now. Other slow
// work waits for the pool's own hosts, since it would keep the spare hosts from the bursts of other pools and from moves for
// as long as it runs.
func mayBorrow(now time.Time, item jaybarrow.Item) bool { return mayUse(now, item) }

func (s *selection) candidates(d jaybarrow.Demand, borrowed bool) []jaybarrow.Candidate {
	n := need{d, borrowed}
	candidates, ok := s.byNeed[n]
	if !ok {
		candidates = s.pool.candidates(s.now, d, s.in.Signals, borrowed)
		s.byNeed[n] = candidates
	}
	return candidates
}

// heldFrom is how many free slots the item has to leave.
func (s *selection) heldFrom(item jaybarrow.Item) jaybarrow.Slots {
	if mayUse(s.now, item) {
		return s.sum - s.held[item.Team]
	}
	return s.sum
}

func (s *selection) skip(item jaybarrow.Item, reason SkipReason) bool {
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
	return candidates, s.pool.HasOtherHost(item.Demand, tried)
}

// restore returns the parked items to the order.
func (s *selection) restore() {
	for _, item := range s.parked {
		s.pool.order.Push(s.now, item)
	}
}
