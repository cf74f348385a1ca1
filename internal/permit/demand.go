package permit

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// demand tracks how many permits the host needs beyond those in use. Until the scheduler reports the waiting slots, the need is
// estimated: the estimate starts small and doubles each time it was met and starts are still refused.
type demand struct {
	unmet              bool // a start was refused, and the usable permits do not cover the demand yet
	sustained          bool // the demand was unmet for the delay, so permits are requested
	unmetSince         time.Time
	renewed            bool            // a start was refused, or waiting slots were reported, since the last probe
	refusedSinceSignal bool            // a start was refused since the schedulers were last signalled
	largestTask        jaybarrow.Slots // slots of the largest refused task
	estimate           jaybarrow.Slots // permits needed beyond the grant
	lastEstimate       jaybarrow.Slots // first estimate of the current or the last unmet demand
	metAt              time.Time
	probedAt           time.Time
	delay              time.Duration   // how long demand is unmet before permits are requested
	backlogKnown       bool            // the scheduler reports the waiting slots, so that no estimate is needed
	backlog            jaybarrow.Slots // waiting slots
}

// continuationWindow is how long after demand was met new unmet demand counts as its continuation.
const continuationWindow = time.Second

// recordRefusal records a refused start and reports whether the decision may change. A host that holds permits requests more
// only when demand stays unmet: mostly one of its own tasks ends first, and each transfer of permits costs several writes.
func (d *demand) recordRefusal(now time.Time, slots, limit, granted jaybarrow.Slots) bool {
	d.renewed, d.refusedSinceSignal = true, true
	if limit > 0 && slots > limit {
		return false // can never run under this limit; no permits may be transferred for it
	}
	if d.unmet {
		changed := slots > d.largestTask || (!d.sustained && now.Sub(d.unmetSince) >= d.requestDelay(granted))
		d.largestTask, d.sustained = max(d.largestTask, slots), d.sustained || changed
		return changed
	}
	d.estimate = max(slots, limit/16)
	if now.Sub(d.metAt) < continuationWindow {
		d.estimate = max(d.estimate, min(2*d.lastEstimate, limit))
	}
	d.unmet, d.largestTask, d.lastEstimate, d.probedAt, d.unmetSince = true, slots, d.estimate, now, now
	d.sustained = granted < slots
	return true
}

// setBacklog records the number of waiting slots and reports whether the decision may change.
func (d *demand) setBacklog(now time.Time, slots, granted jaybarrow.Slots) bool {
	previous := d.backlog
	d.backlogKnown, d.backlog = true, slots
	if slots > 0 {
		d.renewed = true
	}
	if !d.unmet || slots == 0 {
		return false
	}
	becameSustained := !d.sustained && now.Sub(d.unmetSince) >= d.requestDelay(granted)
	d.sustained = d.sustained || becameSustained
	return becameSustained || slots > 2*previous
}

// smallDemandFactor multiplies the delay for a backlog that is smaller than the grant: the host's own tasks usually free
// enough permits soon, and requesting a few permits costs as many writes as requesting many.
const smallDemandFactor = 10

// requestDelay returns how long demand must be unmet before permits are requested.
func (d *demand) requestDelay(granted jaybarrow.Slots) time.Duration {
	if d.backlogKnown && d.backlog < granted {
		return smallDemandFactor * d.delay
	}
	return d.delay
}

// countGained subtracts newly granted permits from the estimate.
func (d *demand) countGained(slots jaybarrow.Slots) { d.estimate = max(0, d.estimate-slots) }

// requested returns the permits to request beyond those in use, which are none before the demand was unmet for the delay.
func (d *demand) requested(granted, used jaybarrow.Slots) jaybarrow.Slots {
	if !d.unmet || !d.sustained {
		return 0
	}
	return d.size(granted, used)
}

// size returns the demand beyond the permits in use.
func (d *demand) size(granted, used jaybarrow.Slots) jaybarrow.Slots {
	if d.backlogKnown {
		return max(d.largestTask, d.backlog)
	}
	return max(d.largestTask, granted-used+d.estimate)
}

// endIfMet marks the demand as met when the usable permits cover it.
func (d *demand) endIfMet(now time.Time, usable, used jaybarrow.Slots) {
	met := d.estimate == 0
	if d.backlogKnown {
		met = usable-used >= d.backlog
	}
	if d.unmet && met && usable-used >= d.largestTask {
		d.unmet, d.largestTask, d.metAt = false, 0, now
	}
}

// untilProbe returns how long until the next probe.
func (d *demand) untilProbe(now time.Time, every time.Duration) time.Duration {
	if !d.sustained && d.probedAt.Equal(d.unmetSince) {
		every = min(every, d.delay)
	}
	return max(0, every-now.Sub(d.probedAt))
}

// probe drops demand that was not renewed since the last probe. It reports whether the schedulers should retry, which renews
// demand that still exists.
func (d *demand) probe(now time.Time, every time.Duration) bool {
	if !d.unmet || d.untilProbe(now, every) > 0 {
		return false
	}
	d.probedAt = now
	if !d.renewed {
		d.unmet, d.largestTask, d.estimate, d.backlog = false, 0, 0, 0
		return false
	}
	d.renewed = false
	return true
}

// takeRefused reports whether a start was refused since its last call.
func (d *demand) takeRefused() bool {
	refused := d.refusedSinceSignal
	d.refusedSinceSignal = false
	return refused
}

// usageWindow measures the highest use over the current and the previous window.
type usageWindow struct {
	startedAt time.Time
	current   jaybarrow.Slots
	previous  jaybarrow.Slots
}

func (w *usageWindow) observe(used jaybarrow.Slots) { w.current = max(w.current, used) }

func (w *usageWindow) peak() jaybarrow.Slots { return max(w.current, w.previous) }

// rotate starts a new window when the current one has ended.
func (w *usageWindow) rotate(now time.Time, length time.Duration, used jaybarrow.Slots) {
	if now.Sub(w.startedAt) >= length {
		w.previous, w.current, w.startedAt = w.current, used, now
	}
}
