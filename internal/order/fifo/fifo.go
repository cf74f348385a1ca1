package fifo

import (
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Order is a first-in, first-out queue that skips items that cannot run now.
type Order struct {
	items []jaybarrow.Item
}

// New returns an empty Order.
func New() *Order { return &Order{} }

// Push adds a waiting item behind those that arrived before it, so that an item that is queued again after an attempt keeps its
// place.
func (o *Order) Push(_ time.Time, item jaybarrow.Item) {
	i := len(o.items)
	for i > 0 && o.items[i-1].Arrived.After(item.Arrived) {
		i--
	}
	o.items = slices.Insert(o.items, i, item)
}

// Remove removes a waiting item; false when the item is not waiting.
func (o *Order) Remove(id jaybarrow.RequestID) (jaybarrow.Item, bool) {
	i := slices.IndexFunc(o.items, func(it jaybarrow.Item) bool { return it.ID == id })
	if i < 0 {
		return jaybarrow.Item{}, false
	}
	item := o.items[i]
	o.items = slices.Delete(o.items, i, i+1)
	return item, true
}

// teamDemand identifies items of which either all can start or none.
type teamDemand struct {
	team   jaybarrow.TeamID
	demand jaybarrow.Demand
}

// Next removes and returns the oldest item for which accepts returns true.
func (o *Order) Next(_ time.Time, accepts func(jaybarrow.Item) bool) (jaybarrow.Item, bool) {
	refused := make(map[teamDemand]bool)
	for i, item := range o.items {
		key := teamDemand{item.Team, item.Demand}
		if refused[key] {
			continue
		}
		if accepts(item) {
			o.items = slices.Delete(o.items, i, i+1)
			return item, true
		}
		refused[key] = true
	}
	return jaybarrow.Item{}, false
}

// Started does nothing, since the arrival order does not depend on service.
func (o *Order) Started(time.Time, jaybarrow.Item) {}

// Finished does nothing, since the arrival order does not depend on service.
func (o *Order) Finished(time.Time, jaybarrow.Item, time.Duration) {}

// Expired removes and returns the items whose deadline passed.
func (o *Order) Expired(now time.Time) []jaybarrow.Item {
	var expired []jaybarrow.Item
	o.items = slices.DeleteFunc(o.items, func(it jaybarrow.Item) bool {
		if it.Deadline.IsZero() || it.Deadline.After(now) {
			return false
		}
		expired = append(expired, it)
		return true
	})
	return expired
}

// NextDeadline returns the earliest deadline of a waiting item; false when no item has one.
func (o *Order) NextDeadline() (time.Time, bool) {
	var earliest time.Time
	for _, it := range o.items {
		if !it.Deadline.IsZero() && (earliest.IsZero() || it.Deadline.Before(earliest)) {
			earliest = it.Deadline
		}
	}
	return earliest, !earliest.IsZero()
}

// Len returns the number of waiting items.
func (o *Order) Len() int { return len(o.items) }

// BacklogAhead returns the estimated slot time of all waiting items.
func (o *Order) BacklogAhead(time.Time, jaybarrow.Item) time.Duration {
	var ahead time.Duration
	for _, it := range o.items {
		ahead += it.Estimate * time.Duration(max(it.Slots, 1))
	}
	return ahead
}
