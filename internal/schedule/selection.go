package schedule

import (
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// selection is one search for the next start.
type selection struct {
	pool            *Pool
	now             time.Time
	in              Inputs
	free            jaybarrow.Slots                      // free slots of the pool's own hosts
	held            map[jaybarrow.TeamID]jaybarrow.Slots // free slots held for each team's quick work
	heldTotal       jaybarrow.Slots                      // sum of held
	candidatesByKey map[candidateKey][]jaybarrow.Candidate
	chosen          []jaybarrow.Candidate // candidate hosts of the accepted item; nil when the item is to be parked
	parked          []jaybarrow.Item      // items that could start now only on hosts that they were tried on
}

// candidateKey identifies a cached set of candidates.
type candidateKey struct {
	demand   jaybarrow.Demand
	borrowed bool
}

func newSelection(p *Pool, now time.Time, in Inputs) *selection {
	held, heldTotal := p.reserve.held(now, p.totalSlots())
	return &selection{
		pool: p, now: now, in: in,
		free: p.freeSlots(now, false), held: held, heldTotal: heldTotal,
		candidatesByKey: make(map[candidateKey][]jaybarrow.Candidate),
	}
}

// accepts reports whether the order should remove the item: to start it on one of the chosen hosts, or to park it. A parked
// item does not keep the other items of its team and demand from being considered.
func (s *selection) accepts(item jaybarrow.Item) bool {
	s.chosen = nil
	candidates, reason := s.candidatesFor(item)
	if reason != SkipNone {
		s.pool.skippedForReserve = s.pool.skippedForReserve || reason == SkipReserved
		return s.reject(item, reason)
	}
	untried, park := s.untried(item, candidates)
	if park {
		return true
	}
	if !s.in.Acquire(item.Team, item.Slots) {
		return s.reject(item, SkipNoPermits)
	}
	s.pool.waiting.setSkipReason(item, SkipNone)
	s.chosen = untried
	return true
}

// candidatesFor returns the pool's own hosts that the item may start on, else the borrowed ones, else the reason why there are
// none.
func (s *selection) candidatesFor(item jaybarrow.Item) ([]jaybarrow.Candidate, SkipReason) {
	reason := SkipNoRoom
	if own := s.candidates(item.Demand, false); len(own) > 0 {
		if s.free-item.Slots >= s.slotsToLeaveFree(item) {
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

// mayBorrow reports whether the item may run on a borrowed host: quick work and urgent slow work. Other slow work waits for the
// pool's own hosts, since for as long as it ran, the spare hosts would not be available for bursts of other pools and for
// moves.
func mayBorrow(now time.Time, item jaybarrow.Item) bool { return mayUseReserve(now, item) }

func (s *selection) candidates(d jaybarrow.Demand, borrowed bool) []jaybarrow.Candidate {
	key := candidateKey{d, borrowed}
	candidates, ok := s.candidatesByKey[key]
	if !ok {
		candidates = s.pool.candidates(s.now, d, s.in.Signals, borrowed)
		s.candidatesByKey[key] = candidates
	}
	return candidates
}

// slotsToLeaveFree returns how many free slots the item must leave free for the quick work of other teams.
func (s *selection) slotsToLeaveFree(item jaybarrow.Item) jaybarrow.Slots {
	if mayUseReserve(s.now, item) {
		return s.heldTotal - s.held[item.Team]
	}
	return s.heldTotal
}

// reject records the reason and returns false.
func (s *selection) reject(item jaybarrow.Item, reason SkipReason) bool {
	s.pool.waiting.setSkipReason(item, reason)
	return false
}

// untried leaves out the hosts that the item was tried on, if any others are left; park is true when the item should wait
// until another host is available.
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

// restoreParked puts the parked items back into the order.
func (s *selection) restoreParked() {
	for _, item := range s.parked {
		s.pool.order.Push(s.now, item)
	}
}
