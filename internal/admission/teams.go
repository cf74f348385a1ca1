package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// TeamLoad is what one team asks of a pool.
type TeamLoad struct {
	Share   jaybarrow.Share     // only the ratio between teams matters
	Used    jaybarrow.Resources // by running tasks that do not last
	Waiting jaybarrow.Work      // all waiting work, that of late jobs included
	// InTime and InTimeTasks are waiting jobs that can still meet their target, of the priority that is decided on.
	InTime      jaybarrow.Work
	InTimeTasks int
	// Submitted is the work that was lately submitted in a second, LargestJob the largest job's part of the work, and LargestPeak what the
	// largest accepted job uses at once.
	Submitted, LargestJob jaybarrow.Work
	LargestPeak           Amounts
}

// CongestedWait is the wait from which a pool counts as congested. Below it no job is refused, since no target is shorter.
const CongestedWait = 500 * time.Millisecond

// Division is how a congested pool is divided among its teams at one moment. The zero value limits no team. It is not safe for concurrent use.
//
// Load pattern: one to three of twenty teams send several times their usual load for some seconds while their queue asks for twice what its
// pool holds. Whoever sends most would be served most. Instead the pool is divided by weighted max-min fairness: a team that asks for no
// more than its share, or than what the others leave of the pool, gets it whole; the others are limited, and divide the rest by their
// shares. Jobs of limited teams are placed after those of the others, and admission counts on that order:
//
//   - A job of a team that is not limited waits for the jobs in time of all such teams.
//   - A job of a limited team waits for these too, for those that they are expected to submit until then, and for the work that the other
//     limited teams may do while its own team's is done by its part. The order of the pool gives its team that part.
//
// One job may exceed its team's share, since a job cannot be divided: the largest job of a team is not held against it.
type Division struct {
	loads   map[jaybarrow.TeamID]*TeamLoad
	limited map[jaybarrow.TeamID]float64 // part of the scarce resource that each limited team may use, in that resource's unit
	scarce  resource

	limitedShares jaybarrow.Share // sum
	rest          float64         // fraction of the pool that the teams which are not limited leave
	// Of the teams that are not limited: what waits, and that in time of the priority that is decided on.
	waiting, inTime jaybarrow.Work
	inTimeTasks     int
	urgent          jaybarrow.Work // in time, of more urgent queues and all teams
	urgentTasks     int
	unlimitedWait   time.Duration // until the jobs of the teams that are not limited have been placed
}

// resource is a kind of resource.
type resource int

const (
	processor resource = iota
	memory
	accelerator
	resources // their number
)

// Amounts are amounts of each resource that need not be whole numbers.
type Amounts [resources]float64

// AmountsOf returns the amounts of the resources.
func AmountsOf(a jaybarrow.Resources) Amounts {
	return Amounts{float64(a.CPU), float64(a.Memory), float64(a.Accelerators)}
}

func ofWork(w jaybarrow.Work, r resource) float64 {
	return [resources]float64{w.CPU, w.Memory, w.Accelerators}[r]
}

func ofResources(a jaybarrow.Resources, r resource) float64 {
	return AmountsOf(a)[r]
}

// demand returns how much of the resource the team asks for: what it submits, uses, or needs for its waiting work to be done without
// congestion.
func (l *TeamLoad) demand(r resource) float64 {
	return max(ofWork(l.Submitted, r), ofResources(l.Used, r), ofWork(l.Waiting, r)/CongestedWait.Seconds())
}

// excess returns the same without the team's largest job.
func (l *TeamLoad) excess(r resource) float64 {
	return max(ofWork(l.Submitted, r)-ofWork(l.LargestJob, r)/demandTime.Seconds(), ofResources(l.Used, r)-l.LargestPeak[r],
		(ofWork(l.Waiting, r)-ofWork(l.LargestJob, r))/CongestedWait.Seconds())
}

// minRest bounds the fraction of the pool that is taken to be left to the limited teams, against waits without an end.
const minRest = 0.01

// Divide divides the pool among the teams that have work waiting or running, or have lately submitted some. Teams without a positive
// share get the given least one. The result keeps the loads.
func Divide(l Load, loads map[jaybarrow.TeamID]*TeamLoad, leastShare jaybarrow.Share) Division {
	if len(loads) < 2 || l.Wait() <= CongestedWait {
		return Division{}
	}
	for _, t := range loads {
		if t.Share <= 0 {
			t.Share = leastShare
		}
		if t.Share <= 0 {
			t.Share = 1
		}
	}
	scarce, capacity, found := l.scarcest(loads)
	if !found {
		return Division{}
	}
	level := fairLevel(loads, scarce, capacity)
	d := Division{loads: loads, scarce: scarce, limited: make(map[jaybarrow.TeamID]float64), urgent: l.InTime, urgentTasks: l.InTimeTasks, rest: 1}
	for id, t := range loads {
		d.urgent, d.urgentTasks = d.urgent.Plus(t.InTime.Times(-1)), d.urgentTasks-t.InTimeTasks
		part := float64(t.Share) * level
		if t.excess(scarce) > part {
			d.limited[id] = part
			d.limitedShares += t.Share
			continue
		}
		d.waiting, d.inTime, d.inTimeTasks = d.waiting.Plus(t.Waiting), d.inTime.Plus(t.InTime), d.inTimeTasks+t.InTimeTasks
		d.rest -= min(t.demand(scarce), part) / capacity
	}
	d.rest = max(minRest, d.rest)
	if len(d.limited) == 0 {
		return Division{}
	}
	unlimited := l
	unlimited.InTime, unlimited.InTimeTasks, unlimited.InTimeAdvice = d.waiting, d.inTimeTasks, 0
	d.unlimitedWait = unlimited.InTimeWait()
	return d
}

// scarcest returns the resource of which the teams ask for the largest part of the capacity, and how much of it the pool can use; false
// when they ask for no more than there is. A pool whose tasks cannot start as fast as its workers could take them uses less.
func (l Load) scarcest(loads map[jaybarrow.TeamID]*TeamLoad) (scarce resource, capacity float64, found bool) {
	usable := 1.0
	if work, starts := l.waitFor(l.Waiting), l.startWait(l.Tasks); starts > work {
		usable = work.Seconds() / starts.Seconds()
	}
	most := 1.0
	for r := range resources {
		all := usable * ofResources(l.Capacity, r)
		if all <= 0 {
			continue
		}
		asked := 0.0
		for _, t := range loads {
			asked += t.demand(r)
		}
		if asked/all > most {
			most, scarce, capacity, found = asked/all, r, all, true
		}
	}
	return scarce, capacity, found
}

// fairLevel returns how much of the resource a team may use for each unit of its share when the capacity is less than the teams ask for.
func fairLevel(loads map[jaybarrow.TeamID]*TeamLoad, r resource, capacity float64) float64 {
	sorted := make([]*TeamLoad, 0, len(loads))
	shares := 0.0
	for _, t := range loads {
		sorted = append(sorted, t)
		shares += float64(t.Share)
	}
	slices.SortFunc(sorted, func(a, b *TeamLoad) int {
		return cmp.Compare(a.demand(r)/float64(a.Share), b.demand(r)/float64(b.Share))
	})
	for _, t := range sorted {
		if t.demand(r) > float64(t.Share)*capacity/shares {
			break
		}
		capacity -= t.demand(r)
		shares -= float64(t.Share)
	}
	return capacity / shares
}

// Divided reports whether a team is limited.
func (d *Division) Divided() bool { return len(d.limited) > 0 }

// Limited reports whether the team is limited to its part of the pool.
func (d *Division) Limited(team jaybarrow.TeamID) bool {
	_, limited := d.limited[team]
	return limited
}

// LimitedTeams yields the limited teams.
func (d *Division) LimitedTeams(yield func(jaybarrow.TeamID) bool) {
	for id := range d.limited {
		if !yield(id) {
			return
		}
	}
}

// The places of jobs among those of equal rank and priority; lower ones come first, and of one place those with the earlier target.
const (
	placeUrgent     = iota // of teams that are not limited
	placeWithinPart        // of limited teams that use no more than their part
	placeLast              // of limited teams beyond their part, and of the others while they have time
)

// urgentSlack is how much longer than for all jobs of the teams that are not limited one of them must be able to wait in order to leave its
// place to others. In replays of a target that leaves 960 ms, 500 ms cost these teams half a percent of their jobs; where none left its place,
// 1.6% fewer jobs in all were in time.
const urgentSlack = 600 * time.Millisecond

// Place returns the place of a job of the team, by what the team uses of the pool and by how much later the job could begin and still meet
// its target. A job that was promised its time, since its team was not limited when the job was first ordered in a divided pool, is
// placed as if the team were not limited now. While the jobs of a team that is not limited can wait for all such jobs and urgentSlack longer,
// they need not come before those of limited teams, which the pool would otherwise complete too late.
func (d *Division) Place(team jaybarrow.TeamID, promised bool, used jaybarrow.Resources, slack time.Duration) int {
	part, limited := d.limited[team]
	limited = limited && !promised
	switch {
	case !limited && slack <= d.unlimitedWait+urgentSlack:
		return placeUrgent
	case limited && ofResources(used, d.scarce) <= part:
		return placeWithinPart
	}
	return placeLast
}

// loadBefore returns the load as a job of the team meets it: InTime and Waiting come before the job or are its own team's. Where the team has
// only a part of the pool, the work is increased in place of a smaller capacity, since that is in whole numbers: a part of a few accelerators
// would be none.
func (d *Division) loadBefore(l Load, team jaybarrow.TeamID) Load {
	l.InTime, l.InTimeTasks, l.Waiting = d.urgent.Plus(d.inTime), d.urgentTasks+d.inTimeTasks, d.waiting
	if !d.Limited(team) {
		return l
	}
	own := d.loads[team]
	factor := float64(d.limitedShares / own.Share)
	l.InTime, l.Waiting = l.InTime.Plus(own.InTime.Times(factor)), l.Waiting.Plus(own.Waiting.Times(factor))
	l.InTimeTasks += int(factor * float64(own.InTimeTasks))
	l.InTime, l.Waiting, l.StartsPerSecond = l.InTime.Times(1/d.rest), l.Waiting.Times(1/d.rest), l.StartsPerSecond*d.rest
	return l
}

// Decide admits or refuses a job of the team; the gate is the team's own. The load is that of the pool, with the jobs admitted before. A
// job is admitted late by the pool's load, as without the division.
func (d *Division) Decide(g *Gate, team jaybarrow.TeamID, l Load, j Job, now time.Time) Decision {
	before := d.loadBefore(l, team)
	w := waits{inTime: before.InTimeWait(), backlog: max(before.waitFor(before.Waiting), before.Advice), all: l.Wait()}
	reason, own := ReasonPool, j.Work
	if d.Limited(team) {
		reason = ReasonTeam
		own = own.Times(float64(d.limitedShares/d.loads[team].Share) / d.rest)
	}
	// The job is admitted as soon as it would meet its target beside what its team has waiting, though the pool has more.
	w.free = min(w.all+j.CriticalPath-lateFactor*j.Target, max(w.inTime+j.CriticalPath-j.Target, w.backlog-maxBacklog))
	return g.decide(w, j, l.soonTakes(own), reason, now)
}

// Admitted counts a job of the team that was admitted since the loads were read.
func (d *Division) Admitted(team jaybarrow.TeamID, work jaybarrow.Work) {
	if !d.Divided() {
		return
	}
	own := d.loads[team]
	if own == nil {
		own = &TeamLoad{Share: 1}
		d.loads[team] = own
	}
	own.InTime, own.Waiting = own.InTime.Plus(work), own.Waiting.Plus(work)
	if !d.Limited(team) {
		d.inTime, d.waiting = d.inTime.Plus(work), d.waiting.Plus(work)
	}
}
