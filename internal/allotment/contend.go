package allotment

import "github.com/jaybarrow/jaybarrow"

// contend handles a team whose permits others want too. Each host keeps its fair part by need; a host that cannot start
// even one task with its grant is served first, by the others in turn.
func (d *draft) contend() {
	total := d.reachable()
	for i := range d.rivals {
		d.rivals[i].bound(total)
	}
	parts := divide(total, append(d.rest(), d.rivals...), byHolding)
	own := d.own()
	own.bound(total)
	goal := min(parts[own.id], own.need)
	waiting := d.waiting(own)
	if waiting == nil && own.starved() {
		goal = max(goal, own.unit)
	}
	if waiting == nil && own.unit > 0 {
		goal = max(goal, min(d.held, own.unit))
	}
	if own.unit > 0 || waiting == nil {
		d.take(min(own.need, max(goal, own.unit)))
	}
	if d.self.Demand > 0 {
		d.want = own.need - d.held
	}
	if !d.self.RecentlyGained {
		d.giveUp(max(goal, d.floor), waiting, parts)
	}
	if d.self.Demand == 0 && !d.self.RecentlyGained {
		d.returnIdle()
	}
}

// own returns the entry host's own claim. A host without demand keeps a little more than it uses.
func (d *draft) own() claimant {
	c := claimant{id: d.self.Entry, have: d.held, need: max(d.floor, d.self.Used+d.self.Demand)}
	if d.self.Demand > 0 {
		c.unit = max(1, d.self.LargestWaiting)
	} else {
		c.need = max(c.need, min(d.held, d.self.Used+slack(d.self.Used)))
	}
	return c
}

// rest returns the claims of the entry host itself and of the usable holders without wants.
func (d *draft) rest() []claimant {
	claims := []claimant{d.own()}
	for id, g := range d.next.Grants {
		if id != d.self.Entry && d.next.UnmetDemand[id] <= 0 && d.usable(id) {
			claims = append(claims, claimant{id: id, have: g.Slots, need: g.Slots})
		}
	}
	return claims
}

// reachable returns the part of the limit that is not held by hosts that cannot give it away.
func (d *draft) reachable() jaybarrow.Slots {
	left := d.next.Limit
	for id, g := range d.next.Grants {
		if id != d.self.Entry && !d.usable(id) {
			left -= g.Slots
		}
	}
	return left
}

// waiting returns the starved rival that is served first, the next one after the entry host. Starved holders that each have
// too little for a task pass it to the one with most, which itself waits; otherwise partial grants could follow each other
// around for ever.
func (d *draft) waiting(own claimant) *claimant {
	var first *claimant
	leader := &own
	for i := range d.rivals {
		r := &d.rivals[i]
		if !r.starved() {
			continue
		}
		if first == nil {
			first = r
		}
		if byHolding(*r, *leader) < 0 {
			leader = r
		}
	}
	switch {
	case first == nil || !own.starved() || own.have == 0:
		return first
	case leader == &own:
		return nil
	}
	return leader
}

// giveUp passes permits above keep to the rivals as they become idle, first what a starved rival lacks, then up to the fair
// parts, and lowers the ceiling to what is kept. For a starved rival the entry host goes below keep, so that the hosts that
// compete for fewer permits than they need hold them in turn.
func (d *draft) giveUp(keep jaybarrow.Slots, waiting *claimant, parts map[jaybarrow.EntryID]jaybarrow.Slots) {
	deficits := make([]jaybarrow.Slots, len(d.rivals))
	var wish jaybarrow.Slots
	lack := jaybarrow.Slots(0)
	for i, r := range d.rivals {
		deficits[i] = max(0, parts[r.id]-r.have)
		if waiting != nil && waiting.id == r.id {
			lack = r.unit - r.have
			deficits[i] = max(deficits[i], lack)
		}
		wish += deficits[i]
	}
	// What is free is taken by the rivals themselves.
	wish = max(0, min(wish, max(d.held-keep, lack))-d.free())
	wish = min(wish, d.held)
	d.ceiling = min(d.ceiling, d.held-wish)
	d.pass(min(wish, d.held-d.self.Used), waiting, deficits)
}

// pass moves up to n idle permits to the rivals.
func (d *draft) pass(n jaybarrow.Slots, waiting *claimant, deficits []jaybarrow.Slots) {
	if n <= 0 {
		return
	}
	d.lower(d.held - n)
	if waiting != nil {
		n -= d.grant(*waiting, min(n, waiting.unit-waiting.have))
	}
	for i, r := range d.rivals {
		missing := deficits[i] - (d.next.Grants[r.id].Slots - r.have)
		n -= d.grant(r, min(n, missing))
	}
}

// grant raises a rival's grant and lowers its want; it returns n.
func (d *draft) grant(r claimant, n jaybarrow.Slots) jaybarrow.Slots {
	if n <= 0 {
		return 0
	}
	held := d.next.Grants[r.id].Slots
	d.next.Grants[r.id] = jaybarrow.Grant{Incarnation: d.fleet.Live[r.id], Slots: held + n}
	if d.next.UnmetDemand[r.id] -= n; d.next.UnmetDemand[r.id] <= 0 {
		delete(d.next.UnmetDemand, r.id)
		delete(d.next.LargestTask, r.id)
	}
	return n
}

// leave gives everything idle to the rivals and frees the rest.
func (d *draft) leave() {
	d.ceiling = min(d.ceiling, d.self.Used)
	deficits := make([]jaybarrow.Slots, len(d.rivals))
	var total jaybarrow.Slots
	for i, r := range d.rivals {
		deficits[i] = r.need - r.have
		total += deficits[i]
	}
	if InForce(d.next) {
		d.pass(min(total, d.held-d.self.Used), nil, deficits)
	}
	d.lower(d.self.Used)
	if d.held == 0 {
		d.changed = d.changed || d.old.UnmetDemand[d.self.Entry] > 0
		delete(d.next.Grants, d.self.Entry)
	}
}

// writeWant records the want. Holders only need its scale, so a want is left as it is while it changed by less than half, or
// by no more than an eighth of the limit.
func (d *draft) writeWant() {
	id := d.self.Entry
	want := min(max(0, d.want), d.next.Limit)
	unit := jaybarrow.Slots(0)
	if want > 0 && d.self.LargestWaiting > 1 {
		unit = d.self.LargestWaiting
	}
	before := d.old.UnmetDemand[id]
	if (before > 0) != (want > 0) || d.rescaled(before, want) || (want > 0 && unit != d.old.LargestTask[id]) {
		d.changed = true
	}
	delete(d.next.UnmetDemand, id)
	delete(d.next.LargestTask, id)
	if want > 0 {
		d.next.UnmetDemand[id] = want
	}
	if unit > 0 {
		d.next.LargestTask[id] = unit
	}
}

func (d *draft) rescaled(before, want jaybarrow.Slots) bool {
	return (want > 2*before || 2*want < before) && max(want-before, before-want) > d.next.Limit/8
}
