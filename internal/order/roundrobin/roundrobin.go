package roundrobin

import (
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/order/fifo"
)

// Order is a round robin between teams with waiting work.
type Order struct {
	ring   []jaybarrow.TeamID // teams with waiting work; the first has the next turn
	queues map[jaybarrow.TeamID]*fifo.Order
	owners map[jaybarrow.RequestID]jaybarrow.TeamID
}

// New returns an empty Order.
func New() *Order {
	return &Order{
		queues: make(map[jaybarrow.TeamID]*fifo.Order),
		owners: make(map[jaybarrow.RequestID]jaybarrow.TeamID),
	}
}

// Push adds a waiting item; a team without waiting work joins at the end of the round.
func (o *Order) Push(now time.Time, item jaybarrow.Item) {
	q, ok := o.queues[item.Team]
	if !ok {
		q = fifo.New()
		o.queues[item.Team] = q
		o.ring = append(o.ring, item.Team)
	}
	q.Push(now, item)
	o.owners[item.ID] = item.Team
}

// Remove takes a waiting item out.
func (o *Order) Remove(id jaybarrow.RequestID) (jaybarrow.Item, bool) {
	team, ok := o.owners[id]
	if !ok {
		return jaybarrow.Item{}, false
	}
	item, ok := o.queues[team].Remove(id)
	o.forget(item)
	return item, ok
}

// forget drops the index of an item that left, and its team when nothing of it waits.
func (o *Order) forget(item jaybarrow.Item) {
	delete(o.owners, item.ID)
	if o.queues[item.Team].Len() == 0 {
		delete(o.queues, item.Team)
		o.ring = slices.DeleteFunc(o.ring, func(t jaybarrow.TeamID) bool { return t == item.Team })
	}
}

// Next removes and returns the oldest item that accepts takes of the first team in turn that has one.
func (o *Order) Next(now time.Time, accepts func(jaybarrow.Item) bool) (jaybarrow.Item, bool) {
	for i, team := range o.ring {
		item, ok := o.queues[team].Next(now, accepts)
		if !ok {
			continue
		}
		o.ring = append(slices.Delete(o.ring, i, i+1), team)
		o.forget(item)
		return item, true
	}
	return jaybarrow.Item{}, false
}

// Started does nothing, since turns ignore service.
func (o *Order) Started(time.Time, jaybarrow.Item) {}

// Finished does nothing, since turns ignore service.
func (o *Order) Finished(time.Time, jaybarrow.Item, time.Duration) {}

// Expired removes and returns the items whose deadline passed.
func (o *Order) Expired(now time.Time) []jaybarrow.Item {
	var expired []jaybarrow.Item
	for _, team := range slices.Clone(o.ring) {
		items := o.queues[team].Expired(now)
		for _, item := range items {
			delete(o.owners, item.ID)
		}
		if len(items) > 0 {
			o.forget(items[0])
		}
		expired = append(expired, items...)
	}
	return expired
}

// NextDeadline returns the earliest deadline of a waiting item.
func (o *Order) NextDeadline() (time.Time, bool) {
	var earliest time.Time
	for _, q := range o.queues {
		if d, ok := q.NextDeadline(); ok && (earliest.IsZero() || d.Before(earliest)) {
			earliest = d
		}
	}
	return earliest, !earliest.IsZero()
}

// Len is the number of waiting items.
func (o *Order) Len() int { return len(o.owners) }

// BacklogAhead returns the work of the item's team, and as much of each other team's as the same number of turns may take.
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
