package fairshare

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/heap"
)

// unknownCharge is charged at the start of an item without an estimate, so that a team whose run times are unknown cannot
// start any number of tasks before the first correction.
const unknownCharge = time.Second

// Order is the fair order with targets; its owner serializes all calls.
type Order struct {
	entries   map[jaybarrow.RequestID]*entry
	teams     map[jaybarrow.TeamID]*team
	byService *heap.Heap[*team]  // teams with waiting work
	byUrgency *heap.Heap[*team]  // teams with urgent waiting work
	changes   *heap.Heap[*entry] // by the time of the next change of tier
	deadlines *heap.Heap[*entry]
	virtual   service // the service at which an idle team re-enters
	running   jaybarrow.Slots
	shares    jaybarrow.Share // sum over the teams with waiting or running work
	active    int             // number of these teams
}

// New returns an empty Order.
func New() *Order {
	return &Order{
		entries: make(map[jaybarrow.RequestID]*entry),
		teams:   make(map[jaybarrow.TeamID]*team),
		byService: heap.New(func(a, b *team) bool {
			return a.service < b.service || (a.service == b.service && a.id < b.id)
		}, func(t *team, i int) { t.serviceAt = i }),
		byUrgency: heap.New(func(a, b *team) bool {
			x, y := a.urgency.latest, b.urgency.latest
			return x.Before(y) || (x.Equal(y) && a.id < b.id)
		}, func(t *team, i int) { t.urgentAt = i }),
		changes: heap.New(
			func(a, b *entry) bool { return a.change.Before(b.change) }, func(e *entry, i int) { e.changeAt = i }),
		deadlines: heap.New(
			func(a, b *entry) bool { return a.item.Deadline.Before(b.item.Deadline) }, func(e *entry, i int) { e.deadlineAt = i }),
	}
}

// Push adds a waiting item; an item that returns after an attempt keeps its place, since places follow from its times.
func (o *Order) Push(now time.Time, item jaybarrow.Item) {
	if old, ok := o.entries[item.ID]; ok {
		o.drop(old)
	}
	t := o.team(item.Team)
	o.setShare(t, item.Share)
	if t.waiting == 0 {
		t.service = max(t.service, o.virtual)
	}
	t.waiting++
	e := newEntry(item, t)
	o.entries[item.ID] = e
	o.attach(now, e)
	if !item.Deadline.IsZero() {
		o.deadlines.Push(e)
	}
	o.refresh(t)
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
		o.shares += share - t.share
	}
	t.share = share
}

func (o *Order) attach(now time.Time, e *entry) {
	e.classify(now)
	e.team.attach(e)
	if !e.change.IsZero() {
		o.changes.Push(e)
	}
}

// drop removes a waiting entry from every heap.
func (o *Order) drop(e *entry) {
	delete(o.entries, e.item.ID)
	e.team.detach(e)
	e.team.waiting--
	if e.changeAt != heap.Absent {
		o.changes.Remove(e.changeAt)
	}
	if e.deadlineAt != heap.Absent {
		o.deadlines.Remove(e.deadlineAt)
	}
	o.refresh(e.team)
}

// refresh restores the team's places after a change of its waiting or running work, and forgets a team without any.
func (o *Order) refresh(t *team) {
	o.refreshUrgency(t)
	switch {
	case t.waiting == 0 && t.serviceAt != heap.Absent:
		o.byService.Remove(t.serviceAt)
	case t.waiting > 0 && t.serviceAt == heap.Absent:
		o.byService.Push(t)
	case t.waiting > 0:
		o.byService.Fix(t.serviceAt)
	}
	if active := t.waiting > 0 || t.running > 0; active != t.active {
		o.setActive(t, active)
	}
	if !t.active && t.service <= o.virtual {
		delete(o.teams, t.id)
	}
}

func (o *Order) setActive(t *team, active bool) {
	t.active = active
	if active {
		o.active++
		o.shares += t.share
		return
	}
	o.active--
	o.shares -= t.share
	if o.active == 0 {
		o.shares = 0 // removes the rounding errors of the sum
	}
	o.forgetIdle()
}

// forgetIdle removes idle teams that virtual time has passed; it runs only when idle teams outnumber active ones.
func (o *Order) forgetIdle() {
	if len(o.teams) <= 2*o.active+64 {
		return
	}
	for id, t := range o.teams {
		if !t.active && t.service <= o.virtual {
			delete(o.teams, id)
		}
	}
}

func (o *Order) refreshUrgency(t *team) {
	if t.urgentAt != heap.Absent {
		o.byUrgency.Remove(t.urgentAt)
	}
	t.urgency = t.firstUrgent()
	if t.urgency != nil {
		o.byUrgency.Push(t)
	}
}

// advance moves the entries whose tier has changed by now.
func (o *Order) advance(now time.Time) {
	for {
		e, ok := o.changes.First()
		if !ok || e.change.After(now) {
			return
		}
		o.changes.Remove(e.changeAt)
		e.team.detach(e)
		o.attach(now, e)
		o.refreshUrgency(e.team)
	}
}

// Remove takes a waiting item out.
func (o *Order) Remove(id jaybarrow.RequestID) (jaybarrow.Item, bool) {
	e, ok := o.entries[id]
	if !ok {
		return jaybarrow.Item{}, false
	}
	o.drop(e)
	return e.item, true
}

// Started charges the estimated service; virtual time follows the team with the least service that started.
func (o *Order) Started(_ time.Time, item jaybarrow.Item) {
	t := o.team(item.Team)
	if !t.active { // its only item left the queue with Next, and the team may have been forgotten
		o.setShare(t, item.Share)
		t.service = max(t.service, o.virtual)
	}
	least := t.service
	if first, ok := o.byService.First(); ok {
		least = min(least, first.service)
	}
	o.virtual = max(o.virtual, least)
	t.charge(item.Slots, charged(item))
	t.running += item.Slots
	t.starts++
	o.running += item.Slots
	o.refresh(t)
}

// Finished replaces the estimated service of a started item by the actual one.
func (o *Order) Finished(_ time.Time, item jaybarrow.Item, ran time.Duration) {
	t := o.team(item.Team)
	t.charge(item.Slots, ran-charged(item))
	t.running -= item.Slots
	o.running -= item.Slots
	o.refresh(t)
}

func charged(item jaybarrow.Item) time.Duration {
	if item.Estimate <= 0 {
		return unknownCharge
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
		o.drop(e)
		expired = append(expired, e.item)
	}
}

// NextDeadline returns the earliest deadline of a waiting item.
func (o *Order) NextDeadline() (time.Time, bool) {
	e, ok := o.deadlines.First()
	if !ok {
		return time.Time{}, false
	}
	return e.item.Deadline, true
}

// Len is the number of waiting items.
func (o *Order) Len() int { return len(o.entries) }
