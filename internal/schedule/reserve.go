package schedule

import (
	"math"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

const (
	// reserveWindow is the period over which the load of quick work is averaged; it is about as long as the targets of quick work.
	reserveWindow = 2 * time.Second
	// reserveHalfLife is the half-life of the peak load; a burst of quick work that follows another within about this time finds
	// free slots.
	reserveHalfLife = time.Minute
)

// reserve holds free slots for the quick work of each team: as many as the recent peak load of its quick work needs in addition
// to those in use. Without it, slow work fills all slots between two bursts, and the second one waits for minutes. The load is
// computed from arrivals, since starts do not show what had to wait. Each team's reserve is bounded by its share, so that a burst
// of one team cannot hold more slots than that.
type reserve struct {
	fraction  float64 // largest fraction of the pool's slots that is held; 0 for none
	teams     map[jaybarrow.TeamID]*teamReserve
	windowEnd time.Time // end of the current window
}

type teamReserve struct {
	share   jaybarrow.Share
	running jaybarrow.Slots // slots of running work that was allowed to use the reserve
	arrived time.Duration   // estimated slot time of the quick work that arrived in the current window
	peak    float64         // decaying peak of the load, in slots
}

func newReserve(fraction float64) *reserve {
	return &reserve{fraction: fraction, teams: make(map[jaybarrow.TeamID]*teamReserve)}
}

// team returns the reserve of the item's team, in the current window.
func (r *reserve) team(now time.Time, item jaybarrow.Item) *teamReserve {
	r.rotateWindow(now)
	t, ok := r.teams[item.Team]
	if !ok {
		t = &teamReserve{}
		r.teams[item.Team] = t
	}
	t.share = max(item.Share, minShare)
	return t
}

// countArrival adds an arriving item to the load, whether or not it is admitted.
func (r *reserve) countArrival(now time.Time, item jaybarrow.Item) {
	if item.Class == jaybarrow.ClassQuick && r.fraction > 0 {
		r.team(now, item).arrived += slotTime(item)
	}
}

// addRunning adds the slots of a started item that may use the reserve, or with the sign -1 subtracts those of a finished one.
func (r *reserve) addRunning(now time.Time, item jaybarrow.Item, sign jaybarrow.Slots) {
	if r.fraction > 0 {
		r.team(now, item).running += sign * item.Slots
	}
}

// rotateWindow starts a new window if the current one has ended, and updates the peaks.
func (r *reserve) rotateWindow(now time.Time) {
	if now.Before(r.windowEnd) {
		return
	}
	since := now.Sub(r.windowEnd)
	for id, t := range r.teams {
		load := t.arrived.Seconds() / reserveWindow.Seconds()
		t.peak = max(load*decay(since), t.peak*decay(since+reserveWindow))
		t.arrived = 0
		if t.running == 0 && t.peak < 0.5 {
			delete(r.teams, id)
		}
	}
	r.windowEnd = now.Add(reserveWindow)
}

// decay returns the fraction of a peak that remains after d.
func decay(d time.Duration) float64 { return math.Exp2(-d.Seconds() / reserveHalfLife.Seconds()) }

// held returns how many free slots are held for each team and in total.
func (r *reserve) held(now time.Time, poolSlots jaybarrow.Slots) (byTeam map[jaybarrow.TeamID]jaybarrow.Slots, heldTotal jaybarrow.Slots) {
	if r.fraction <= 0 {
		return nil, 0
	}
	r.rotateWindow(now)
	shares := jaybarrow.Share(0)
	for _, t := range r.teams {
		shares += t.share
	}
	byTeam = make(map[jaybarrow.TeamID]jaybarrow.Slots, len(r.teams))
	for id, t := range r.teams {
		maxHeld := jaybarrow.Slots(r.fraction * float64(poolSlots) * float64(t.share/shares))
		if unused := min(jaybarrow.Slots(math.Round(t.peak)), maxHeld) - t.running; unused > 0 {
			byTeam[id] = unused
			heldTotal += unused
		}
	}
	return byTeam, heldTotal
}

// mayUseReserve reports whether the item may use its team's reserve: quick work, and urgent slow work, which has to start now to
// meet its target. Slow work is urgent from a quarter of its estimate before its latest start until a quarter after it.
func mayUseReserve(now time.Time, item jaybarrow.Item) bool {
	if item.Class == jaybarrow.ClassQuick {
		return true
	}
	early, late := item.Target.Add(-item.Estimate*5/4), item.Target.Add(-item.Estimate*3/4)
	return !item.Target.IsZero() && !now.Before(early) && now.Before(late)
}
