package workload

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Teams holds what each team has running in all pools, and what it may have.
type Teams interface {
	// Share returns the team's relative part of a full pool; 0: it has none.
	Share(team jaybarrow.TeamID) jaybarrow.Share
	// TryUse charges the resources to the team unless that would exceed its limit.
	TryUse(team jaybarrow.TeamID, r jaybarrow.Resources) bool
	// Use charges the resources whatever the limit says, for tasks that run already.
	Use(team jaybarrow.TeamID, r jaybarrow.Resources)
	// Release takes the charge back.
	Release(team jaybarrow.TeamID, r jaybarrow.Resources)
}

// Observer learns of decisions; its methods must not block.
type Observer interface {
	// JobStarted tells how long a job waited for its first start.
	JobStarted(job *jaybarrow.Job, waited time.Duration)
	// StartAnswered tells a worker's answer to a start.
	StartAnswered(outcome jaybarrow.StartOutcome)
	// RunEnded tells how a run ended.
	RunEnded(task jaybarrow.TaskRef, run jaybarrow.RunNumber, worker jaybarrow.WorkerID, kind jaybarrow.EndKind, ran time.Duration)
	// JobEnded tells the final state of a job and how long it took since it was accepted.
	JobEnded(job *jaybarrow.Job, state jaybarrow.JobState, took time.Duration, failures int)
	// WorkerEjected tells that a worker receives no new tasks for a while, and why.
	WorkerEjected(worker jaybarrow.WorkerID, reason string)
}

// Pool is the state of one pool; it is not safe for concurrent use.
type Pool struct {
	settings Settings
	id       jaybarrow.PoolID
	fence    jaybarrow.FenceToken
	teams    Teams
	observer Observer
	policies func(jaybarrow.QueueID) (Policy, bool)

	jobs     map[jaybarrow.JobID]*job
	ended    map[jaybarrow.JobID]endedJob
	workers  map[jaybarrow.WorkerID]*worker
	urgent   map[*job]bool // changed; starts or answers wait for the write
	changed  map[*job]bool // changed; the write may wait
	since    time.Time     // when the first change that is not written was made
	arrivals arrivals
	orphans  []StopRun
}

type endedJob struct {
	state    jaybarrow.JobState
	team     jaybarrow.TeamID
	at       time.Time
	removing bool // its records are being removed
}

// Deps are what a Pool depends on.
type Deps struct {
	Settings Settings
	ID       jaybarrow.PoolID
	Fence    jaybarrow.FenceToken
	Teams    Teams
	Observer Observer
	Policies func(jaybarrow.QueueID) (Policy, bool) // false: the queue is not configured any more
}

// New returns an empty Pool.
func New(d Deps) *Pool {
	return &Pool{
		settings: d.Settings, id: d.ID, fence: d.Fence, teams: d.Teams, observer: d.Observer, policies: d.Policies,
		jobs: make(map[jaybarrow.JobID]*job), ended: make(map[jaybarrow.JobID]endedJob),
		workers: make(map[jaybarrow.WorkerID]*worker), urgent: make(map[*job]bool), changed: make(map[*job]bool),
	}
}

// defaultPolicy serves the jobs of a queue that is no longer configured and was never seen here.
var defaultPolicy = Policy{Priority: 1, MaxAttempts: 2, Stretch: 2, Target: time.Second}

// AddJob adds an accepted job with its stored progress; nil: none is stored. A known job is left alone.
func (p *Pool) AddJob(spec *jaybarrow.Job, stored *Record, now time.Time) {
	if _, known := p.ended[spec.ID]; known || p.jobs[spec.ID] != nil {
		return
	}
	if stored != nil && stored.State.Ended() {
		p.ended[spec.ID] = endedJob{state: stored.State, team: spec.Team, at: time.UnixMilli(stored.EndedMs)}
		return
	}
	policy, ok := p.policies(spec.Queue)
	if !ok {
		policy = defaultPolicy
	}
	j := newJob(spec, policy)
	p.jobs[spec.ID] = j
	p.arrivals.add(spec, earlier(j.accepted, now))
	if stored != nil {
		j.restore(*stored)
		p.inherit(j, *stored, now)
		p.advance(j, now)
	}
}

// earlier returns the earlier of two times; another host's clock may be ahead.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// inherit rebuilds the runs that a previous scheduler assigned.
func (p *Pool) inherit(j *job, stored Record, now time.Time) {
	n := 0
	j.each(func(t *task) {
		if n >= len(stored.Tasks) {
			return
		}
		s := stored.Tasks[n]
		n++
		if s.Worker == "" || t.done {
			return
		}
		w := p.workers[s.Worker]
		if w == nil {
			// The worker is not in the register. It may still run cut off from the store, until its lease ends.
			w = newWorker(jaybarrow.Worker{ID: s.Worker, Pool: p.id, State: jaybarrow.WorkerDraining})
			w.gone, w.failing = true, 1
			p.workers[s.Worker] = w
		}
		if w.lapses.IsZero() {
			w.lapses = now.Add(time.Duration(float64(p.settings.Lease)/(1-clockSlowdown)) + lapseMargin)
		}
		r := p.attach(t, w, s.Run, now)
		r.bornMs, r.phase, r.inherited = s.BornMs, runUncertain, true
		p.teams.Use(j.spec.Team, r.charged)
	})
}

// attach creates a run of the task on the worker; the caller charges the team.
func (p *Pool) attach(t *task, w *worker, number jaybarrow.RunNumber, now time.Time) *run {
	t.run = number
	demand := t.step.spec.Demand
	r := &run{
		task: t, number: number, worker: w, bornMs: w.bornMs, phase: runPlanned, since: now, moved: now, demand: demand, charged: demand,
		pace: fullPace,
	}
	if t.step.spec.Background {
		r.demand.CPU = 0
	}
	t.current = r
	t.step.idle--
	t.step.job.runs++
	w.used = w.used.Plus(r.demand)
	w.runs[runKey{t.ref, r.number}] = r
	return r
}

// fullPace is the share that a run works at unless it is told otherwise.
const fullPace jaybarrow.Percent = 100

// end removes the run and takes its end into account.
func (p *Pool) end(r *run, kind jaybarrow.EndKind, saved jaybarrow.Checkpoint, now time.Time) {
	t, w, j := r.task, r.worker, r.task.step.job
	delete(w.runs, runKey{t.ref, r.number})
	w.used = w.used.Minus(r.demand)
	p.teams.Release(j.spec.Team, r.charged)
	j.runs--
	if t.current == r {
		t.current = nil
		t.step.idle++
	}
	if saved != "" {
		t.saved = saved
	}
	p.observer.RunEnded(t.ref, r.number, w.entry.ID, kind, now.Sub(r.since))
	p.judge(r, kind, now)
	if j.state.Ended() {
		return
	}
	p.change(j, now)
	switch {
	case kind == jaybarrow.EndDone && !t.step.spec.Lasting:
		p.finish(t)
	case kind == jaybarrow.EndFailed:
		t.avoid = w.entry.ID
		if !t.step.spec.Lasting {
			t.failures++
		}
	}
	p.advance(j, now)
}

// change notes that the job's record is to be written soon.
func (p *Pool) change(j *job, now time.Time) {
	if len(p.changed) == 0 {
		p.since = now
	}
	p.changed[j] = true
}

// finish marks a task as done, and with it the rest of its gang.
func (p *Pool) finish(t *task) {
	if !t.step.spec.Gang {
		t.finish()
		return
	}
	for _, member := range t.step.tasks {
		member.finish()
	}
}

// judge counts a worker's faults and keeps new tasks from one that spoils everything.
func (p *Pool) judge(r *run, kind jaybarrow.EndKind, now time.Time) {
	w := r.worker
	switch kind {
	case jaybarrow.EndDone:
		w.faults = 0
	case jaybarrow.EndFailed:
		// A task that failed elsewhere too says nothing about this worker.
		if r.task.failures == 0 {
			p.blame(w, "a task failed", now)
		}
	}
}

// faultsTolerated is how many faults in a row a worker may have before it rests; tasks of sound workers fail now and then.
const faultsTolerated = 2

// restBase is how long a worker rests after too many faults; each further fault doubles it up to restMax.
const (
	restBase = time.Second
	restMax  = 8 * time.Second
)

func (p *Pool) blame(w *worker, reason string, now time.Time) {
	w.faults++
	if w.faults < faultsTolerated {
		return
	}
	rest := min(restMax, restBase<<min(w.faults-faultsTolerated, 10))
	w.refusing = now.Add(rest)
	p.observer.WorkerEjected(w.entry.ID, reason)
}

// advance moves the job to its next state.
func (p *Pool) advance(j *job, now time.Time) {
	if j.state.Ended() {
		return
	}
	j.estimate()
	before := j.state
	failures := 0
	j.each(func(t *task) { failures = max(failures, t.failures) })
	switch {
	case j.cancelled:
		j.state = jaybarrow.JobCancelled
	case failures >= j.policy.MaxAttempts:
		j.state = jaybarrow.JobFailed
	case j.left == 0:
		j.state = jaybarrow.JobCompleted
	case j.begun:
		j.state = jaybarrow.JobRunning
	}
	if j.state == before {
		return
	}
	p.urgent[j] = true
	if j.state.Ended() {
		j.endedMs = now.UnixMilli()
		p.observer.JobEnded(j.spec, j.state, now.Sub(j.accepted), failures)
	}
}

// Cancel ends a job at the caller's wish; it reports whether the job is known.
func (p *Pool) Cancel(id jaybarrow.JobID, now time.Time) bool {
	if _, known := p.ended[id]; known {
		return true
	}
	j := p.jobs[id]
	if j == nil {
		return false
	}
	j.cancelled = true
	p.advance(j, now)
	return true
}

// Status returns the stored state of a job.
func (p *Pool) Status(id jaybarrow.JobID) jaybarrow.JobStatus {
	if e, ok := p.ended[id]; ok {
		return jaybarrow.JobStatus{Known: true, State: e.state, Team: e.team}
	}
	j := p.jobs[id]
	if j == nil {
		return jaybarrow.JobStatus{}
	}
	state := j.shown
	if state == jaybarrow.JobPending && j.begun {
		state = jaybarrow.JobRunning
	}
	return jaybarrow.JobStatus{Known: true, State: state, Team: j.spec.Team}
}

// Waiting returns how many jobs of the queue have started no task; scheduled jobs do not count.
func (p *Pool) Waiting(queue jaybarrow.QueueID) int {
	n := 0
	for _, j := range p.jobs {
		if j.spec.Queue == queue && !j.begun && !j.state.Ended() && j.spec.Recurrence == nil {
			n++
		}
	}
	return n
}
