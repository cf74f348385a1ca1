package workload

import (
	"cmp"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// placeWaiting assigns tasks of the waiting jobs to workers, in the order of the jobs.
func (p *Pool) placeWaiting(waiting []*job, now time.Time) {
	if len(waiting) == 0 {
		p.noteHeldRoom(0, 0, now)
		return
	}
	candidates := make([]*worker, 0, len(p.workers))
	for _, w := range p.sortedWorkers() {
		if w.usable(now, p.settings.ReportGrace) {
			candidates = append(candidates, w)
		}
	}
	if len(candidates) == 0 {
		return
	}
	room := room{largest: largestFree(candidates)}
	held := p.roomForStopping(candidates, now)
	usable := len(candidates)
	defer func() { p.noteHeldRoom(len(held.workers), usable, now) }()
	holding := true
	for _, j := range waiting {
		if holding && j.order.rank != rankLasting {
			holding = false
			candidates = held.without(candidates)
			room.largest = largestFree(candidates)
		}
		if !p.placeJob(j, candidates, held, &room, now) {
			p.placementsDue = true
			return
		}
	}
}

// placeJob assigns tasks of the job, of one occurrence after the other; it returns false once too many runs wait for their start orders.
func (p *Pool) placeJob(j *job, candidates []*worker, held *heldRoom, room *room, now time.Time) bool {
	if len(j.open) == 0 {
		p.openDue(j, now)
	}
	for n := 0; n < len(j.open); n++ {
		for _, s := range j.open[n].steps {
			if len(p.planned) >= p.maxUnsent {
				return false
			}
			if s.unassigned == 0 || !s.ready(now) || !s.mayHaveTicket(now) {
				continue
			}
			if room.mayFit(s.demand()) {
				p.placeStep(s, candidates, room, now)
			}
			if j.order.rank == rankLasting && s.unassigned > 0 {
				p.holdRoom(s, candidates, held, now)
			}
		}
		if n == len(j.open)-1 && j.beginsWithin(room) {
			p.openDue(j, now)
		}
	}
	return true
}

// room is what is known about the free capacity of a pool's workers during one placement. Under overload most waiting steps are refused
// by it, without a look at each worker.
type room struct {
	largest jaybarrow.Resources   // the largest free amount of each resource on any worker
	tooMuch []jaybarrow.Resources // demands for which no worker has room
}

// mayFit reports whether a worker may have room for the demand.
func (r *room) mayFit(demand jaybarrow.Resources) bool {
	return demand.FitsIn(r.largest) && !slices.ContainsFunc(r.tooMuch, func(refused jaybarrow.Resources) bool { return refused.FitsIn(demand) })
}

// refuse records a demand for which no worker has room.
func (r *room) refuse(demand jaybarrow.Resources) {
	r.tooMuch = append(slices.DeleteFunc(r.tooMuch, func(refused jaybarrow.Resources) bool { return demand.FitsIn(refused) }), demand)
}

// largestFree returns the largest free amount of each resource on any worker; a demand that exceeds it fits nowhere.
func largestFree(candidates []*worker) jaybarrow.Resources {
	var out jaybarrow.Resources
	for _, w := range candidates {
		f := w.free()
		out.CPU, out.Memory, out.Accelerators = max(out.CPU, f.CPU), max(out.Memory, f.Memory), max(out.Accelerators, f.Accelerators)
	}
	return out
}

// beginsWithin reports whether a worker may have room for the first task of another occurrence.
func (j *job) beginsWithin(r *room) bool {
	return slices.ContainsFunc(j.spec.Steps, func(s jaybarrow.Step) bool { return len(s.After) == 0 && r.mayFit(demandOf(&s)) })
}

// demand returns the resources that a task of the step uses on a worker.
func (s *step) demand() jaybarrow.Resources { return demandOf(s.spec) }

// demandOf returns the resources that a task of the step uses on a worker.
func demandOf(s *jaybarrow.Step) jaybarrow.Resources {
	demand := s.Demand
	if s.Background {
		demand.CPU = 0
	}
	return demand
}

// needsRoomOnly reports whether free capacity is all that a worker needs for the step's tasks.
func (s *step) needsRoomOnly() bool {
	return s.spec.Requires == "" && s.spec.MaxPerWorker == 0 && s.job.policy.Advice == nil
}

// waitingJobs returns the jobs with tasks to start: first lasting jobs, then those that can still meet their target; within a
// rank those of more urgent queues, then those of teams within their share, then by target time.
func (p *Pool) waitingJobs(now time.Time) []*job {
	waiting := make([]*job, 0, len(p.waiting))
	for j := range p.waiting {
		if j.state.Ended() || !j.hasUnassigned(now) {
			delete(p.waiting, j)
			p.addDue(j)
			continue
		}
		waiting = append(waiting, j)
	}
	p.order(waiting, now)
	return waiting
}

// order sorts the jobs. While admission limits teams to their parts of the pool, the order is the one that admission counts on for the job's
// priority.
func (p *Pool) order(waiting []*job, now time.Time) {
	delay := p.dispatchDelay
	var overShare map[jaybarrow.TeamID]int
	if slices.ContainsFunc(waiting, func(j *job) bool { return p.divisions[j.policy.Priority] == nil }) {
		overShare = p.teamsOverShare(waiting)
	}
	var used map[jaybarrow.TeamID]jaybarrow.Resources
	if len(p.divisions) > 0 {
		used = p.usedByTeam()
	}
	for _, j := range waiting {
		j.order = placementOrder{rank: j.rank(now, delay), priority: j.policy.Priority, overShare: overShare[j.spec.Team]}
		division := p.divisions[j.policy.Priority]
		if division == nil {
			continue
		}
		if !j.ordered {
			// A job that was ordered before the pool was divided counts from its first order in the divided pool: if its team is limited then,
			// it is placed as a job of a limited team, whatever it was admitted by.
			j.ordered, j.promised = true, !division.Limited(j.spec.Team)
		}
		j.order.overShare = division.Place(j.spec.Team, j.promised, used[j.spec.Team], j.slack(now, delay))
	}
	slices.SortFunc(waiting, func(a, b *job) int {
		return cmp.Or(
			cmp.Compare(a.order.rank, b.order.rank),
			cmp.Compare(a.order.priority, b.order.priority),
			cmp.Compare(a.order.overShare, b.order.overShare),
			a.targetTime.Compare(b.targetTime),
			cmp.Compare(a.spec.ID, b.spec.ID),
		)
	})
}

// placementOrder is a job's place among the waiting jobs of a plan; lower values come first.
type placementOrder struct{ rank, priority, overShare int }

// The ranks of jobs: lasting ones come first because they are few, then those in time, then late ones.
const (
	rankLasting = iota
	rankInTime
	rankLate
)

// rank returns the job's rank, given how long the dispatch of a step takes; a lower one is placed first.
func (j *job) rank(now time.Time, delay time.Duration) int {
	switch {
	case j.spec.Lasting():
		return rankLasting
	case now.Add(j.pathLeft(delay)).Before(j.targetTime):
		return rankInTime
	}
	return rankLate
}

// slack returns by how much later than now the job could go on and still meet its target.
func (j *job) slack(now time.Time, delay time.Duration) time.Duration {
	return j.targetTime.Sub(now) - j.pathLeft(delay)
}

// placeStep assigns the step's tasks until one of them cannot be placed.
func (p *Pool) placeStep(s *step, candidates []*worker, room *room, now time.Time) {
	if s.spec.Gang {
		p.placeGang(s, candidates, now)
		return
	}
	for _, t := range s.tasks {
		if t.done || t.current != nil || !p.mayBegin(t) {
			continue
		}
		if !p.placeNext(t, candidates, room, now) {
			return
		}
	}
	for s.idle() > 0 {
		t := s.newTask()
		if !p.mayBegin(t) || !p.placeNext(t, candidates, room, now) {
			return
		}
		s.keep(t)
	}
}

// placeNext assigns a task of a step that is no gang; it returns false when no further one of the step can be placed now.
func (p *Pool) placeNext(t *task, candidates []*worker, room *room, now time.Time) bool {
	if len(p.planned) >= p.maxUnsent {
		return false
	}
	s := t.step
	w := p.chooseWorker(t, candidates, now)
	if w == nil && s.needsRoomOnly() {
		room.refuse(s.demand())
	}
	if w == nil || p.placeOn(t, w, now) == nil {
		return false
	}
	p.markStarted(s.job, now)
	return true
}

// markStarted records that runs of the job were assigned; the record is written without the batch delay.
func (p *Pool) markStarted(j *job, now time.Time) {
	p.markUrgent(j, now)
	j.state = jaybarrow.JobRunning
	if !j.started {
		j.started = true
		p.observer.JobStarted(j.spec, now.Sub(j.accepted))
	}
}

// placeTask assigns the task to the best worker; nil when no worker can take it now or the team's limit is reached.
func (p *Pool) placeTask(t *task, candidates []*worker, now time.Time) *run {
	if w := p.chooseWorker(t, candidates, now); w != nil {
		return p.placeOn(t, w, now)
	}
	return nil
}

// placeOn assigns the task to the worker; nil when the team's limit is reached.
func (p *Pool) placeOn(t *task, w *worker, now time.Time) *run {
	if !p.teams.TryUse(t.step.job.spec.Team, t.step.spec.Demand) {
		return nil
	}
	r := p.assign(t, w, t.run+1, now)
	r.ticket, _ = t.step.ticketFor(w, now)
	return r
}

// placeGang assigns all tasks of a gang under one run number, or none of them.
func (p *Pool) placeGang(s *step, candidates []*worker, now time.Time) {
	var number jaybarrow.RunNumber
	for _, t := range s.tasks {
		if t.current != nil {
			return // an earlier run of the gang has not ended everywhere
		}
		number = max(number, t.run)
	}
	defer s.dropIdle()
	var placed []*run
	for n := 0; n < len(s.tasks) || s.idle() > 0; n++ {
		if n == len(s.tasks) {
			s.keep(s.newTask())
		}
		t := s.tasks[n]
		t.setRun(number)
		r := p.placeTask(t, candidates, now)
		if r == nil {
			for _, other := range placed {
				p.unassign(other)
			}
			return
		}
		placed = append(placed, r)
	}
	p.markStarted(s.job, now)
}

// unassign undoes an assignment that was neither stored nor sent.
func (p *Pool) unassign(r *run) {
	t := r.task
	p.removeRun(r)
	t.step.unassigned++
	t.current = nil
	t.setRun(t.run - 1)
}

// chooseWorker returns the best worker for the task, or nil.
func (p *Pool) chooseWorker(t *task, candidates []*worker, now time.Time) *worker {
	var best *worker
	var bestScore float64
	for _, w := range candidates {
		if !p.canRun(t.step, w) {
			continue
		}
		if _, ok := t.step.ticketFor(w, now); !ok {
			continue
		}
		if score := p.score(t, w, now); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// canRun reports whether the worker has room for a task of the step and meets the step's constraints.
func (p *Pool) canRun(s *step, w *worker) bool {
	return s.demand().FitsIn(w.free()) && s.allows(w)
}

// allows reports whether the worker meets the step's constraints other than room.
func (s *step) allows(w *worker) bool {
	switch {
	case s.spec.Requires != "" && !slices.Contains(w.entry.Labels, s.spec.Requires):
		return false
	case s.spec.MaxPerWorker > 0 && w.countRuns(s) >= s.spec.MaxPerWorker:
		return false
	}
	return true
}

// The weights of a placement's score; the largest dominates, and the used fraction of the CPU breaks ties.
const (
	weightAvoid          = -100 // the last run failed or stalled there
	weightData           = 20   // away from its data a task takes several times as long
	weightSameRack       = 10   // so do the tasks of a step that is spread over racks
	weightMaintenanceDue = -30  // a lasting task would soon have to move again
	weightInterference   = -5   // background work slows down tasks with a latency bound on the same worker
	weightCold           = -2   // slow for a while after its start; more than the used fraction, which only says how tasks are packed
	weightUtilization    = 1
)

// score rates the worker for the task; the highest score is chosen.
func (p *Pool) score(t *task, w *worker, now time.Time) float64 {
	return weightUtilization*float64(w.used.CPU)/float64(max(1, w.entry.Capacity.CPU)) + p.affinity(t, w, now)
}

// affinity rates how well the worker suits the task, whatever else it runs for others.
func (p *Pool) affinity(t *task, w *worker, now time.Time) float64 {
	s := t.step.spec
	score := 0.0
	if t.avoidWorker == w.entry.ID {
		score += weightAvoid
	}
	if s.DataRack != "" && s.DataRack == w.entry.Rack {
		score += weightData
	}
	if s.Lasting && w.maintenanceDue {
		score += weightMaintenanceDue
	}
	if now.Before(w.coldUntil) {
		score += weightCold
	}
	if s.SameRack && t.step.onRack(w.entry.Rack) {
		score += weightSameRack
	}
	if s.Background || s.LatencyMs > 0 {
		for _, r := range w.runs {
			other := r.task.step.spec
			if s.Background && other.LatencyMs > 0 || s.LatencyMs > 0 && other.Background {
				score += weightInterference
			}
		}
	}
	return score
}

// onRack reports whether a task of the step has a run on the rack.
func (s *step) onRack(rack jaybarrow.RackID) bool {
	for _, t := range s.tasks {
		if t.current != nil && t.current.worker.entry.Rack == rack {
			return true
		}
	}
	return false
}
