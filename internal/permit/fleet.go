package permit

import (
	"maps"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/allotment"
)

// fleetView is an immutable view of the registered entry hosts and of this one's registration.
type fleetView struct {
	live            map[jaybarrow.EntryID]jaybarrow.Incarnation
	incarnation     jaybarrow.Incarnation
	fenced          bool
	changedAt       time.Time // when the set of live entry hosts last changed
	olderTasksEndAt time.Time // no task of an older incarnation runs after this
}

// conditionsChanged returns a channel that is closed when the platform's list of hosts next changes.
func (k *Keeper) conditionsChanged() <-chan struct{} {
	if k.deps.Conditions == nil {
		return nil
	}
	return k.deps.Conditions.Changed()
}

// refreshFleet replaces the view and reports whether it changed.
func (k *Keeper) refreshFleet() bool {
	next := &fleetView{live: make(map[jaybarrow.EntryID]jaybarrow.Incarnation), incarnation: k.deps.Registration.Incarnation()}
	k.deps.Directory.Entries.Each(func(id jaybarrow.EntryID, e jaybarrow.EntryHost) { next.live[id] = e.Incarnation })
	select {
	case <-k.deps.Registration.Fenced():
		next.fenced = true
	default:
	}
	if next.incarnation != 0 {
		next.olderTasksEndAt = k.deps.Registration.RegisteredAt().Add(k.taskSpan)
		// The host's own presence record may be missing for a moment, such as after an outage of the store.
		next.live[k.deps.Entry] = next.incarnation
	}
	old := k.fleet.Load()
	next.changedAt = old.changedAt
	if !maps.Equal(old.live, next.live) {
		next.changedAt = k.deps.Clock.Now()
	}
	k.fleet.Store(next)
	return !maps.Equal(old.live, next.live) || old.incarnation != next.incarnation || old.fenced != next.fenced
}

// goneMargin is added to the longest run of a task before the permits of a host that is gone are reclaimed. It covers a task
// that was sent just before the host ended and reached its worker late.
const goneMargin = 2 * time.Second

// endedHolders returns the record's holders that are gone and whose tasks have all ended, and how long until this holds for the
// next one; negative when there is none.
func (k *Keeper) endedHolders(record jaybarrow.Allotment) (map[jaybarrow.EntryID]bool, time.Duration) {
	wait := time.Duration(-1)
	if k.deps.Conditions == nil {
		return nil, wait
	}
	var ended map[jaybarrow.EntryID]bool
	for id := range record.Grants {
		since, gone := k.deps.Conditions.GoneFor(string(id))
		if !gone || id == k.deps.Entry {
			continue
		}
		if left := k.taskSpan + goneMargin - since; left > 0 {
			wait = shorterWait(wait, left)
			continue
		}
		if ended == nil {
			ended = make(map[jaybarrow.EntryID]bool)
		}
		ended[id] = true
	}
	return ended, wait
}

// shorterWait returns the smaller duration, where a negative one stands for never.
func shorterWait(a, b time.Duration) time.Duration {
	if a < 0 || (b >= 0 && b < a) {
		return b
	}
	return a
}

// decisionFleet returns the view as input for a decision.
func (v *fleetView) decisionFleet(ended map[jaybarrow.EntryID]bool) allotment.Fleet {
	return allotment.Fleet{Live: v.live, Ended: ended}
}
