package schedule

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// reserveWindow is the length of each of the two windows over which the peak of quick work is taken; a burst of quick work
// that returns within them finds its slots.
const reserveWindow = 5 * time.Second

// reserve holds slots for quick work: slow work leaves as many slots free as quick work recently used above what it
// uses now. Otherwise each lull of quick work of a second would fill its slots with slow work for minutes.
type reserve struct {
	fraction float64 // largest part of the pool's slots that is held; 0: none
	running  jaybarrow.Slots
	peak     jaybarrow.Slots // in the current window
	previous jaybarrow.Slots // in the window before
	until    time.Time       // end of the current window
}

func (r *reserve) add(now time.Time, item jaybarrow.Item, sign jaybarrow.Slots) {
	if item.Class != jaybarrow.ClassQuick {
		return
	}
	r.rotate(now)
	r.running += sign * item.Slots
	r.peak = max(r.peak, r.running)
}

func (r *reserve) rotate(now time.Time) {
	if now.Before(r.until) {
		return
	}
	r.previous = r.peak
	if !now.Before(r.until.Add(reserveWindow)) {
		r.previous = r.running
	}
	r.peak, r.until = r.running, now.Add(reserveWindow)
}

// held is how many free slots slow work has to leave.
func (r *reserve) held(now time.Time, total jaybarrow.Slots) jaybarrow.Slots {
	r.rotate(now)
	limit := jaybarrow.Slots(r.fraction * float64(total))
	return min(max(r.peak, r.previous)-r.running, limit)
}

// mayUse reports whether the item may use the reserve: quick work, and slow work that has to start now for its target.
func mayUse(now time.Time, item jaybarrow.Item) bool {
	if item.Class == jaybarrow.ClassQuick {
		return true
	}
	early, late := item.Target.Add(-item.Estimate*5/4), item.Target.Add(-item.Estimate*3/4)
	return !item.Target.IsZero() && !now.Before(early) && now.Before(late)
}
