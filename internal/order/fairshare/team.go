package fairshare

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/heap"
)

// service is attained slot-seconds divided by share.
type service float64

type queueKey struct {
	tier   tier
	demand jaybarrow.Demand
}

// overdueEvery is how often a team's turn goes first to its overdue work: without a part of the team's starts such work
// would never finish while the team has newer work.
const overdueEvery = 8

// team is the state of a team with waiting or running work.
type team struct {
	id        jaybarrow.TeamID
	share     jaybarrow.Share
	service   service
	running   jaybarrow.Slots
	waiting   int
	starts    int
	active    bool // counted in the order's sum of shares
	queues    map[queueKey]*queue
	tiers     map[tier]*heap.Heap[*queue]
	load      map[tier]load
	urgency   *entry // the urgent entry with the least slack, as of the last refresh
	serviceAt int    // index in the order's heap by service
	urgentAt  int    // index in the order's heap by urgency
}

// load is the number and the estimated slot time of waiting entries.
type load struct {
	count int
	work  time.Duration
}

func (l load) plus(e *entry, sign int) load {
	return load{l.count + sign, l.work + time.Duration(sign)*e.work()}
}

func newTeam(id jaybarrow.TeamID) *team {
	return &team{
		id: id, share: 1, serviceAt: heap.Absent, urgentAt: heap.Absent,
		queues: make(map[queueKey]*queue), tiers: make(map[tier]*heap.Heap[*queue]), load: make(map[tier]load),
	}
}

func (t *team) ranked(name tier) *heap.Heap[*queue] {
	h, ok := t.tiers[name]
	if !ok {
		h = heap.New(
			func(a, b *queue) bool { return precedes(a.first(), b.first()) },
			func(q *queue, i int) { q.at = i },
		)
		t.tiers[name] = h
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
	t.load[e.tier] = t.load[e.tier].plus(e, 1)
	t.place(q)
}

// detach takes the entry out of its queue.
func (t *team) detach(e *entry) {
	q := e.queue
	if q.at != heap.Absent && q.entries.Len() == 1 {
		t.ranked(q.tier).Remove(q.at)
	}
	q.entries.Remove(e.queueAt)
	t.load[q.tier] = t.load[q.tier].plus(e, -1)
	if q.entries.Len() == 0 {
		delete(t.queues, queueKey{q.tier, q.demand})
		return
	}
	t.place(q)
}

func (t *team) place(q *queue) {
	if q.at == heap.Absent {
		t.ranked(q.tier).Push(q)
		return
	}
	t.ranked(q.tier).Fix(q.at)
}

func (t *team) first(name tier) *entry {
	h, ok := t.tiers[name]
	if !ok {
		return nil
	}
	q, ok := h.First()
	if !ok {
		return nil
	}
	return q.first()
}

// firstUrgent returns the quick or pressing entry with the least slack.
func (t *team) firstUrgent() *entry {
	quick, pressing := t.first(tierQuick), t.first(tierPressing)
	switch {
	case quick == nil:
		return pressing
	case pressing == nil || quick.latest.Before(pressing.latest):
		return quick
	}
	return pressing
}

// firstFair returns the team's entry for its turn by service.
func (t *team) firstFair() *entry {
	if t.starts%overdueEvery == overdueEvery-1 {
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

// charge adds slot time to the attained service; it may be negative.
func (t *team) charge(slots jaybarrow.Slots, d time.Duration) {
	t.service += service(d.Seconds() * float64(max(slots, 1)) / float64(t.share))
}
