package workload

import (
	"math"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/admission"
	"github.com/jaybarrow/jaybarrow/internal/heap"
)

// Teams accounts for the resources that each team uses in all pools and enforces its limit.
type Teams interface {
	// Share returns the team's relative part of a full pool, or 0 when it has none.
	Share(team jaybarrow.TeamID) jaybarrow.Share
	// MayUse reports whether the team's limit allows the resources beside those that it uses.
	MayUse(team jaybarrow.TeamID, r jaybarrow.Resources) bool
	// TryUse charges the resources to the team unless that would exceed its limit.
	TryUse(team jaybarrow.TeamID, r jaybarrow.Resources) bool
	// Use charges the resources regardless of the limit, for tasks that already run.
	Use(team jaybarrow.TeamID, r jaybarrow.Resources)
	// Release undoes a charge.
	Release(team jaybarrow.TeamID, r jaybarrow.Resources)
}

// Observer is notified of decisions and outcomes; its methods must not block.
type Observer interface {
	// JobStarted reports how long a job waited for its first start.
	JobStarted(job *jaybarrow.Job, waited time.Duration)
	// StartAnswered reports a worker's answer to a start.
	StartAnswered(outcome jaybarrow.StartOutcome)
	// RunEnded reports how a run ended.
	RunEnded(task jaybarrow.TaskRef, run jaybarrow.RunNumber, worker jaybarrow.WorkerID, kind jaybarrow.EndKind, ran time.Duration)
	// JobEnded reports the final state of a job and the time since it was accepted.
	JobEnded(job *jaybarrow.Job, state jaybarrow.JobState, took time.Duration, failures int)
	// WorkerRestarted reports that a worker has started again under its id: how many runs were lost with its earlier instance, and how many
	// may have been accepted by either.
	WorkerRestarted(worker jaybarrow.WorkerID, lost, uncertain int)
	// RoomHeld reports that lasting tasks begin or cease to keep other work from some of the pool's usable workers.
	RoomHeld(pool jaybarrow.PoolID, held, usable int)
	// HoldGivenUp reports that a worker that was kept free of new tasks to become empty gets tasks again, and why.
	HoldGivenUp(worker jaybarrow.WorkerID, obstacle jaybarrow.DrainObstacle)
	// WorkerEjected reports that a worker temporarily receives no new tasks, and why.
	WorkerEjected(worker jaybarrow.WorkerID, reason string)
	// StartWithheld reports that a start that was decided is not sent, since the worker's data centre is being evacuated or may be.
	StartWithheld(task jaybarrow.TaskRef, run jaybarrow.RunNumber, worker jaybarrow.WorkerID)
	// AdviceEnded reports how a call to a queue's adviser ended, and how long it took.
	AdviceEnded(queue jaybarrow.QueueID, outcome jaybarrow.AdviceOutcome, took time.Duration)
}

// Pool is the scheduling state of one pool; it is not safe for concurrent use.
type Pool struct {
	settings Settings
	id       jaybarrow.PoolID
	fence    jaybarrow.FenceToken
	teams    Teams
	observer Observer
	policies func(jaybarrow.QueueID) (jaybarrow.QueuePolicy, bool)
	// evacuated reports whether a data centre is being evacuated; its workers get no tasks and are no capacity.
	evacuated func(jaybarrow.DataCentreID) bool

	jobs          map[jaybarrow.JobID]*job
	endedJobs     map[jaybarrow.JobID]endedJob
	workers       map[jaybarrow.WorkerID]*worker
	endedWorkers  map[jaybarrow.WorkerID]endedWorker // their entries may stay in the register for a while
	urgentWrites  map[*job]bool                      // changed jobs that the next plan writes; starts or answers wait for the write
	delayedWrites map[*job]bool                      // changed jobs whose write may wait for the batch delay
	delayedSince  time.Time                          // when the oldest delayed write was requested
	blockedWrites map[*job]blockedWrite              // changed jobs whose records are being written
	changes       changeNumber                       // of jobs, so far
	rounds        roundNumber                        // so far
	arrivals      arrivals
	runTimes      runTimes
	dispatchDelay time.Duration // of each step, beside the run times of its tasks
	assignments   int64         // number of the last assignment
	unknownRuns   []StopRun     // runs that workers report but the pool does not know; the next plan stops them

	// Indexes, so that a plan visits only what has changed.
	due            *heap.Heap[*job]                         // jobs that wait for their next occurrence, the earliest first
	waiting        map[*job]bool                            // holds every job with unassigned tasks, and jobs that no longer have any
	ended          map[*job]bool                            // ended jobs whose runs are not all stopped, or whose state is not stored
	planned        map[*run]bool                            // runs in the phase runPlanned
	unsent         map[*run]bool                            // those of planned whose assignment is stored
	stopping       map[*run]bool                            // runs in the phase runStopping
	unstoredEnds   map[*worker]bool                         // workers with ends that are processed and not stored
	teamUsed       map[jaybarrow.TeamID]jaybarrow.Resources // in use by runs of tasks that do not last
	labelUsed      map[jaybarrow.Label]jaybarrow.Resources  // in use by runs that require the label
	expiry         []jaybarrow.JobID                        // of endedJobs whose records are not being removed, the earliest end first unless expiryUnsorted
	expiryUnsorted bool
	sorted         []*worker     // by id; rebuilt when nil
	batchDelay     time.Duration // how long changes are collected into one write
	renewInterval  time.Duration // how long a worker with running tasks may hold back its report
	maxUnsent      int           // runs that may wait for their start orders; no task is placed beyond it
	maxStops       int           // stops of one plan
	holdsRoom      bool          // whether the observer was last told that room is held
	heldReportedAt time.Time     // when the observer was last told of it
	placementsDue  bool          // whether a task may have become placeable since the last plan
	advising       advising
	divisions      map[int]*admission.Division // how the pool is divided among its teams, for jobs of each priority
	sweepDue       bool                        // whether the next plan must check every worker and run
	sweptAt        time.Time                   // when a plan last checked every worker and run
}

// endedJob is what is kept of an ended job until its records are removed.
type endedJob struct {
	state   jaybarrow.JobState
	team    jaybarrow.TeamID
	endedAt time.Time
}

// Deps are what a Pool depends on.
type Deps struct {
	Settings Settings
	ID       jaybarrow.PoolID
	Fence    jaybarrow.FenceToken
	Teams    Teams
	Observer Observer
	Policies func(jaybarrow.QueueID) (jaybarrow.QueuePolicy, bool) // false when the queue is no longer configured
	// Evacuated reports whether a data centre is being evacuated; nil when none ever is. It must not block.
	Evacuated func(jaybarrow.DataCentreID) bool
}

// New returns an empty Pool.
func New(d Deps) *Pool {
	if d.Evacuated == nil {
		d.Evacuated = func(jaybarrow.DataCentreID) bool { return false }
	}
	return &Pool{
		settings: d.Settings, id: d.ID, fence: d.Fence, teams: d.Teams, observer: d.Observer, policies: d.Policies, evacuated: d.Evacuated,
		jobs: make(map[jaybarrow.JobID]*job), endedJobs: make(map[jaybarrow.JobID]endedJob),
		workers: make(map[jaybarrow.WorkerID]*worker), endedWorkers: make(map[jaybarrow.WorkerID]endedWorker), urgentWrites: make(map[*job]bool), delayedWrites: make(map[*job]bool),
		blockedWrites: make(map[*job]blockedWrite), unsent: make(map[*run]bool),
		waiting: make(map[*job]bool), ended: make(map[*job]bool), planned: make(map[*run]bool), stopping: make(map[*run]bool),
		divisions: make(map[int]*admission.Division), unstoredEnds: make(map[*worker]bool), teamUsed: make(map[jaybarrow.TeamID]jaybarrow.Resources),
		labelUsed: make(map[jaybarrow.Label]jaybarrow.Resources), renewInterval: d.Settings.RenewInterval,
		advising: newAdvising(), due: newDue(), batchDelay: d.Settings.BatchDelay, runTimes: make(runTimes),
		maxUnsent: math.MaxInt, maxStops: math.MaxInt,
	}
}

// defaultPolicy applies to jobs that an earlier build has accepted without their policy, of a queue that is no longer configured.
var defaultPolicy = jaybarrow.QueuePolicy{Priority: 1, MaxAttempts: 2, Stretch: 2, Target: time.Second}

// AddJob adds an accepted job with its stored progress, which is nil when none is stored. A job that is already known is left
// unchanged.
func (p *Pool) AddJob(spec *jaybarrow.Job, stored *Record, now time.Time) {
	if _, known := p.endedJobs[spec.ID]; known || p.jobs[spec.ID] != nil {
		return
	}
	if stored != nil && stored.State.Ended() && stored.Progress == nil {
		p.addEndedJob(spec.ID, endedJob{state: stored.State, team: spec.Team, endedAt: time.UnixMilli(stored.EndedMs)})
		return
	}
	policy, ok := p.policies(spec.Queue)
	switch {
	case ok:
	case spec.Policy != nil:
		policy = *spec.Policy
	default:
		policy = defaultPolicy
	}
	j := newJob(spec, policy)
	p.jobs[spec.ID] = j
	if stored != nil {
		for _, r := range j.restoreProgress(*stored) {
			p.restoreRun(r.task, r.record, now)
		}
	}
	if j.state.Ended() {
		p.ended[j] = true
		return
	}
	p.arrivals.add(spec, earlier(j.accepted, now))
	if stored != nil {
		p.updateState(j, now)
	}
	p.await(j, now)
}

// UpdatePolicies applies the present policies of the queues to the jobs; a job whose queue is no longer configured keeps the last one.
func (p *Pool) UpdatePolicies(now time.Time) {
	for _, j := range p.jobs {
		policy, ok := p.policies(j.spec.Queue)
		if !ok || policy == j.policy {
			continue
		}
		waits := j.dueIndex != heap.Absent
		p.removeDue(j) // which is ordered by times that depend on the policy
		j.setPolicy(policy)
		if waits {
			p.addDue(j)
		}
		p.updateState(j, now)
		p.placementsDue = true
	}
}

// earlier returns the earlier of two times; the clock of the host that accepted a job may be ahead.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// restoreRun rebuilds a run that a previous scheduler assigned.
func (p *Pool) restoreRun(t *task, stored TaskRecord, now time.Time) {
	w := p.workers[stored.Worker]
	if w == nil {
		// The worker is not in the register. Cut off from the store, it may still run its tasks until its lease ends.
		w = p.newWorker(jaybarrow.Worker{ID: stored.Worker, Pool: p.id, State: jaybarrow.WorkerDraining})
		w.gone, w.missedReports = true, 1
		p.addWorker(w)
	}
	lease := p.settings.Lease
	if stored.InstanceStartMs != 0 && w.instanceStartMs != 0 && stored.InstanceStartMs != w.instanceStartMs {
		// The order may have set a lease in a later instance by the clock of the one that it was meant for.
		lease = p.settings.MaxLease
	}
	w.extendLeaseEnd(now, lease)
	r := p.assign(t, w, stored.Run, now)
	p.setPhase(r, runUnconfirmed, now)
	r.instanceStartMs, r.inherited = stored.InstanceStartMs, true
	p.teams.Use(t.step.job.spec.Team, r.charged)
}

// assign creates a run of the task on the worker; the caller charges the team.
func (p *Pool) assign(t *task, w *worker, number jaybarrow.RunNumber, now time.Time) *run {
	t.setRun(number)
	demand := t.step.spec.Demand
	r := &run{
		task: t, number: number, worker: w, instanceStartMs: w.instanceStartMs, instance: w.instance, progressedAt: now,
		demand: demand, charged: demand, throttle: fullPercent, checkpoint: t.checkpoint,
	}
	if t.step.spec.Background {
		r.demand.CPU = 0
	}
	t.current = r
	t.step.unassigned--
	p.assignments++
	r.assignment = p.assignments
	p.addRun(r)
	p.setPhase(r, runPlanned, now)
	return r
}

// fullPercent is the share that a run may use unless it is throttled, and the progress of a finished task.
const fullPercent jaybarrow.Percent = 100

// endRun removes the run and applies its end to the task and the job.
func (p *Pool) endRun(r *run, kind jaybarrow.EndKind, checkpoint jaybarrow.Checkpoint, now time.Time) {
	t, w, j := r.task, r.worker, r.task.step.job
	p.removeRun(r)
	if t.current == r {
		t.current = nil
		t.step.unassigned++
		p.markWaiting(j)
		if t.doneBefore {
			t.markDone()
		}
		t.dropDone()
	}
	r.keepCheckpoint(checkpoint)
	p.observer.RunEnded(t.ref, r.number, w.entry.ID, kind, now.Sub(r.phaseSince))
	p.updateFaults(r, kind, now)
	if j.state.Ended() || t.stray {
		return
	}
	p.markChanged(j, now)
	switch {
	case kind == jaybarrow.EndDone && !t.step.spec.Lasting:
		p.markDone(t)
		p.runTimes.add(j.spec.Queue, now.Sub(r.phaseSince), t.step.spec.Estimate())
	case kind == jaybarrow.EndFailed:
		t.avoidWorker = w.entry.ID
		if !t.step.spec.Lasting {
			t.failures++
			j.mostFailures = max(j.mostFailures, t.failures)
		}
	}
	p.updateState(j, now)
}

// markDone marks a task as done, and with it the rest of its gang.
func (p *Pool) markDone(t *task) {
	if !t.step.spec.Gang {
		t.markDone()
		return
	}
	for _, member := range slices.Clone(t.step.tasks) {
		member.markDone()
	}
}

// updateFaults counts the worker's consecutive faults; a worker with too many is ejected.
func (p *Pool) updateFaults(r *run, kind jaybarrow.EndKind, now time.Time) {
	w := r.worker
	switch kind {
	case jaybarrow.EndDone:
		w.faults = 0
	case jaybarrow.EndFailed:
		// A task that has failed before may itself be faulty, so its failure does not count against this worker.
		if r.task.failures == 0 {
			p.recordFault(w, "a task failed", now)
		}
	}
}

// ejectionThreshold is the number of consecutive faults at which a worker is ejected; tasks of healthy workers fail occasionally.
const ejectionThreshold = 2

// baseEjection is how long a worker is ejected at the threshold; each further fault doubles it, up to maxEjection.
const (
	baseEjection = time.Second
	maxEjection  = 8 * time.Second
)

// recordFault counts a fault of the worker and ejects it once the threshold is reached.
func (p *Pool) recordFault(w *worker, reason string, now time.Time) {
	w.faults++
	if w.faults < ejectionThreshold {
		return
	}
	ejection := min(maxEjection, baseEjection<<min(w.faults-ejectionThreshold, 10))
	w.backoffUntil = now.Add(ejection)
	p.observer.WorkerEjected(w.entry.ID, reason)
}

// updateState derives the job's state from its tasks; a change of state is written without the batch delay.
func (p *Pool) updateState(j *job, now time.Time) {
	if j.state.Ended() {
		return
	}
	j.updateCriticalPath()
	before := j.state
	failures := 0
	for t := range j.tasks() {
		failures = max(failures, t.failures)
	}
	switch {
	case j.cancelled:
		j.state = jaybarrow.JobCancelled
	case failures >= j.policy.MaxAttempts:
		j.state = jaybarrow.JobFailed
	case j.tasksLeft == 0:
		j.state = jaybarrow.JobCompleted
	case j.started:
		j.state = jaybarrow.JobRunning
	}
	if j.state == before {
		return
	}
	p.markUrgent(j, now)
	if j.state.Ended() {
		j.endedMs = now.UnixMilli()
		p.ended[j] = true
		p.removeDue(j)
		p.observer.JobEnded(j.spec, j.state, now.Sub(j.accepted), j.mostFailures)
	}
}

// Cancel ends a job at its caller's request and reports whether the job is known.
func (p *Pool) Cancel(id jaybarrow.JobID, now time.Time) bool {
	if _, known := p.endedJobs[id]; known {
		return true
	}
	j := p.jobs[id]
	if j == nil {
		return false
	}
	j.cancelled = true
	p.updateState(j, now)
	return true
}

// Status returns the stored state of a job, except that a started job counts as running before that is stored.
func (p *Pool) Status(id jaybarrow.JobID) jaybarrow.JobStatus {
	if e, ok := p.endedJobs[id]; ok {
		return jaybarrow.JobStatus{Known: true, State: e.state, Team: e.team}
	}
	j := p.jobs[id]
	if j == nil {
		return jaybarrow.JobStatus{}
	}
	state := j.storedState
	if state == jaybarrow.JobPending && j.started {
		state = jaybarrow.JobRunning
	}
	return jaybarrow.JobStatus{Known: true, State: state, Team: j.spec.Team}
}

// Waiting returns how many jobs of the queue have started no task; scheduled jobs do not count.
func (p *Pool) Waiting(queue jaybarrow.QueueID) int {
	n := 0
	for j := range p.waiting {
		if j.spec.Queue == queue && !j.started && !j.state.Ended() && j.spec.Recurrence == nil {
			n++
		}
	}
	return n
}
