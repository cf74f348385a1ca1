package permit

import (
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/allotment"
	"github.com/jaybarrow/jaybarrow/internal/directory"
)

// holding is this entry host's part of one team's limit. Its loop is the only one that writes the record, so at most one
// call to the store is under way for a team.
type holding struct {
	sync.Mutex
	id     jaybarrow.TeamID
	entry  jaybarrow.EntryID
	wake   chan struct{}
	limits Settings

	incarnation jaybarrow.Incarnation
	fenced      bool
	leaving     bool

	record   jaybarrow.Allotment
	revision jaybarrow.Revision
	deleted  bool
	pending  pendingWrites
	part     jaybarrow.Slots // of a lowered limit, from the record
	ceiling  jaybarrow.Slots // from the last decision
	seen     jaybarrow.Slots // usable permits at the last step

	used   jaybarrow.Slots
	demand demand
	idle   idleWindow
	gained time.Time // when the grant last rose
	retry  retry
}

// pendingWrites are the writes from the current revision whose outcome is unknown. At most one of them can take effect, and
// none after a newer revision of the record was seen.
type pendingWrites struct {
	open   bool
	least  jaybarrow.Slots    // smallest own grant in any of them
	read   bool               // the record must be read back before the next write
	change jaybarrow.ChangeID // of the last one
}

func (p pendingWrites) with(slots jaybarrow.Slots, change jaybarrow.ChangeID) pendingWrites {
	if p.open {
		slots = min(slots, p.least)
	}
	return pendingWrites{open: true, least: slots, read: p.read, change: change}
}

func (h *holding) signal() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// granted returns the own grant in the newest known record; a grant of another incarnation does not count.
func (h *holding) granted() jaybarrow.Slots {
	grant, ok := h.record.Grants[h.entry]
	if !ok || h.incarnation == 0 || grant.Incarnation != h.incarnation {
		return 0
	}
	return grant.Slots
}

// usable returns how many permits may be in use. A grant that a pending write lowers counts as lowered, and one that it
// raises as not yet raised.
func (h *holding) usable() jaybarrow.Slots {
	if h.fenced {
		return 0
	}
	usable := min(h.granted(), h.part, h.ceiling)
	if h.pending.open {
		usable = min(usable, h.pending.least)
	}
	return usable
}

// usableRose reports whether more permits are usable than at the last call.
func (h *holding) usableRose() bool {
	before := h.seen
	h.seen = h.usable()
	return h.seen > before
}

// quarantined returns the grant of an older incarnation, whose tasks may still run.
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
		h.idle.observe(h.used)
		return true
	}
	if h.demand.fail(now, slots, h.record.Limit, h.granted()) {
		h.signal()
	}
	return false
}

// waiting takes the scheduler's count of waiting slots. Only a change of scale wakes the loop, as each start changes the count.
func (h *holding) waiting(now time.Time, slots jaybarrow.Slots) {
	h.Lock()
	defer h.Unlock()
	if h.demand.report(now, slots, h.granted()) {
		h.signal()
	}
}

// release returns permits and reports whether a start was refused since the last call that returned true.
func (h *holding) release(slots jaybarrow.Slots) bool {
	h.Lock()
	defer h.Unlock()
	h.used -= slots
	if h.leaving || min(h.ceiling, h.part) < h.granted() {
		h.signal()
	}
	return h.demand.takeRefused()
}

// observe takes a newer record; it settles the pending writes.
func (h *holding) observe(now time.Time, v directory.Versioned[jaybarrow.Allotment]) {
	if v.Revision <= h.revision {
		return
	}
	before := h.granted()
	h.record, h.revision, h.deleted = v.Value, v.Revision, v.Deleted
	h.pending = pendingWrites{}
	if after := h.granted(); after > before {
		h.gained = now
		h.demand.gain(after - before)
	}
	h.part = allotment.Quota(h.record, h.entry)
}

// self returns the state for a decision.
func (h *holding) self(now time.Time, settled bool) allotment.Self {
	self := allotment.Self{
		Entry: h.entry, Incarnation: h.incarnation, Used: h.used, RecentPeak: h.idle.peak(),
		RecentlyGained: now.Sub(h.gained) < h.limits.MinHold, OlderTasksEnded: settled, Leaving: h.leaving,
	}
	if !h.leaving {
		self.Demand, self.LargestWaiting = h.demand.want(h.granted(), h.used), h.demand.unit
	}
	return self
}
