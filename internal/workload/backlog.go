package workload

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/admission"
)

// Backlog returns what waits in the pool and the capacity of its workers, with those that take no tasks for a moment; what the fleet can
// add is left out. Of the jobs that can meet their target those count as InTime whose queue is at least as urgent as the priority.
func (p *Pool) Backlog(priority int, now time.Time) admission.Load {
	return p.backlog(priority, now, func(*job, jaybarrow.Work, int, bool) {})
}

// TeamBacklogs returns the same with what each team has waiting and running in the pool.
func (p *Pool) TeamBacklogs(priority int, now time.Time) (admission.Load, map[jaybarrow.TeamID]*admission.TeamLoad) {
	usedByTeam := p.usedByTeam()
	teams := make(map[jaybarrow.TeamID]*admission.TeamLoad, len(usedByTeam))
	of := func(id jaybarrow.TeamID) *admission.TeamLoad {
		t := teams[id]
		if t == nil {
			t = new(admission.TeamLoad)
			teams[id] = t
		}
		return t
	}
	for id, used := range usedByTeam {
		of(id).Used = used
	}
	load := p.backlog(priority, now, func(j *job, waiting jaybarrow.Work, tasks int, inTime bool) {
		t := of(j.spec.Team)
		t.Waiting = t.Waiting.Plus(waiting)
		if inTime && j.policy.Priority == priority {
			t.InTime, t.InTimeTasks = t.InTime.Plus(waiting), t.InTimeTasks+tasks
		}
	})
	return load, teams
}

// SetDivision sets how the pool is divided among its teams for jobs of the priority, by which these are ordered; one that limits no team leaves
// that to the shares.
func (p *Pool) SetDivision(priority int, d *admission.Division) {
	if !d.Divided() {
		delete(p.divisions, priority)
		return
	}
	p.divisions[priority] = d
}

// RunTimeFactor returns by how much the estimates of the queue's jobs must be multiplied.
func (p *Pool) RunTimeFactor(queue jaybarrow.QueueID) float64 { return p.runTimes.factor(queue) }

// backlog calls visit for each job with waiting work.
func (p *Pool) backlog(priority int, now time.Time, visit func(j *job, waiting jaybarrow.Work, tasks int, inTime bool)) admission.Load {
	var out admission.Load
	delay := p.dispatchDelay
	for _, w := range p.sortedWorkers() {
		if w.willTakeTasks() {
			out.Capacity = out.Capacity.Plus(w.entry.Capacity.Minus(w.lastingUsed))
		}
	}
	for j := range p.waiting {
		if j.state.Ended() || j.spec.Recurrence != nil || j.spec.Lasting() {
			continue
		}
		var waiting jaybarrow.Work
		before := out.Tasks
		mayBegin := p.mayBeginOf(j)
		for s := range j.steps() {
			n := min(s.unassigned, mayBegin)
			if n <= 0 {
				continue
			}
			mayBegin -= n
			waiting = waiting.Plus(s.demand().Work(s.spec.Estimate()).Times(float64(n)))
			out.Tasks += n
		}
		waiting = waiting.Times(p.runTimes.factor(j.spec.Queue))
		out.Waiting = out.Waiting.Plus(waiting)
		inTime := j.rank(now, delay) == rankInTime
		if inTime && j.policy.Priority <= priority {
			out.InTime = out.InTime.Plus(waiting)
			out.InTimeTasks += out.Tasks - before
		}
		visit(j, waiting, out.Tasks-before, inTime)
	}
	return out
}

// SetDispatchDelay sets how long the dispatch of each step takes, beside the run times of its tasks.
func (p *Pool) SetDispatchDelay(d time.Duration) { p.dispatchDelay = d }

// Target returns within which time a job with the critical path should be completed, and the priority of its queue; false when the queue is
// not configured.
func (p *Pool) Target(queue jaybarrow.QueueID, criticalPath time.Duration) (target time.Duration, priority int, known bool) {
	policy, ok := p.policies(queue)
	return time.Duration(policy.Stretch*float64(criticalPath)) + policy.Target, policy.Priority, ok
}

// runTimes compares, for each queue, how long tasks ran with how long they were estimated to run.
type runTimes map[jaybarrow.QueueID]*runTime

type runTime struct{ ran, estimated float64 } // seconds, with older runs weighted less

// runTimeDecay is the weight that a run keeps with each later run of its queue.
const runTimeDecay = 0.99

// add counts a completed run.
func (t runTimes) add(queue jaybarrow.QueueID, ran, estimated time.Duration) {
	one := t[queue]
	if one == nil {
		one = new(runTime)
		t[queue] = one
	}
	one.ran = runTimeDecay*one.ran + ran.Seconds()
	one.estimated = runTimeDecay*one.estimated + estimated.Seconds()
}

// factor returns by how much the queue's estimates must be multiplied; 1 before a run has ended.
func (t runTimes) factor(queue jaybarrow.QueueID) float64 {
	if one := t[queue]; one != nil && one.estimated > 0 {
		return one.ran / one.estimated
	}
	return 1
}
