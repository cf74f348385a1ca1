package fairshare

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/heap"
)

// tier groups a team's waiting work by urgency.
type tier string

const (
	tierQuick      tier = "quick"    // quick work that can meet its target
	tierUrgentSlow tier = "pressing" // slow work that is close to its latest start
	tierSlow       tier = "slow"     // slow work with time left
	tierOverdue    tier = "overdue"  // slow work that cannot meet its target; it still has to finish
	tierLost       tier = "lost"     // quick work that cannot meet its target
)

// minSlowEstimate replaces a missing or smaller estimate of slow work, so that the work becomes urgent before its target.
const minSlowEstimate = time.Second

// entry is a waiting item; the indexes are its positions in the heaps that hold it.
type entry struct {
	item          jaybarrow.Item
	latestStart   time.Time // latest start that meets the target if the estimate is right
	team          *team
	tier          tier
	queue         *queue
	tierChange    time.Time // when the tier changes; zero for never
	queueIndex    int
	changeIndex   int
	deadlineIndex int
}

func newEntry(item jaybarrow.Item, t *team) *entry {
	return &entry{
		item: item, team: t, latestStart: item.Target.Add(-item.Estimate),
		queueIndex: heap.Absent, changeIndex: heap.Absent, deadlineIndex: heap.Absent,
	}
}

func (e *entry) work() time.Duration {
	return e.item.Estimate * time.Duration(max(e.item.Slots, 1))
}

// lostAt returns the time from which quick work counts as lost: a quarter of its estimate before its latest start, since half of
// the work that starts at the latest start ends late. Work with little slack is not lost before half of the time from its arrival
// to its target has passed, at most until a quarter of its estimate after its latest start; otherwise it would be lost on arrival.
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

// classify sets the current tier and the time at which it changes. Slow work becomes urgent a quarter of its estimate before its
// latest start, so that it can start by then, and overdue a quarter of its estimate after it, since estimates are not exact.
// Work without a target never changes its tier.
func (e *entry) classify(now time.Time) {
	target, estimate := e.item.Target, e.item.Estimate
	if e.item.Class == jaybarrow.ClassQuick {
		e.tier, e.tierChange = tierAt(now, e.lostAt(), tierQuick, tierLost)
	} else {
		estimate = max(estimate, minSlowEstimate)
		e.tier, e.tierChange = tierAt(now, target.Add(-estimate*3/4), tierUrgentSlow, tierOverdue)
		if urgent := target.Add(-estimate * 5 / 4); now.Before(urgent) {
			e.tier, e.tierChange = tierSlow, urgent
		}
	}
	if target.IsZero() {
		e.tierChange = time.Time{}
		e.tier = tierSlow
		if e.item.Class == jaybarrow.ClassQuick {
			e.tier = tierQuick
		}
	}
}

// tierAt returns the tier at the time now and the time of its change: early until the limit, then late, which does not change.
func tierAt(now, limit time.Time, early, late tier) (tier, time.Time) {
	if now.Before(limit) {
		return early, limit
	}
	return late, time.Time{}
}

// precedes orders the entries of one tier: quick work by its target, slow work by its latest start.
func precedes(a, b *entry) bool {
	x, y := a.item.Target, b.item.Target
	if a.item.Class != jaybarrow.ClassQuick {
		x, y = a.latestStart, b.latestStart
	}
	if !x.Equal(y) {
		return x.Before(y)
	}
	if !a.item.Arrived.Equal(b.item.Arrived) {
		return a.item.Arrived.Before(b.item.Arrived)
	}
	return a.item.ID < b.item.ID
}

// queue holds a team's entries of one tier and one demand; either all of them can start now or none.
type queue struct {
	tier    tier
	demand  jaybarrow.Demand
	entries *heap.Heap[*entry]
	index   int // index in its team's heap of the tier; heap.Absent while the queue is empty or refused
}

func newQueue(t tier, demand jaybarrow.Demand) *queue {
	return &queue{
		tier: t, demand: demand, index: heap.Absent,
		entries: heap.New(precedes, func(e *entry, i int) { e.queueIndex = i }),
	}
}

func (q *queue) first() *entry {
	e, _ := q.entries.First()
	return e
}
