package fairshare

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/heap"
)

// service is a team's attained slot-seconds divided by its share.
type service float64

type queueKey struct {
	tier   tier
	demand jaybarrow.Demand
}

// startsPerOverdueTurn is the number of starts of a team of which the last one prefers overdue work, which would otherwise never run
// while the team has newer work.
const startsPerOverdueTurn = 8

// team is the state of a team with waiting or running work.
type team struct {
	id           jaybarrow.TeamID
	share        jaybarrow.Share
	service      service
	running      jaybarrow.Slots
	waiting      int
	starts       int
	active       bool // whether its share is counted in the order's shareSum
	queues       map[queueKey]*queue
	queuesByTier map[tier]*heap.Heap[*queue]
	load         map[tier]load
	mostUrgent   *entry // the urgent entry with the least slack, as of the last refresh; nil when there is none
	serviceIndex int    // index in the order's heap by service
	urgencyIndex int    // index in the order's heap by urgency
}

// load is the number of waiting entries and their estimated slot time.
type load struct {
	count int
	work  time.Duration
}

func (l load) withEntry(e *entry, sign int) load {
	return load{l.count + sign, l.work + time.Duration(sign)*e.work()}
}

func newTeam(id jaybarrow.TeamID) *team {
	return &team{
		id: id, share: 1, serviceIndex: heap.Absent, urgencyIndex: heap.Absent,
		queues: make(map[queueKey]*queue), queuesByTier: make(map[tier]*heap.Heap[*queue]), load: make(map[tier]load),
	}
}

// queuesOf returns the heap of the tier's queues, ordered by their first entries.
func (t *team) queuesOf(name tier) *heap.Heap[*queue] {
	h, ok := t.queuesByTier[name]
	if !ok {
		h = heap.New(
			func(a, b *queue) bool { return precedes(a.first(), b.first()) },
			func(q *queue, i int) { q.index = i },
		)
		t.queuesByTier[name] = h
	}
	return h
}

// attach puts the entry into the queue of its tier.
func (t *team) attach(e *entry) {
	key := queueKey{e.tier, e.item.Demand}
	q, ok := t.queues[key]
	if !ok {
		q = newQueue(e.tier, e.item.Demand)
		t.queues[key] = q
	}
	q.entries.Push(e)
	e.queue = q
	t.load[e.tier] = t.load[e.tier].withEntry(e, 1)
	t.pushOrFix(q)
}

// detach takes the entry out of its queue.
func (t *team) detach(e *entry) {
	q := e.queue
	if q.index != heap.Absent && q.entries.Len() == 1 {
		t.queuesOf(q.tier).Remove(q.index)
	}
	q.entries.Remove(e.queueIndex)
	t.load[q.tier] = t.load[q.tier].withEntry(e, -1)
	if q.entries.Len() == 0 {
		delete(t.queues, queueKey{q.tier, q.demand})
		return
	}
	t.pushOrFix(q)
}

// pushOrFix adds the queue to the heap of its tier, or updates its position there.
func (t *team) pushOrFix(q *queue) {
	if q.index == heap.Absent {
		t.queuesOf(q.tier).Push(q)
		return
	}
	t.queuesOf(q.tier).Fix(q.index)
}

// first returns the tier's first entry, nil when it has none.
func (t *team) first(name tier) *entry {
	h, ok := t.queuesByTier[name]
	if !ok {
		return nil
	}
	q, ok := h.First()
	if !ok {
		return nil
	}
	return q.first()
}

// firstUrgent returns the quick or urgent slow entry with the least slack.
func (t *team) firstUrgent() *entry {
	quick, urgentSlow := t.first(tierQuick), t.first(tierUrgentSlow)
	switch {
	case quick == nil:
		return urgentSlow
	case urgentSlow == nil || quick.latestStart.Before(urgentSlow.latestStart):
		return quick
	}
	return urgentSlow
}

// firstInTurn returns the entry that the team starts when it has the least service.
func (t *team) firstInTurn() *entry {
	if t.starts%startsPerOverdueTurn == startsPerOverdueTurn-1 {
		if e := t.first(tierOverdue); e != nil {
			return e
		}
	}
	if e := t.firstUrgent(); e != nil {
		return e
	}
	if e := t.first(tierSlow); e != nil {
		return e
	}
	return t.first(tierOverdue)
}

// charge adds the slot time to the attained service; d may be negative.
func (t *team) charge(slots jaybarrow.Slots, d time.Duration) {
	t.service += service(d.Seconds() * float64(max(slots, 1)) / float64(t.share))
}
