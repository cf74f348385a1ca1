package schedule

import (
	"math"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

const (
	// reserveWindow is the length over which the load of quick work is averaged; it is about as long as quick targets.
	reserveWindow = 2 * time.Second
	// reserveHalfLife is how fast the peak load is forgotten; bursts of quick work that follow each other within about this
	// time find their slots.
	reserveHalfLife = time.Minute
)

// reserve holds slots for the quick work of each team: other work leaves as many slots free as the peak load of the team's
// quick work needs above what it uses now. Otherwise slow work fills all slots between two bursts, and the second one waits
// for minutes. The load is taken from arrivals, since what was started says nothing of what had to wait. Each team's part is
// bounded by its share, so that a flood of quick work does not hold slots beyond it.
type reserve struct {
	fraction float64 // largest part of the pool's slots that is held; 0: none
	teams    map[jaybarrow.TeamID]*teamReserve
	until    time.Time // end of the current window
}

type teamReserve struct {
	share   jaybarrow.Share
	running jaybarrow.Slots // of work that was allowed to use the reserve
	arrived time.Duration   // estimated slot time that arrived in the current window
	peak    float64         // of the load in slots, decaying
}

func newReserve(fraction float64) *reserve {
	return &reserve{fraction: fraction, teams: make(map[jaybarrow.TeamID]*teamReserve)}
}

func (r *reserve) team(now time.Time, item jaybarrow.Item) *teamReserve {
	r.rotate(now)
	t, ok := r.teams[item.Team]
	if !ok {
		t = &teamReserve{}
		r.teams[item.Team] = t
	}
	t.share = max(item.Share, minShare)
	return t
}

// arrive counts an item that arrived, whether or not it is admitted.
func (r *reserve) arrive(now time.Time, item jaybarrow.Item) {
	if item.Class == jaybarrow.ClassQuick && r.fraction > 0 {
		r.team(now, item).arrived += work(item)
	}
}

// add counts the slots of an item that was started while it could use the reserve, or with the sign -1 those of a finished one.
func (r *reserve) add(now time.Time, item jaybarrow.Item, sign jaybarrow.Slots) {
	if r.fraction > 0 {
		r.team(now, item).running += sign * item.Slots
	}
}

func (r *reserve) rotate(now time.Time) {
	if now.Before(r.until) {
		return
	}
	since := now.Sub(r.until)
	for id, t := range r.teams {
		load := t.arrived.Seconds() / reserveWindow.Seconds()
		t.peak = max(load*decay(since), t.peak*decay(since+reserveWindow))
		t.arrived = 0
		if t.running == 0 && t.peak < 0.5 {
			delete(r.teams, id)
		}
	}
	r.until = now.Add(reserveWindow)
}

// decay is what remains of a peak after the time.
func decay(d time.Duration) float64 { return math.Exp2(-d.Seconds() / reserveHalfLife.Seconds()) }

// held returns how many free slots are held for each team and in total.
func (r *reserve) held(now time.Time, total jaybarrow.Slots) (byTeam map[jaybarrow.TeamID]jaybarrow.Slots, sum jaybarrow.Slots) {
	if r.fraction <= 0 {
		return nil, 0
	}
	r.rotate(now)
	shares := jaybarrow.Share(0)
	for _, t := range r.teams {
		shares += t.share
	}
	byTeam = make(map[jaybarrow.TeamID]jaybarrow.Slots, len(r.teams))
	for id, t := range r.teams {
		part := jaybarrow.Slots(r.fraction * float64(total) * float64(t.share/shares))
		if unused := min(jaybarrow.Slots(math.Round(t.peak)), part) - t.running; unused > 0 {
			byTeam[id] = unused
			sum += unused
		}
	}
	return byTeam, sum
}

// mayUse reports whether the item may use its team's reserve: quick work, and slow work that has to start now for its target.
func mayUse(now time.Time, item jaybarrow.Item) bool {
	if item.Class == jaybarrow.ClassQuick {
		return true
	}
	early, late := item.Target.Add(-item.Estimate*5/4), item.Target.Add(-item.Estimate*3/4)
	return !item.Target.IsZero() && !now.Before(early) && now.Before(late)
}
