package permit

import (
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/allotment"
	"github.com/jaybarrow/jaybarrow/internal/directory"
)

// holding is this entry host's part of one team's limit. In this process only the holding's own goroutine writes the record, so
// at most one call to the store is in progress for a team.
type holding struct {
	sync.Mutex
	id       jaybarrow.TeamID
	entry    jaybarrow.EntryID
	wake     chan struct{}
	settings Settings

	incarnation jaybarrow.Incarnation
	fenced      bool
	leaving     bool

	record     jaybarrow.Allotment
	revision   jaybarrow.Revision
	deleted    bool
	pending    pendingWrites
	quota      jaybarrow.Slots // from the record; below the grant while a lowered limit is not in force
	ceiling    jaybarrow.Slots // highest use that the last decision allows
	lastUsable jaybarrow.Slots // usable permits at the last call of updateLastUsable

	used     jaybarrow.Slots
	demand   demand
	usage    usageWindow
	gainedAt time.Time // when the grant last rose
	pacer    writePacer
}

// pendingWrites are the writes against the current revision whose outcome is unknown. At most one of them can take effect, and
// none once a newer revision of the record was seen.
type pendingWrites struct {
	outstanding   bool
	minGrant      jaybarrow.Slots    // smallest grant of this host in any of them
	needsReadBack bool               // the record must be read back before the next write
	lastChange    jaybarrow.ChangeID // id of the last write
}

// with returns p with one more write.
func (p pendingWrites) with(slots jaybarrow.Slots, change jaybarrow.ChangeID) pendingWrites {
	if p.outstanding {
		slots = min(slots, p.minGrant)
	}
	return pendingWrites{outstanding: true, minGrant: slots, needsReadBack: p.needsReadBack, lastChange: change}
}

// signal wakes the holding's goroutine.
func (h *holding) signal() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// granted returns this incarnation's grant in the newest known record.
func (h *holding) granted() jaybarrow.Slots {
	grant, ok := h.record.Grants[h.entry]
	if !ok || h.incarnation == 0 || grant.Incarnation != h.incarnation {
		return 0
	}
	return grant.Slots
}

// usable returns how many permits may be in use. While a write is pending, the smaller of the grants before and after it counts.
func (h *holding) usable() jaybarrow.Slots {
	if h.fenced {
		return 0
	}
	usable := min(h.granted(), h.quota, h.ceiling)
	if h.pending.outstanding {
		usable = min(usable, h.pending.minGrant)
	}
	return usable
}

// updateLastUsable stores the number of usable permits and reports whether it rose since the last call.
func (h *holding) updateLastUsable() bool {
	before := h.lastUsable
	h.lastUsable = h.usable()
	return h.lastUsable > before
}

// quarantined returns the grant of an older incarnation of this host, whose tasks may still be running.
func (h *holding) quarantined() jaybarrow.Slots {
	if grant := h.record.Grants[h.entry]; grant.Incarnation != h.incarnation {
		return grant.Slots
	}
	return 0
}

func (h *holding) tryAcquire(now time.Time, slots jaybarrow.Slots) bool {
	h.Lock()
	defer h.Unlock()
	if h.used+slots <= h.usable() {
		h.used += slots
		h.usage.observe(h.used)
		return true
	}
	if h.demand.recordRefusal(now, slots, h.record.Limit, h.granted()) {
		h.signal()
	}
	return false
}

// setWaiting records the scheduler's count of waiting slots. Each start changes the count, so only a large change wakes the loop.
func (h *holding) setWaiting(now time.Time, slots jaybarrow.Slots) {
	h.Lock()
	defer h.Unlock()
	if h.demand.setBacklog(now, slots, h.granted()) {
		h.signal()
	}
}

// release returns permits and reports whether the schedulers must be signalled because a start was refused.
func (h *holding) release(slots jaybarrow.Slots) bool {
	h.Lock()
	defer h.Unlock()
	h.used -= slots
	if h.leaving || min(h.ceiling, h.quota) < h.granted() {
		h.signal()
	}
	return h.demand.takeRefused()
}

// applyRecord replaces the record by a newer one, after which no pending write can take effect any more.
func (h *holding) applyRecord(now time.Time, v directory.Versioned[jaybarrow.Allotment]) {
	if v.Revision <= h.revision {
		return
	}
	before := h.granted()
	h.record, h.revision, h.deleted = v.Value, v.Revision, v.Deleted
	h.pending = pendingWrites{}
	if after := h.granted(); after > before {
		h.gainedAt = now
		h.demand.countGained(after - before)
	}
	h.quota = allotment.Quota(h.record, h.entry)
}

// decisionState returns this host's input for a decision.
func (h *holding) decisionState(now time.Time, olderTasksEnded bool) allotment.Self {
	self := allotment.Self{
		Entry: h.entry, Incarnation: h.incarnation, Used: h.used, RecentPeak: h.usage.peak(),
		RecentlyGained: now.Sub(h.gainedAt) < h.settings.MinHold, OlderTasksEnded: olderTasksEnded, Leaving: h.leaving,
	}
	if !h.leaving {
		self.Demand, self.LargestWaiting = h.demand.requested(h.granted(), h.used), h.demand.largestTask
	}
	return self
}
