package fairshare

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/heap"
)

// tier groups a team's waiting work by urgency.
type tier string

const (
	tierQuick    tier = "quick"    // quick work that can meet its target
	tierPressing tier = "pressing" // slow work whose latest start has come
	tierSlow     tier = "slow"     // slow work with time left
	tierOverdue  tier = "overdue"  // slow work that cannot meet its target; it still has to finish
	tierLost     tier = "lost"     // quick work that cannot meet its target
)

// leastEstimate is assumed for slow work without an estimate, so that it becomes urgent before its target.
const leastEstimate = time.Second

// entry is a waiting item; the indexes are its places in the heaps that hold it.
type entry struct {
	item       jaybarrow.Item
	latest     time.Time // latest start that meets the target by the estimate
	team       *team
	tier       tier
	queue      *queue
	change     time.Time // when the tier changes; zero: never
	queueAt    int
	changeAt   int
	deadlineAt int
}

func newEntry(item jaybarrow.Item, t *team) *entry {
	return &entry{
		item: item, team: t, latest: item.Target.Add(-item.Estimate),
		queueAt: heap.Absent, changeAt: heap.Absent, deadlineAt: heap.Absent,
	}
}

func (e *entry) work() time.Duration {
	return e.item.Estimate * time.Duration(max(e.item.Slots, 1))
}

// lostAt is the time from which quick work counts as lost: a quarter of its estimate before its latest start, since at the
// latest start half of such work already ends late. Work whose target leaves little more than its estimate keeps its place
// for half of its time, otherwise it would count as lost from its arrival.
func (e *entry) lostAt() time.Time {
	target, estimate := e.item.Target, e.item.Estimate
	early, late := target.Add(-estimate*5/4), target.Add(-estimate*3/4)
	half := e.item.Arrived.Add(target.Sub(e.item.Arrived) / 2)
	if half.After(late) {
		half = late
	}
	if early.Before(half) {
		return half
	}
	return early
}

// classify sets the tier at the time now and the time of the next change. Slow work becomes urgent a quarter of its estimate
// before its latest start, so that it can start by then, and counts as late a quarter after it, since estimates are not
// exact.
func (e *entry) classify(now time.Time) {
	target, estimate := e.item.Target, e.item.Estimate
	if e.item.Class == jaybarrow.ClassQuick {
		e.tier, e.change = later(now, e.lostAt(), tierQuick, tierLost)
	} else {
		estimate = max(estimate, leastEstimate)
		e.tier, e.change = later(now, target.Add(-estimate*3/4), tierPressing, tierOverdue)
		if urgent := target.Add(-estimate * 5 / 4); now.Before(urgent) {
			e.tier, e.change = tierSlow, urgent
		}
	}
	if target.IsZero() {
		e.change = time.Time{}
		e.tier = tierSlow
		if e.item.Class == jaybarrow.ClassQuick {
			e.tier = tierQuick
		}
	}
}

func later(now, limit time.Time, early, late tier) (tier, time.Time) {
	if now.Before(limit) {
		return early, limit
	}
	return late, time.Time{}
}

// precedes orders the entries of one tier: quick work by its target, slow work by its latest start.
func precedes(a, b *entry) bool {
	x, y := a.item.Target, b.item.Target
	if a.item.Class != jaybarrow.ClassQuick {
		x, y = a.latest, b.latest
	}
	if !x.Equal(y) {
		return x.Before(y)
	}
	if !a.item.Arrived.Equal(b.item.Arrived) {
		return a.item.Arrived.Before(b.item.Arrived)
	}
	return a.item.ID < b.item.ID
}

// queue holds a team's entries of one tier and one demand; all of them can run, or none.
type queue struct {
	tier    tier
	demand  jaybarrow.Demand
	entries *heap.Heap[*entry]
	at      int // index in its team's heap of the tier; heap.Absent while empty or set aside
}

func newQueue(t tier, demand jaybarrow.Demand) *queue {
	return &queue{
		tier: t, demand: demand, at: heap.Absent,
		entries: heap.New(precedes, func(e *entry, i int) { e.queueAt = i }),
	}
}

func (q *queue) first() *entry {
	e, _ := q.entries.First()
	return e
}
