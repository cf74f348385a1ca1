package fairshare

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/heap"
)

// teamDemand identifies items of which either all can start or none.
type teamDemand struct {
	team   jaybarrow.TeamID
	demand jaybarrow.Demand
}

// search is the state of one call of Next. Queues and teams whose items were refused are removed from the heaps until it ends.
type search struct {
	order         *Order
	accepts       func(jaybarrow.Item) bool
	refused       map[teamDemand]bool
	refusedQueues []refusedQueue
	refusedTeams  []*team
}

// refusedQueue is a queue that was removed from its team's heap.
type refusedQueue struct {
	team  *team
	queue *queue
}

// Next removes and returns the first item, in the order of the three passes, for which accepts returns true.
func (o *Order) Next(now time.Time, accepts func(jaybarrow.Item) bool) (jaybarrow.Item, bool) {
	o.reclassify(now)
	s := &search{order: o, accepts: accepts, refused: make(map[teamDemand]bool)}
	e := s.urgent()
	if e == nil {
		e = s.byService((*team).firstInTurn)
	}
	if e == nil {
		e = s.byService(func(t *team) *entry { return t.first(tierLost) })
	}
	s.restoreQueues()
	if e == nil {
		return jaybarrow.Item{}, false
	}
	o.removeEntry(e)
	return e.item, true
}

// urgent offers the urgent entries of teams within their entitlement, least slack first.
func (s *search) urgent() *entry {
	var overEntitled []*team
	defer func() {
		for _, t := range overEntitled {
			s.order.refreshUrgency(t)
		}
	}()
	for {
		t, ok := s.order.byUrgency.First()
		if !ok {
			return nil
		}
		if !s.order.withinEntitlement(t, t.mostUrgent.item.Slots) {
			s.order.byUrgency.Remove(t.urgencyIndex)
			overEntitled = append(overEntitled, t)
			continue
		}
		if e := t.mostUrgent; s.offer(e) {
			return e
		}
		s.order.refreshUrgency(t)
	}
}

// byService offers the entries that pick returns for each team, the team with the least service first.
func (s *search) byService(pick func(*team) *entry) *entry {
	defer s.restoreTeams()
	for {
		t, ok := s.order.byService.First()
		if !ok {
			return nil
		}
		for e := pick(t); e != nil; e = pick(t) {
			if s.offer(e) {
				return e
			}
		}
		s.order.byService.Remove(t.serviceIndex)
		s.refusedTeams = append(s.refusedTeams, t)
	}
}

// offer reports whether the entry is accepted. It calls accepts at most once for each team and demand, and removes the queue of a
// refused entry from its team's heap.
func (s *search) offer(e *entry) bool {
	key := teamDemand{e.item.Team, e.item.Demand}
	if !s.refused[key] && s.accepts(e.item) {
		return true
	}
	s.refused[key] = true
	e.team.queuesOf(e.queue.tier).Remove(e.queue.index)
	s.refusedQueues = append(s.refusedQueues, refusedQueue{e.team, e.queue})
	return false
}

func (s *search) restoreTeams() {
	for _, t := range s.refusedTeams {
		s.order.byService.Push(t)
	}
	s.refusedTeams = nil
}

func (s *search) restoreQueues() {
	for _, r := range s.refusedQueues {
		if r.queue.index == heap.Absent {
			r.team.pushOrFix(r.queue)
		}
	}
	for _, r := range s.refusedQueues {
		s.order.refreshUrgency(r.team)
	}
}

// withinEntitlement reports whether, with these slots added, the team would run no more than its share's part of all running
// slots. It is always true for a team that runs nothing.
func (o *Order) withinEntitlement(t *team, slots jaybarrow.Slots) bool {
	if t.running == 0 {
		return true
	}
	shareSum := o.shareSum
	if !t.active {
		shareSum += t.share
	}
	entitlement := float64(o.running+slots) * float64(t.share/shareSum)
	return float64(t.running+slots) <= entitlement
}
