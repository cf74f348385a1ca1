package fairshare

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/heap"
)

// defaultCharge is charged at the start of an item without an estimate, so that a team with unknown run times cannot start an
// unlimited number of tasks before the first of them ends and corrects the charge.
const defaultCharge = time.Second

// Order is a weighted fair queue with targets; its owner serializes all calls.
type Order struct {
	entries     map[jaybarrow.RequestID]*entry
	teams       map[jaybarrow.TeamID]*team
	byService   *heap.Heap[*team]  // teams with waiting work, least service first
	byUrgency   *heap.Heap[*team]  // teams with urgent waiting work, least slack first
	tierChanges *heap.Heap[*entry] // waiting entries whose tier will change, next change first
	deadlines   *heap.Heap[*entry]
	virtualTime service // minimum service with which a team becomes active
	running     jaybarrow.Slots
	shareSum    jaybarrow.Share // sum of the shares of the teams with waiting or running work
	active      int             // number of these teams
}

// New returns an empty Order.
func New() *Order {
	return &Order{
		entries: make(map[jaybarrow.RequestID]*entry),
		teams:   make(map[jaybarrow.TeamID]*team),
		byService: heap.New(func(a, b *team) bool {
			return a.service < b.service || (a.service == b.service && a.id < b.id)
		}, func(t *team, i int) { t.serviceIndex = i }),
		byUrgency: heap.New(func(a, b *team) bool {
			x, y := a.mostUrgent.latestStart, b.mostUrgent.latestStart
			return x.Before(y) || (x.Equal(y) && a.id < b.id)
		}, func(t *team, i int) { t.urgencyIndex = i }),
		tierChanges: heap.New(
			func(a, b *entry) bool { return a.tierChange.Before(b.tierChange) }, func(e *entry, i int) { e.changeIndex = i }),
		deadlines: heap.New(
			func(a, b *entry) bool { return a.item.Deadline.Before(b.item.Deadline) }, func(e *entry, i int) { e.deadlineIndex = i }),
	}
}

// Push adds a waiting item. An item that is queued again after an attempt keeps its place, which depends only on its times.
func (o *Order) Push(now time.Time, item jaybarrow.Item) {
	if old, ok := o.entries[item.ID]; ok {
		o.removeEntry(old)
	}
	t := o.team(item.Team)
	o.setShare(t, item.Share)
	if t.waiting == 0 {
		t.service = max(t.service, o.virtualTime)
	}
	t.waiting++
	e := newEntry(item, t)
	o.entries[item.ID] = e
	o.attach(now, e)
	if !item.Deadline.IsZero() {
		o.deadlines.Push(e)
	}
	o.refreshTeam(t)
}

func (o *Order) team(id jaybarrow.TeamID) *team {
	t, ok := o.teams[id]
	if !ok {
		t = newTeam(id)
		o.teams[id] = t
	}
	return t
}

func (o *Order) setShare(t *team, share jaybarrow.Share) {
	if share <= 0 {
		return
	}
	if t.active {
		o.shareSum += share - t.share
	}
	t.share = share
}

// attach puts the entry into the queue of its current tier and schedules its next change of tier.
func (o *Order) attach(now time.Time, e *entry) {
	e.classify(now)
	e.team.attach(e)
	if !e.tierChange.IsZero() {
		o.tierChanges.Push(e)
	}
}

// removeEntry removes a waiting entry from the order.
func (o *Order) removeEntry(e *entry) {
	delete(o.entries, e.item.ID)
	e.team.detach(e)
	e.team.waiting--
	if e.changeIndex != heap.Absent {
		o.tierChanges.Remove(e.changeIndex)
	}
	if e.deadlineIndex != heap.Absent {
		o.deadlines.Remove(e.deadlineIndex)
	}
	o.refreshTeam(e.team)
}

// refreshTeam updates the team's heap positions after a change of its waiting or running work. It removes a team without work
// whose service does not exceed the virtual time.
func (o *Order) refreshTeam(t *team) {
	o.refreshUrgency(t)
	switch {
	case t.waiting == 0 && t.serviceIndex != heap.Absent:
		o.byService.Remove(t.serviceIndex)
	case t.waiting > 0 && t.serviceIndex == heap.Absent:
		o.byService.Push(t)
	case t.waiting > 0:
		o.byService.Fix(t.serviceIndex)
	}
	if active := t.waiting > 0 || t.running > 0; active != t.active {
		o.setActive(t, active)
	}
	if !t.active && t.service <= o.virtualTime {
		delete(o.teams, t.id)
	}
}

func (o *Order) setActive(t *team, active bool) {
	t.active = active
	if active {
		o.active++
		o.shareSum += t.share
		return
	}
	o.active--
	o.shareSum -= t.share
	if o.active == 0 {
		o.shareSum = 0 // discards the accumulated rounding errors
	}
	o.removeIdleTeams()
}

// removeIdleTeams removes idle teams whose service does not exceed the virtual time. It scans the teams only when the idle ones
// outnumber the active ones by more than 64.
func (o *Order) removeIdleTeams() {
	if len(o.teams) <= 2*o.active+64 {
		return
	}
	for id, t := range o.teams {
		if !t.active && t.service <= o.virtualTime {
			delete(o.teams, id)
		}
	}
}

// refreshUrgency updates the team's most urgent entry and its position in the heap by urgency.
func (o *Order) refreshUrgency(t *team) {
	if t.urgencyIndex != heap.Absent {
		o.byUrgency.Remove(t.urgencyIndex)
	}
	t.mostUrgent = t.firstUrgent()
	if t.mostUrgent != nil {
		o.byUrgency.Push(t)
	}
}

// reclassify moves the entries whose tier has changed into the queues of their current tiers.
func (o *Order) reclassify(now time.Time) {
	for {
		e, ok := o.tierChanges.First()
		if !ok || e.tierChange.After(now) {
			return
		}
		o.tierChanges.Remove(e.changeIndex)
		e.team.detach(e)
		o.attach(now, e)
		o.refreshUrgency(e.team)
	}
}

// Remove removes a waiting item; false when the item is not waiting.
func (o *Order) Remove(id jaybarrow.RequestID) (jaybarrow.Item, bool) {
	e, ok := o.entries[id]
	if !ok {
		return jaybarrow.Item{}, false
	}
	o.removeEntry(e)
	return e.item, true
}

// Started charges the estimated service. The virtual time advances to the least service among the item's team and the teams with
// waiting work.
func (o *Order) Started(_ time.Time, item jaybarrow.Item) {
	t := o.team(item.Team)
	if !t.active { // Next removed the team's only item, and the team may have been removed with it
		o.setShare(t, item.Share)
		t.service = max(t.service, o.virtualTime)
	}
	leastService := t.service
	if first, ok := o.byService.First(); ok {
		leastService = min(leastService, first.service)
	}
	o.virtualTime = max(o.virtualTime, leastService)
	t.charge(item.Slots, estimatedCharge(item))
	t.running += item.Slots
	t.starts++
	o.running += item.Slots
	o.refreshTeam(t)
}

// Finished replaces the estimated service of a started item by the actual one.
func (o *Order) Finished(_ time.Time, item jaybarrow.Item, ran time.Duration) {
	t := o.team(item.Team)
	t.charge(item.Slots, ran-estimatedCharge(item))
	t.running -= item.Slots
	o.running -= item.Slots
	o.refreshTeam(t)
}

// estimatedCharge returns the run time that is charged at the item's start.
func estimatedCharge(item jaybarrow.Item) time.Duration {
	if item.Estimate <= 0 {
		return defaultCharge
	}
	return item.Estimate
}

// Expired removes and returns the items whose deadline passed.
func (o *Order) Expired(now time.Time) []jaybarrow.Item {
	var expired []jaybarrow.Item
	for {
		e, ok := o.deadlines.First()
		if !ok || e.item.Deadline.After(now) {
			return expired
		}
		o.removeEntry(e)
		expired = append(expired, e.item)
	}
}

// NextDeadline returns the earliest deadline of a waiting item; false when no item has one.
func (o *Order) NextDeadline() (time.Time, bool) {
	e, ok := o.deadlines.First()
	if !ok {
		return time.Time{}, false
	}
	return e.item.Deadline, true
}

// Len returns the number of waiting items.
func (o *Order) Len() int { return len(o.entries) }
