package permit

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// demand is how many permits are wanted beyond those in use. The scheduler reports the waiting slots; while it does not, the
// estimate starts small and doubles each time it was met and starts are still refused.
type demand struct {
	lacking  bool
	lasting  bool // the lack lasted for the patience, so permits are asked for
	begun    time.Time
	renewed  bool // a start was refused since the last probe
	refused  bool // a start was refused since the last signal to the schedulers
	unit     jaybarrow.Slots
	estimate jaybarrow.Slots // wanted beyond the grant
	last     jaybarrow.Slots // estimate at the last refusal that began a lack
	met      time.Time
	probed   time.Time
	patience time.Duration
	reported bool // the scheduler reports the waiting slots, so that no estimate is needed
	backlog  jaybarrow.Slots
}

// demandMemory is how long after a lack was met a new lack counts as its continuation.
const demandMemory = time.Second

// fail records a refused start and reports whether this changes the demand. A host that holds permits asks for more only
// when the lack lasts, because most lacks end with one of its own tasks, and each move of permits costs several writes.
func (d *demand) fail(now time.Time, slots, limit, granted jaybarrow.Slots) bool {
	d.renewed, d.refused = true, true
	if limit > 0 && slots > limit {
		return false // never runnable under this limit; permits must not move for it
	}
	if d.lacking {
		raised := slots > d.unit || (!d.lasting && now.Sub(d.begun) >= d.wait(granted))
		d.unit, d.lasting = max(d.unit, slots), d.lasting || raised
		return raised
	}
	d.estimate = max(slots, limit/16)
	if now.Sub(d.met) < demandMemory {
		d.estimate = max(d.estimate, min(2*d.last, limit))
	}
	d.lacking, d.unit, d.last, d.probed, d.begun = true, slots, d.estimate, now, now
	d.lasting = granted < slots
	return true
}

// report takes the number of waiting slots; it reports whether the scale of the demand changed.
func (d *demand) report(now time.Time, slots, granted jaybarrow.Slots) bool {
	before := d.backlog
	d.reported, d.backlog = true, slots
	if slots > 0 {
		d.renewed = true
	}
	if !d.lacking || slots == 0 {
		return false
	}
	raised := !d.lasting && now.Sub(d.begun) >= d.wait(granted)
	d.lasting = d.lasting || raised
	return raised || slots > 2*before
}

// smallLack is how many times longer the patience is for a lack of less than the grant: the host's own tasks
// usually end it soon, and asking for a few permits costs as many writes as asking for many.
const smallLack = 10

// wait returns how long a lack must last before permits are asked for.
func (d *demand) wait(granted jaybarrow.Slots) time.Duration {
	if d.reported && d.backlog < granted {
		return smallLack * d.patience
	}
	return d.patience
}

// gain counts permits towards the estimate.
func (d *demand) gain(slots jaybarrow.Slots) { d.estimate = max(0, d.estimate-slots) }

// want returns the permits wanted beyond those in use, and ends the lack when the grant covers it.
func (d *demand) want(granted, used jaybarrow.Slots) jaybarrow.Slots {
	if !d.lacking || !d.lasting {
		return 0
	}
	return d.beyond(granted, used)
}

func (d *demand) beyond(granted, used jaybarrow.Slots) jaybarrow.Slots {
	if d.reported {
		return max(d.unit, d.backlog)
	}
	return max(d.unit, granted-used+d.estimate)
}

// settle ends the lack when the usable permits cover it.
func (d *demand) settle(now time.Time, usable, used jaybarrow.Slots) {
	met := d.estimate == 0
	if d.reported {
		met = usable-used >= d.backlog
	}
	if d.lacking && met && usable-used >= d.unit {
		d.lacking, d.unit, d.met = false, 0, now
	}
}

// nextProbe returns how long until the next probe.
func (d *demand) nextProbe(now time.Time, every time.Duration) time.Duration {
	if !d.lasting && d.probed.Equal(d.begun) {
		every = min(every, d.patience)
	}
	return max(0, every-now.Sub(d.probed))
}

// probe drops a lack that was not renewed; it reports whether the schedulers should try again, so that a lack that still
// exists is renewed.
func (d *demand) probe(now time.Time, every time.Duration) bool {
	if !d.lacking || d.nextProbe(now, every) > 0 {
		return false
	}
	d.probed = now
	if !d.renewed {
		d.lacking, d.unit, d.estimate, d.backlog = false, 0, 0, 0
		return false
	}
	d.renewed = false
	return true
}

// takeRefused reports whether a start was refused since it last returned true.
func (d *demand) takeRefused() bool {
	refused := d.refused
	d.refused = false
	return refused
}

// idleWindow measures the highest use over the current and the previous window.
type idleWindow struct {
	begun    time.Time
	current  jaybarrow.Slots
	previous jaybarrow.Slots
}

func (w *idleWindow) observe(used jaybarrow.Slots) { w.current = max(w.current, used) }

func (w *idleWindow) peak() jaybarrow.Slots { return max(w.current, w.previous) }

func (w *idleWindow) advance(now time.Time, length time.Duration, used jaybarrow.Slots) {
	if now.Sub(w.begun) >= length {
		w.previous, w.current, w.begun = w.current, used, now
	}
}
