package roundrobin

import (
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/order/fifo"
)

// Order is a round-robin queue over the teams with waiting work.
type Order struct {
	ring   []jaybarrow.TeamID // teams with waiting work; the first has the next turn
	queues map[jaybarrow.TeamID]*fifo.Order
	teamOf map[jaybarrow.RequestID]jaybarrow.TeamID
}

// New returns an empty Order.
func New() *Order {
	return &Order{
		queues: make(map[jaybarrow.TeamID]*fifo.Order),
		teamOf: make(map[jaybarrow.RequestID]jaybarrow.TeamID),
	}
}

// Push adds a waiting item. A team that had no waiting work takes the last turn of the round.
func (o *Order) Push(now time.Time, item jaybarrow.Item) {
	q, ok := o.queues[item.Team]
	if !ok {
		q = fifo.New()
		o.queues[item.Team] = q
		o.ring = append(o.ring, item.Team)
	}
	q.Push(now, item)
	o.teamOf[item.ID] = item.Team
}

// Remove removes a waiting item; false when the item is not waiting.
func (o *Order) Remove(id jaybarrow.RequestID) (jaybarrow.Item, bool) {
	team, ok := o.teamOf[id]
	if !ok {
		return jaybarrow.Item{}, false
	}
	item, ok := o.queues[team].Remove(id)
	o.removeFromIndex(item)
	return item, ok
}

// removeFromIndex removes the index entry of an item that has left its team's queue, and the team if its queue is empty.
func (o *Order) removeFromIndex(item jaybarrow.Item) {
	delete(o.teamOf, item.ID)
	if o.queues[item.Team].Len() == 0 {
		delete(o.queues, item.Team)
		o.ring = slices.DeleteFunc(o.ring, func(t jaybarrow.TeamID) bool { return t == item.Team })
	}
}

// Next removes and returns an item for which accepts returns true: the oldest such item of the first team in turn that has one.
func (o *Order) Next(now time.Time, accepts func(jaybarrow.Item) bool) (jaybarrow.Item, bool) {
	for i, team := range o.ring {
		item, ok := o.queues[team].Next(now, accepts)
		if !ok {
			continue
		}
		o.ring = append(slices.Delete(o.ring, i, i+1), team)
		o.removeFromIndex(item)
		return item, true
	}
	return jaybarrow.Item{}, false
}

// Started does nothing, since the turns do not depend on service.
func (o *Order) Started(time.Time, jaybarrow.Item) {}

// Finished does nothing, since the turns do not depend on service.
func (o *Order) Finished(time.Time, jaybarrow.Item, time.Duration) {}

// Expired removes and returns the items whose deadline passed.
func (o *Order) Expired(now time.Time) []jaybarrow.Item {
	var expired []jaybarrow.Item
	for _, team := range slices.Clone(o.ring) {
		items := o.queues[team].Expired(now)
		for _, item := range items {
			delete(o.teamOf, item.ID)
		}
		if len(items) > 0 {
			o.removeFromIndex(items[0])
		}
		expired = append(expired, items...)
	}
	return expired
}

// NextDeadline returns the earliest deadline of a waiting item; false when no item has one.
func (o *Order) NextDeadline() (time.Time, bool) {
	var earliest time.Time
	for _, q := range o.queues {
		if d, ok := q.NextDeadline(); ok && (earliest.IsZero() || d.Before(earliest)) {
			earliest = d
		}
	}
	return earliest, !earliest.IsZero()
}

// Len returns the number of waiting items.
func (o *Order) Len() int { return len(o.teamOf) }

// BacklogAhead returns the estimated slot time of the waiting items of the item's team and, of each other team, that of as many
// items as the turns until the item's start.
func (o *Order) BacklogAhead(now time.Time, item jaybarrow.Item) time.Duration {
	turns := 0
	if own, ok := o.queues[item.Team]; ok {
		turns = own.Len()
	}
	var ahead time.Duration
	for team, q := range o.queues {
		work := q.BacklogAhead(now, item)
		if team != item.Team && q.Len() > turns+1 {
			work = work * time.Duration(turns+1) / time.Duration(q.Len())
		}
		ahead += work
	}
	return ahead
}
