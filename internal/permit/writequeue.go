package permit

import (
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/allotment"
	"github.com/jaybarrow/jaybarrow/internal/ratelimit"
)

// writeQueue spends the entry host's budget of writes on the most urgent ones first, and among equals on the one that has waited
// longest.
type writeQueue struct {
	sync.Mutex
	ownBudget       *ratelimit.Bucket // of this entry host
	fleetBudget     *ratelimit.Bucket // of all entry hosts; every write that the watch shows is subtracted
	lastRevision    jaybarrow.Revision
	uncountedWrites int               // own writes since lastRevision was updated
	minorBudget     *ratelimit.Bucket // of minor and idle writes, which would otherwise use up the whole budget
	waiting         map[*holding]queuedWrite
	changed         chan struct{} // signals that the waiting writes or the budget changed
}

// queuedWrite is a write that waits for the budget.
type queuedWrite struct {
	urgency allotment.Urgency
	since   time.Time
	team    jaybarrow.TeamID
}

// rankedAt returns the write with its urgency at the given time.
func (w queuedWrite) rankedAt(now time.Time) queuedWrite {
	if w.urgency == allotment.UrgencyMinor && now.Sub(w.since) >= minorWriteDelay {
		w.urgency = allotment.UrgencyDemand
	}
	return w
}

// before reports whether the write is made before the other.
func (w queuedWrite) before(other queuedWrite) bool {
	if w.urgency != other.urgency {
		return w.urgency.Before(other.urgency)
	}
	if !w.since.Equal(other.since) {
		return w.since.Before(other.since)
	}
	return w.team < other.team
}

func newWriteQueue(writesPerSecond, fleetWritesPerSecond int) *writeQueue {
	return &writeQueue{
		ownBudget: ratelimit.New(writesPerSecond, writesPerSecond), minorBudget: ratelimit.New(max(1, writesPerSecond/4), max(1, writesPerSecond/2)),
		fleetBudget: ratelimit.New(max(1, fleetWritesPerSecond), fleetWritesPerSecond/8), waiting: make(map[*holding]queuedWrite), changed: make(chan struct{}, 1),
	}
}

// minorWriteDelay is how long a minor write waits before it ranks as demand, because the host's own tasks did not free enough
// permits.
const minorWriteDelay = time.Second

// take spends one write of the budget, or queues the holding's write and returns false.
func (q *writeQueue) take(now time.Time, h *holding, urgency allotment.Urgency) bool {
	q.Lock()
	defer q.Unlock()
	w, waits := q.waiting[h]
	if !waits {
		w = queuedWrite{since: now, team: h.id}
	}
	w.urgency = urgency
	defer notify(q.changed)
	first, best := q.mostUrgent(now)
	if (first == nil || first == h || !best.before(w.rankedAt(now))) && q.spend(now, w.rankedAt(now)) {
		delete(q.waiting, h)
		return true
	}
	q.waiting[h] = w
	return false
}

// remove drops a queued write that is no longer due.
func (q *writeQueue) remove(h *holding) {
	q.Lock()
	defer q.Unlock()
	if _, waits := q.waiting[h]; waits {
		delete(q.waiting, h)
		notify(q.changed)
	}
}

// spend takes a write from this host's budget or, when that is used up and work waits for the write, from the fleet's.
func (q *writeQueue) spend(now time.Time, w queuedWrite) bool {
	if w.isMinor() && q.minorBudget.Wait(now) > 0 {
		return false
	}
	if _, ok := q.ownBudget.Take(now); ok {
		q.fleetBudget.Spend(1)
	} else if w.isMinor() {
		return false
	} else if _, ok := q.fleetBudget.Take(now); !ok {
		return false
	}
	if w.isMinor() {
		q.minorBudget.Spend(1)
	}
	q.uncountedWrites++
	return true
}

// chargeOthers subtracts the writes of other processes, which the store's revisions count, from the fleet's budget.
func (q *writeQueue) chargeOthers(revision jaybarrow.Revision) {
	q.Lock()
	defer q.Unlock()
	if revision <= q.lastRevision {
		return
	}
	if others := int(revision-q.lastRevision) - q.uncountedWrites; q.lastRevision > 0 && others > 0 {
		q.fleetBudget.Spend(others)
	}
	q.lastRevision, q.uncountedWrites = revision, 0
}

// isMinor reports whether the write has one of the two lowest urgencies, so that it may be delayed.
func (w queuedWrite) isMinor() bool {
	return w.urgency == allotment.UrgencyMinor || w.urgency == allotment.UrgencyIdle
}

// mostUrgent returns the holding whose write is next, or nil when none waits.
func (q *writeQueue) mostUrgent(now time.Time) (*holding, queuedWrite) {
	var next *holding
	var best queuedWrite
	for h, w := range q.waiting {
		w = w.rankedAt(now)
		if next == nil || w.before(best) {
			next, best = h, w
		}
	}
	return next, best
}

// next returns the holding whose write is next, and how long until the budget allows it.
func (q *writeQueue) next(now time.Time) (*holding, time.Duration) {
	q.Lock()
	defer q.Unlock()
	h, w := q.mostUrgent(now)
	if h == nil {
		return nil, 0
	}
	if w.isMinor() {
		return h, max(q.ownBudget.Wait(now), q.minorBudget.Wait(now))
	}
	return h, min(q.ownBudget.Wait(now), q.fleetBudget.Wait(now))
}

// wakeInterval is how long a woken holding has to make or drop its write before it is woken again.
const wakeInterval = 100 * time.Millisecond

// dispatchWrites wakes one waiting holding for each write that the budget allows.
func (k *Keeper) dispatchWrites() {
	for {
		h, wait := k.writes.next(k.deps.Clock.Now())
		var timer <-chan time.Time
		if h != nil {
			if wait <= 0 {
				h.signal()
				wait = wakeInterval
			}
			timer = k.deps.Clock.After(wait)
		}
		select {
		case <-k.ctx.Done():
			return
		case <-k.writes.changed:
		case <-timer:
		}
	}
}
