package fairshare

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/heap"
)

type ask struct {
	team   jaybarrow.TeamID
	demand jaybarrow.Demand
}

// search is one call of Next; queues and teams that cannot run now are set aside until it ends.
type search struct {
	order   *Order
	accepts func(jaybarrow.Item) bool
	refused map[ask]bool
	queues  []setAside
	teams   []*team
}

type setAside struct {
	team  *team
	queue *queue
}

// Next removes and returns the first item, in the order of the three passes, that accepts takes.
func (o *Order) Next(now time.Time, accepts func(jaybarrow.Item) bool) (jaybarrow.Item, bool) {
	o.advance(now)
	s := &search{order: o, accepts: accepts, refused: make(map[ask]bool)}
	e := s.urgent()
	if e == nil {
		e = s.byService((*team).firstFair)
	}
	if e == nil {
		e = s.byService(func(t *team) *entry { return t.first(tierLost) })
	}
	s.restore()
	if e == nil {
		return jaybarrow.Item{}, false
	}
	o.drop(e)
	return e.item, true
}

// urgent offers urgent entries of teams that run less than their part, least slack first.
func (s *search) urgent() *entry {
	var above []*team
	defer func() {
		for _, t := range above {
			s.order.refreshUrgency(t)
		}
	}()
	for {
		t, ok := s.order.byUrgency.First()
		if !ok {
			return nil
		}
		if !s.order.withinPart(t, t.urgency.item.Slots) {
			s.order.byUrgency.Remove(t.urgentAt)
			above = append(above, t)
			continue
		}
		if e := t.urgency; s.offer(e) {
			return e
		}
		s.order.refreshUrgency(t)
	}
}

// byService offers the entries that pick gives for each team, least service first.
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
		s.order.byService.Remove(t.serviceAt)
		s.teams = append(s.teams, t)
	}
}

// offer asks once for each team and demand; it sets the entry's queue aside when the answer is no.
func (s *search) offer(e *entry) bool {
	a := ask{e.item.Team, e.item.Demand}
	if !s.refused[a] && s.accepts(e.item) {
		return true
	}
	s.refused[a] = true
	e.team.ranked(e.queue.tier).Remove(e.queue.at)
	s.queues = append(s.queues, setAside{e.team, e.queue})
	return false
}

func (s *search) restoreTeams() {
	for _, t := range s.teams {
		s.order.byService.Push(t)
	}
	s.teams = nil
}

func (s *search) restore() {
	for _, a := range s.queues {
		if a.queue.at == heap.Absent {
			a.team.place(a.queue)
		}
	}
	for _, a := range s.queues {
		s.order.refreshUrgency(a.team)
	}
}

// withinPart reports whether the team would run no more than its part of all running slots with these slots added; a
// team that runs nothing always may.
func (o *Order) withinPart(t *team, slots jaybarrow.Slots) bool {
	if t.running == 0 {
		return true
	}
	shares := o.shares
	if !t.active {
		shares += t.share
	}
	part := float64(o.running+slots) * float64(t.share/shares)
	return float64(t.running+slots) <= part
}
