package admission

import (
	"math"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

const (
	// demandTime is the time in which submitted work loses all but 1/e of its weight. Within a tenth of it, a team that sends several times its
	// usual load is seen as such; it is longer than the pauses between the jobs of a team that sends one a second.
	demandTime = 2 * time.Second
	// peakTime is the same for the largest job of a team: longer than most jobs run.
	peakTime = 10 * time.Second
	// demandMemory is how long a team is remembered that submits nothing; little is left of its demand by then.
	demandMemory = 5 * time.Second
	// maxTeams bounds the teams that are remembered: four times as many as the largest fleet has. Further teams count by what they have
	// waiting and running.
	maxTeams = 1024
)

// Demand holds how much work each team has lately submitted to a pool. It is not safe for concurrent use.
//
// Load pattern: teams that send several times their usual load for some seconds, in jobs of any size. Sums with exponentially decreasing
// weights cost the same for each job, however many there are.
type Demand struct {
	teams map[jaybarrow.TeamID]*teamDemand
}

// teamDemand is the demand of one team as of a time.
type teamDemand struct {
	at             time.Time
	rate           jaybarrow.Work // of all jobs in a second
	largest        jaybarrow.Work // of the largest job
	peak           Amounts        // that the largest accepted job uses at once
	peakAt, seenAt time.Time
}

// NewDemand returns an empty Demand.
func NewDemand() *Demand { return &Demand{teams: make(map[jaybarrow.TeamID]*teamDemand)} }

// Add counts a job that was submitted at a time that is not after now. The peak is what an accepted job uses at once; it is zero for a job
// that was refused.
func (d *Demand) Add(team jaybarrow.TeamID, work jaybarrow.Work, peak jaybarrow.Resources, submitted, now time.Time) {
	age := now.Sub(submitted)
	if age > demandMemory || !usable(work) {
		return
	}
	d.Note(team, now)
	t := d.of(team, now)
	if t == nil {
		return
	}
	left := work.Times(decay(age, demandTime))
	t.rate, t.largest = t.rate.Plus(left.Times(1/demandTime.Seconds())), mostWork(t.largest, left)
	before := t.peakLeft(now)
	if most := mostAmounts(before, AmountsOf(peak)); most != before {
		t.peak, t.peakAt = most, now
	}
}

// Note records that the team is there, and reports whether it was unknown.
func (d *Demand) Note(team jaybarrow.TeamID, now time.Time) bool {
	t := d.teams[team]
	unknown := t == nil
	if unknown {
		if len(d.teams) >= maxTeams {
			return false
		}
		t = &teamDemand{at: now}
		d.teams[team] = t
	}
	t.seenAt = now
	return unknown
}

// of returns what is known of a team; nil when nothing is.
func (d *Demand) of(team jaybarrow.TeamID, now time.Time) *teamDemand {
	t := d.teams[team]
	if t != nil {
		t.decay(now)
	}
	return t
}

// Fill sets what the teams have submitted in their loads, and adds the teams that have submitted something and have no load. It forgets
// the teams that have submitted nothing for demandMemory.
func (d *Demand) Fill(loads map[jaybarrow.TeamID]*TeamLoad, now time.Time) {
	for team := range d.teams {
		t := d.of(team, now)
		if now.Sub(t.seenAt) > demandMemory {
			delete(d.teams, team)
			continue
		}
		l := loads[team]
		if l == nil {
			l = new(TeamLoad)
			loads[team] = l
		}
		l.Submitted, l.LargestJob, l.LargestPeak = t.rate, t.largest, t.peakLeft(now)
	}
}

// Teams returns how many teams are remembered.
func (d *Demand) Teams() int { return len(d.teams) }

// decay reduces the weight of what was submitted before now.
func (t *teamDemand) decay(now time.Time) {
	if factor := decay(now.Sub(t.at), demandTime); factor < 1 {
		t.rate, t.largest, t.at = t.rate.Times(factor), t.largest.Times(factor), now
	}
}

// peakLeft returns the peak with its weight of now. It is no whole number, since a peak of one accelerator would be none at once.
func (t *teamDemand) peakLeft(now time.Time) Amounts {
	factor, out := decay(now.Sub(t.peakAt), peakTime), t.peak
	for r := range out {
		out[r] *= factor
	}
	return out
}

// decay returns the weight that is left after the time.
func decay(after, scale time.Duration) float64 {
	return math.Exp(-max(0, after).Seconds() / scale.Seconds())
}

// usable reports whether work is a possible amount; it comes from other processes.
func usable(w jaybarrow.Work) bool {
	for _, v := range [...]float64{w.CPU, w.Memory, w.Accelerators} {
		if !(v >= 0 && v < math.MaxInt64) {
			return false
		}
	}
	return true
}

// mostWork returns the larger amount of each resource.
func mostWork(a, b jaybarrow.Work) jaybarrow.Work {
	return jaybarrow.Work{CPU: max(a.CPU, b.CPU), Memory: max(a.Memory, b.Memory), Accelerators: max(a.Accelerators, b.Accelerators)}
}

// mostAmounts returns the larger amount of each resource.
func mostAmounts(a, b Amounts) Amounts {
	for r := range a {
		a[r] = max(a[r], b[r])
	}
	return a
}
