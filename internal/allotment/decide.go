package allotment

import (
	"maps"
	"slices"

	"github.com/jaybarrow/jaybarrow"
)

// Decide returns the change that the entry host makes to the record, if any. A change lowers only the entry host's own
// grant and those of ended hosts, and never raises the sum of the grants above the limit.
func Decide(record jaybarrow.Allotment, self Self, fleet Fleet) Decision {
	d := newDraft(record, self, fleet)
	d.reclaim()
	if !d.stamp() {
		return d.decision()
	}
	d.shed()
	d.found()
	d.rivals = d.findRivals()
	switch {
	case self.Leaving:
		d.leave()
	case len(d.rivals) == 0:
		d.alone()
	default:
		d.contend()
	}
	d.writeWant()
	return d.decision()
}

// draft is a record that is being changed.
type draft struct {
	self    Self
	fleet   Fleet
	old     jaybarrow.Allotment
	next    jaybarrow.Allotment
	held    jaybarrow.Slots // own grant
	want    jaybarrow.Slots
	floor   jaybarrow.Slots
	ceiling jaybarrow.Slots
	rivals  []claimant // others with wants, in cyclic order of id after the entry host
	changed bool
}

func newDraft(record jaybarrow.Allotment, self Self, fleet Fleet) *draft {
	d := &draft{self: self, fleet: fleet, old: record, next: record}
	d.next.Grants, d.next.UnmetDemand, d.next.LargestTask = clone(record.Grants), clone(record.UnmetDemand), clone(record.LargestTask)
	for id := range d.next.UnmetDemand {
		if _, live := fleet.Live[id]; !live && id != self.Entry {
			delete(d.next.UnmetDemand, id)
			delete(d.next.LargestTask, id)
		}
	}
	d.floor = Floor(record.Team, record.Limit, fleet.Live, self.Entry)
	return d
}

func clone[V any](m map[jaybarrow.EntryID]V) map[jaybarrow.EntryID]V {
	if m == nil {
		return make(map[jaybarrow.EntryID]V)
	}
	return maps.Clone(m)
}

// reclaim frees the grants of ended hosts. A registered host is left alone even if its id is said to have ended.
func (d *draft) reclaim() {
	for id, ended := range d.fleet.Ended {
		_, holds := d.next.Grants[id]
		_, live := d.fleet.Live[id]
		if ended && holds && !live && id != d.self.Entry {
			delete(d.next.Grants, id)
			d.changed = true
		}
	}
}

// stamp takes over the grant of an older incarnation once its tasks have ended; it returns false when the grant is not
// usable: the older tasks may still run, or a newer incarnation has taken over.
func (d *draft) stamp() bool {
	grant := d.next.Grants[d.self.Entry]
	switch {
	case d.self.Incarnation == 0 || grant.Incarnation > d.self.Incarnation:
		return false
	case grant.Incarnation < d.self.Incarnation && grant.Slots > 0:
		if !d.self.OlderTasksEnded {
			return false
		}
		d.changed = true
	}
	d.held, d.ceiling = grant.Slots, grant.Slots
	if d.changed && d.held > 0 {
		d.store()
	}
	return true
}

// shed gives back idle permits above the entry host's part of a lowered limit and stops starts above that part.
func (d *draft) shed() {
	if InForce(d.next) {
		return
	}
	part := Quota(d.next, d.self.Entry)
	d.ceiling = min(d.held, part)
	d.lower(max(d.self.Used, part))
}

// found divides the floors of a team that nobody holds permits of, for all live hosts in one write. It requires that the own
// floor is not 0, because a record that stays empty would be divided again after each host that leaves.
func (d *draft) found() {
	if len(d.next.Grants) > 0 || d.self.Leaving || d.floor == 0 {
		return
	}
	for id, incarnation := range d.fleet.Live {
		floor := Floor(d.next.Team, d.next.Limit, d.fleet.Live, id)
		if id != d.self.Entry && floor > 0 {
			d.next.Grants[id] = jaybarrow.Grant{Incarnation: incarnation, Slots: floor}
		}
	}
	d.take(d.floor)
}

// lower reduces the own grant to the given value.
func (d *draft) lower(to jaybarrow.Slots) {
	if to < d.held {
		d.held = to
		d.changed = true
	}
	d.store()
}

// take raises the own grant from free permits towards the goal.
func (d *draft) take(goal jaybarrow.Slots) {
	if n := min(d.free(), goal-d.held); n > 0 {
		d.held += n
		d.ceiling += n
		d.changed = true
		d.store()
	}
}

func (d *draft) store() {
	d.next.Grants[d.self.Entry] = jaybarrow.Grant{Incarnation: d.self.Incarnation, Slots: d.held}
}

func (d *draft) free() jaybarrow.Slots { return max(0, d.next.Limit-Sum(d.next)) }

// findRivals returns the live hosts that want permits. A host with a grant of an older incarnation is left out, because it
// cannot use permits yet.
func (d *draft) findRivals() []claimant {
	var rivals []claimant
	for id, want := range d.next.UnmetDemand {
		if id == d.self.Entry || want <= 0 || !d.usable(id) {
			continue
		}
		have := d.next.Grants[id].Slots
		rivals = append(rivals, claimant{id: id, have: have, need: have + want, unit: max(1, d.next.LargestTask[id])})
	}
	slices.SortFunc(rivals, func(a, b claimant) int {
		if after := btoi(b.id > d.self.Entry) - btoi(a.id > d.self.Entry); after != 0 {
			return after
		}
		return byID(a, b)
	})
	return rivals
}

// usable reports whether the host is live and can use its grant now.
func (d *draft) usable(id jaybarrow.EntryID) bool {
	incarnation, live := d.fleet.Live[id]
	grant := d.next.Grants[id]
	return live && (grant.Slots == 0 || grant.Incarnation == incarnation)
}

// alone handles a team whose permits nobody else wants.
func (d *draft) alone() {
	if d.self.Demand > 0 {
		need := max(d.floor, d.self.Used+d.self.Demand)
		d.take(need + slack(need))
		d.want = need - d.held
		return
	}
	// A floor is taken from free permits only. If it were wanted from others, hosts without demand could pass the last
	// permits around for ever.
	d.take(d.floor)
	d.returnIdle()
}

// returnIdle frees the permits above the floor and recent use. Above the floor a small surplus is kept, so that traffic
// that varies a little around its mean does not return and regain permits all the time.
func (d *draft) returnIdle() {
	keep := max(d.self.Used, d.self.RecentPeak+slack(d.self.RecentPeak))
	if keep <= d.floor {
		d.lower(max(d.self.Used, d.floor))
	} else if d.held-keep > slack(keep) {
		d.lower(keep)
	}
}

func (d *draft) decision() Decision {
	return Decision{
		Next: d.next, Write: d.changed, Ceiling: d.ceiling, AboveFloor: d.held > d.floor, Contended: len(d.rivals) > 0, Urgency: d.urgency(),
	}
}

func (d *draft) urgency() Urgency {
	before := d.old.Grants[d.self.Entry].Slots
	own := d.self.Demand > 0 && before < max(1, d.self.LargestWaiting)
	gives := false
	for _, r := range d.rivals {
		if d.next.Grants[r.id].Slots > r.have {
			own = own || r.starved()
			gives = true
		}
	}
	switch {
	case own:
		return UrgencyStarved
	case gives || d.self.Leaving || !InForce(d.old):
		return UrgencyDemand
	case d.self.Demand == 0 || (d.held <= before && d.next.UnmetDemand[d.self.Entry] <= d.old.UnmetDemand[d.self.Entry]):
		return UrgencyIdle
	case d.self.Demand >= before:
		return UrgencyDemand
	}
	return UrgencyMinor
}
