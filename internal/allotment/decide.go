package allotment

import (
	"maps"
	"slices"

	"github.com/jaybarrow/jaybarrow"
)

// Decide returns the change that the entry host makes to the record, if any. A change lowers only the host's own grant and those
// of ended hosts, and never raises the sum of the grants above the limit.
func Decide(record jaybarrow.Allotment, self Self, fleet Fleet) Decision {
	d := newDraft(record, self, fleet)
	d.reclaimEnded()
	if !d.adoptOwnGrant() {
		return d.decision()
	}
	d.applyQuota()
	d.grantInitialFloors()
	d.contenders = d.findContenders()
	switch {
	case self.Leaving:
		d.decideLeaving()
	case len(d.contenders) == 0:
		d.decideUncontended()
	default:
		d.decideContended()
	}
	d.recordUnmetDemand()
	return d.decision()
}

// draft is a record that is being changed.
type draft struct {
	self       Self
	fleet      Fleet
	old        jaybarrow.Allotment
	next       jaybarrow.Allotment
	held       jaybarrow.Slots // grant of the deciding host
	unmet      jaybarrow.Slots // unmet demand of the deciding host
	floor      jaybarrow.Slots
	ceiling    jaybarrow.Slots
	contenders []claimant // other hosts with unmet demand, in cyclic order of id after the deciding host
	changed    bool
}

func newDraft(record jaybarrow.Allotment, self Self, fleet Fleet) *draft {
	d := &draft{self: self, fleet: fleet, old: record, next: record}
	d.next.Grants, d.next.UnmetDemand, d.next.LargestTask = cloneOrMake(record.Grants), cloneOrMake(record.UnmetDemand), cloneOrMake(record.LargestTask)
	for id := range d.next.UnmetDemand {
		if _, live := fleet.Live[id]; !live && id != self.Entry {
			delete(d.next.UnmetDemand, id)
			delete(d.next.LargestTask, id)
		}
	}
	d.floor = Floor(record.Team, record.Limit, fleet.Live, self.Entry)
	return d
}

func cloneOrMake[V any](m map[jaybarrow.EntryID]V) map[jaybarrow.EntryID]V {
	if m == nil {
		return make(map[jaybarrow.EntryID]V)
	}
	return maps.Clone(m)
}

// reclaimEnded frees the grants of ended hosts. A registered host keeps its grant even if it is reported as ended.
func (d *draft) reclaimEnded() {
	for id, ended := range d.fleet.Ended {
		_, holds := d.next.Grants[id]
		_, live := d.fleet.Live[id]
		if ended && holds && !live && id != d.self.Entry {
			delete(d.next.Grants, id)
			d.changed = true
		}
	}
}

// adoptOwnGrant takes over the grant of an older incarnation of the host once its tasks have ended. It returns false when the
// grant is not usable: tasks of the older incarnation may still run, or a newer one has taken over.
func (d *draft) adoptOwnGrant() bool {
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
		d.storeOwnGrant()
	}
	return true
}

// applyQuota returns idle permits above the host's quota under a lowered limit and allows no starts above it.
func (d *draft) applyQuota() {
	if InForce(d.next) {
		return
	}
	quota := Quota(d.next, d.self.Entry)
	d.ceiling = min(d.held, quota)
	d.lowerOwnGrant(max(d.self.Used, quota))
}

// grantInitialFloors grants all live hosts their floors in one write when no host holds permits of the team. A host without a
// floor of its own does nothing; otherwise the floors would be granted again whenever a leaving host has emptied the record.
func (d *draft) grantInitialFloors() {
	if len(d.next.Grants) > 0 || d.self.Leaving || d.floor == 0 {
		return
	}
	for id, incarnation := range d.fleet.Live {
		floor := Floor(d.next.Team, d.next.Limit, d.fleet.Live, id)
		if id != d.self.Entry && floor > 0 {
			d.next.Grants[id] = jaybarrow.Grant{Incarnation: incarnation, Slots: floor}
		}
	}
	d.raiseOwnGrant(d.floor)
}

// lowerOwnGrant reduces the host's own grant to the given value.
func (d *draft) lowerOwnGrant(to jaybarrow.Slots) {
	if to < d.held {
		d.held = to
		d.changed = true
	}
	d.storeOwnGrant()
}

// raiseOwnGrant raises the host's own grant towards the goal as far as permits are free.
func (d *draft) raiseOwnGrant(goal jaybarrow.Slots) {
	if n := min(d.freePermits(), goal-d.held); n > 0 {
		d.held += n
		d.ceiling += n
		d.changed = true
		d.storeOwnGrant()
	}
}

func (d *draft) storeOwnGrant() {
	d.next.Grants[d.self.Entry] = jaybarrow.Grant{Incarnation: d.self.Incarnation, Slots: d.held}
}

// freePermits returns the part of the limit that no host holds.
func (d *draft) freePermits() jaybarrow.Slots { return max(0, d.next.Limit-Sum(d.next)) }

// findContenders returns the other live hosts with unmet demand. A host with a grant of an older incarnation is left out, because
// it cannot use permits yet.
func (d *draft) findContenders() []claimant {
	var contenders []claimant
	for id, unmet := range d.next.UnmetDemand {
		if id == d.self.Entry || unmet <= 0 || !d.usable(id) {
			continue
		}
		granted := d.next.Grants[id].Slots
		contenders = append(contenders, claimant{id: id, granted: granted, need: granted + unmet, largestTask: max(1, d.next.LargestTask[id])})
	}
	slices.SortFunc(contenders, func(a, b claimant) int {
		if after := boolToInt(b.id > d.self.Entry) - boolToInt(a.id > d.self.Entry); after != 0 {
			return after
		}
		return byID(a, b)
	})
	return contenders
}

// usable reports whether the host is live and can use its grant now.
func (d *draft) usable(id jaybarrow.EntryID) bool {
	incarnation, live := d.fleet.Live[id]
	grant := d.next.Grants[id]
	return live && (grant.Slots == 0 || grant.Incarnation == incarnation)
}

// decideUncontended handles a team for whose permits no other host has unmet demand.
func (d *draft) decideUncontended() {
	if d.self.Demand > 0 {
		need := max(d.floor, d.self.Used+d.self.Demand)
		d.raiseOwnGrant(need + slack(need))
		d.unmet = need - d.held
		return
	}
	// A floor is taken from free permits only. If it counted as unmet demand, hosts without work could pass the last permits
	// around for ever.
	d.raiseOwnGrant(d.floor)
	d.returnIdle()
}

// returnIdle frees the permits above the floor and recent use. Above the floor some headroom is kept, so that small changes in
// traffic do not return and regain permits all the time.
func (d *draft) returnIdle() {
	keep := max(d.self.Used, d.self.RecentPeak+slack(d.self.RecentPeak))
	if keep <= d.floor {
		d.lowerOwnGrant(max(d.self.Used, d.floor))
	} else if d.held-keep > slack(keep) {
		d.lowerOwnGrant(keep)
	}
}

func (d *draft) decision() Decision {
	return Decision{
		Next: d.next, Write: d.changed, Ceiling: d.ceiling, AboveFloor: d.held > d.floor, Contended: len(d.contenders) > 0, Urgency: d.urgency(),
	}
}

// urgency returns the priority of writing the draft.
func (d *draft) urgency() Urgency {
	before := d.old.Grants[d.self.Entry].Slots
	anyStarved := d.self.Demand > 0 && before < max(1, d.self.LargestWaiting)
	gives := false
	for _, c := range d.contenders {
		if d.next.Grants[c.id].Slots > c.granted {
			anyStarved = anyStarved || c.starved()
			gives = true
		}
	}
	switch {
	case anyStarved:
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
