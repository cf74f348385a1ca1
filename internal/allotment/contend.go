package allotment

import "github.com/jaybarrow/jaybarrow"

// decideContended handles a team for whose permits other hosts have unmet demand. Each host keeps its max-min fair share; a host
// whose grant does not cover even one task is served first, by the others in turn.
func (d *draft) decideContended() {
	total := d.reachablePermits()
	for i := range d.contenders {
		d.contenders[i].dropOversizedTask(total)
	}
	shares := divide(total, append(d.uncontendingClaims(), d.contenders...), byGrant)
	own := d.ownClaim()
	own.dropOversizedTask(total)
	goal := min(shares[own.id], own.need)
	preferred := d.nextStarved(own)
	if preferred == nil && own.starved() {
		goal = max(goal, own.largestTask)
	}
	if preferred == nil && own.largestTask > 0 {
		goal = max(goal, min(d.held, own.largestTask))
	}
	if own.largestTask > 0 || preferred == nil {
		d.raiseOwnGrant(min(own.need, max(goal, own.largestTask)))
	}
	if d.self.Demand > 0 {
		d.unmet = own.need - d.held
	}
	if !d.self.RecentlyGained {
		d.yieldPermits(max(goal, d.floor), preferred, shares)
	}
	if d.self.Demand == 0 && !d.self.RecentlyGained {
		d.returnIdle()
	}
}

// ownClaim returns the claim of the deciding host. Without demand it keeps some headroom above its use.
func (d *draft) ownClaim() claimant {
	c := claimant{id: d.self.Entry, granted: d.held, need: max(d.floor, d.self.Used+d.self.Demand)}
	if d.self.Demand > 0 {
		c.largestTask = max(1, d.self.LargestWaiting)
	} else {
		c.need = max(c.need, min(d.held, d.self.Used+slack(d.self.Used)))
	}
	return c
}

// uncontendingClaims returns the claims of the deciding host and of the usable holders without unmet demand.
func (d *draft) uncontendingClaims() []claimant {
	claims := []claimant{d.ownClaim()}
	for id, g := range d.next.Grants {
		if id != d.self.Entry && d.next.UnmetDemand[id] <= 0 && d.usable(id) {
			claims = append(claims, claimant{id: id, granted: g.Slots, need: g.Slots})
		}
	}
	return claims
}

// reachablePermits returns the part of the limit that is free or held by hosts that can give it away.
func (d *draft) reachablePermits() jaybarrow.Slots {
	left := d.next.Limit
	for id, g := range d.next.Grants {
		if id != d.self.Entry && !d.usable(id) {
			left -= g.Slots
		}
	}
	return left
}

// nextStarved returns the starved contender that is served first, or nil: the next one by id after the deciding host. When the
// deciding host is itself starved but holds permits, it is the starved host with the largest grant instead, and none when that is
// the deciding host; otherwise starved hosts could pass partial grants around for ever.
func (d *draft) nextStarved(own claimant) *claimant {
	var first *claimant
	largestHolder := &own
	for i := range d.contenders {
		c := &d.contenders[i]
		if !c.starved() {
			continue
		}
		if first == nil {
			first = c
		}
		if byGrant(*c, *largestHolder) < 0 {
			largestHolder = c
		}
	}
	switch {
	case first == nil || !own.starved() || own.granted == 0:
		return first
	case largestHolder == &own:
		return nil
	}
	return largestHolder
}

// yieldPermits transfers permits above keep to the contenders as they become idle, first what the preferred one needs to start a
// task, then up to the fair shares, and lowers the ceiling to what is kept. For a preferred contender, which is starved, the host
// goes below keep, so that hosts that compete for too few permits hold them in turn.
func (d *draft) yieldPermits(keep jaybarrow.Slots, preferred *claimant, shares map[jaybarrow.EntryID]jaybarrow.Slots) {
	deficits := make([]jaybarrow.Slots, len(d.contenders))
	var yielded jaybarrow.Slots
	preferredDeficit := jaybarrow.Slots(0)
	for i, c := range d.contenders {
		deficits[i] = max(0, shares[c.id]-c.granted)
		if preferred != nil && preferred.id == c.id {
			preferredDeficit = c.largestTask - c.granted
			deficits[i] = max(deficits[i], preferredDeficit)
		}
		yielded += deficits[i]
	}
	// The contenders take free permits themselves.
	yielded = max(0, min(yielded, max(d.held-keep, preferredDeficit))-d.freePermits())
	yielded = min(yielded, d.held)
	d.ceiling = min(d.ceiling, d.held-yielded)
	d.transferIdle(min(yielded, d.held-d.self.Used), preferred, deficits)
}

// transferIdle transfers up to n idle permits to the contenders.
func (d *draft) transferIdle(n jaybarrow.Slots, preferred *claimant, deficits []jaybarrow.Slots) {
	if n <= 0 {
		return
	}
	d.lowerOwnGrant(d.held - n)
	if preferred != nil {
		n -= d.raiseGrant(*preferred, min(n, preferred.largestTask-preferred.granted))
	}
	for i, c := range d.contenders {
		missing := deficits[i] - (d.next.Grants[c.id].Slots - c.granted)
		n -= d.raiseGrant(c, min(n, missing))
	}
}

// raiseGrant raises a contender's grant by n and lowers its unmet demand; it returns n, or 0 when n is not positive.
func (d *draft) raiseGrant(c claimant, n jaybarrow.Slots) jaybarrow.Slots {
	if n <= 0 {
		return 0
	}
	held := d.next.Grants[c.id].Slots
	d.next.Grants[c.id] = jaybarrow.Grant{Incarnation: d.fleet.Live[c.id], Slots: held + n}
	if d.next.UnmetDemand[c.id] -= n; d.next.UnmetDemand[c.id] <= 0 {
		delete(d.next.UnmetDemand, c.id)
		delete(d.next.LargestTask, c.id)
	}
	return n
}

// decideLeaving transfers idle permits to the contenders and frees the rest of them.
func (d *draft) decideLeaving() {
	d.ceiling = min(d.ceiling, d.self.Used)
	deficits := make([]jaybarrow.Slots, len(d.contenders))
	var total jaybarrow.Slots
	for i, c := range d.contenders {
		deficits[i] = c.need - c.granted
		total += deficits[i]
	}
	if InForce(d.next) {
		d.transferIdle(min(total, d.held-d.self.Used), nil, deficits)
	}
	d.lowerOwnGrant(d.self.Used)
	if d.held == 0 {
		d.changed = d.changed || d.old.UnmetDemand[d.self.Entry] > 0
		delete(d.next.Grants, d.self.Entry)
	}
}

// recordUnmetDemand records the host's unmet demand. Holders need only its scale, so a write is due only when the demand starts,
// ends or has another largest task, or when it more than doubles or falls below half by more than an eighth of the limit.
func (d *draft) recordUnmetDemand() {
	id := d.self.Entry
	unmet := min(max(0, d.unmet), d.next.Limit)
	largestTask := jaybarrow.Slots(0)
	if unmet > 0 && d.self.LargestWaiting > 1 {
		largestTask = d.self.LargestWaiting
	}
	before := d.old.UnmetDemand[id]
	if (before > 0) != (unmet > 0) || d.unmetDemandRescaled(before, unmet) || (unmet > 0 && largestTask != d.old.LargestTask[id]) {
		d.changed = true
	}
	delete(d.next.UnmetDemand, id)
	delete(d.next.LargestTask, id)
	if unmet > 0 {
		d.next.UnmetDemand[id] = unmet
	}
	if largestTask > 0 {
		d.next.LargestTask[id] = largestTask
	}
}

// unmetDemandRescaled reports whether the scale of the unmet demand changed.
func (d *draft) unmetDemandRescaled(before, unmet jaybarrow.Slots) bool {
	return (unmet > 2*before || 2*unmet < before) && max(unmet-before, before-unmet) > d.next.Limit/8
}
