package permit

import (
	"maps"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/allotment"
)

// fleetView is what the Keeper knows of the entry hosts and of itself; it is replaced as a whole.
type fleetView struct {
	live        map[jaybarrow.EntryID]jaybarrow.Incarnation
	incarnation jaybarrow.Incarnation
	fenced      bool
	changedAt   time.Time // when the live entry hosts last changed
	settledAt   time.Time // tasks of older incarnations have ended by then
}

// conditionsChanged returns a channel that is closed at the next change of the platform's list.
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
		next.settledAt = k.deps.Registration.RegisteredAt().Add(k.span)
		// The presence record may be missing for a moment, such as after an outage of the store.
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

// goneMargin is added to the longest run of a task before the permits of an ended host are reclaimed; it covers a task
// that was sent just before the host ended and reached its worker late.
const goneMargin = 2 * time.Second

// ended returns the record's holders that have ended with all of their tasks, and how long until the next one has; the
// duration is negative when there is none.
func (k *Keeper) ended(record jaybarrow.Allotment) (map[jaybarrow.EntryID]bool, time.Duration) {
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
		if left := k.span + goneMargin - since; left > 0 {
			wait = earlier(wait, left)
			continue
		}
		if ended == nil {
			ended = make(map[jaybarrow.EntryID]bool)
		}
		ended[id] = true
	}
	return ended, wait
}

// earlier returns the smaller duration; a negative one stands for never.
func earlier(a, b time.Duration) time.Duration {
	if a < 0 || (b >= 0 && b < a) {
		return b
	}
	return a
}

func (v *fleetView) fleet(ended map[jaybarrow.EntryID]bool) allotment.Fleet {
	return allotment.Fleet{Live: v.live, Ended: ended}
}
