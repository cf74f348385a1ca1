package workload

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Policy is what the configuration says of a job's queue.
type Policy struct {
	Priority    int
	MaxAttempts int
	Stretch     float64
	Target      time.Duration
	Advice      *jaybarrow.AdviceSettings
}

// job is a job that has not ended, or that still has runs to stop.
type job struct {
	spec      *jaybarrow.Job
	policy    Policy
	state     jaybarrow.JobState
	shown     jaybarrow.JobState // the state that is stored
	endedMs   int64
	steps     []*step // by occurrence, then step
	left      int     // tasks that are not done
	runs      int     // runs that may exist
	begun     bool    // whether a run was ever assigned
	cancelled bool
	accepted  time.Time
	due       time.Time     // when the target wants the job completed
	work      float64       // core-seconds of the whole job by the estimates
	chain     time.Duration // estimated run time of what is left of the longest chain
}

type step struct {
	job        *job
	spec       *jaybarrow.Step
	occurrence jaybarrow.Occurrence
	index      jaybarrow.StepIndex
	tasks      []*task
	left       int
	idle       int // tasks that are neither done nor assigned
	notBefore  time.Time
	advice     map[jaybarrow.WorkerID]ticket
	asked      time.Time // when the adviser was last asked; zero: never
}

type ticket struct {
	value  jaybarrow.Ticket
	bornMs int64
	until  time.Time
}

type task struct {
	step     *step
	ref      jaybarrow.TaskRef
	done     bool
	run      jaybarrow.RunNumber
	failures int
	saved    jaybarrow.Checkpoint
	current  *run
	avoid    jaybarrow.WorkerID // where the last run failed or stood still
}

func newJob(spec *jaybarrow.Job, policy Policy) *job {
	j := &job{
		spec: spec, policy: policy, state: jaybarrow.JobPending, shown: jaybarrow.JobPending,
		accepted: time.UnixMilli(spec.AcceptedMs),
	}
	for k := range spec.Occurrences() {
		for i := range spec.Steps {
			j.steps = append(j.steps, newStep(j, jaybarrow.Occurrence(k), jaybarrow.StepIndex(i)))
		}
	}
	for i := range spec.Steps {
		s := &spec.Steps[i]
		j.work += float64(s.Tasks) * s.Demand.CPU.Cores() * s.Estimate().Seconds()
	}
	j.estimate()
	j.due = j.accepted.Add(time.Duration(policy.Stretch*float64(j.chain)) + policy.Target)
	return j
}

func newStep(j *job, k jaybarrow.Occurrence, i jaybarrow.StepIndex) *step {
	s := &step{job: j, spec: &j.spec.Steps[i], occurrence: k, index: i}
	if r := j.spec.Recurrence; r != nil {
		s.notBefore = time.UnixMilli(r.StartMs + int64(k)*r.IntervalMs)
	}
	for n := range s.spec.Tasks {
		s.tasks = append(s.tasks, &task{step: s, ref: jaybarrow.TaskRef{
			Job: j.spec.ID, Occurrence: k, Step: i, Index: jaybarrow.TaskIndex(n),
		}})
	}
	s.left, s.idle = len(s.tasks), len(s.tasks)
	j.left += len(s.tasks)
	return s
}

func (j *job) each(visit func(*task)) {
	for _, s := range j.steps {
		for _, t := range s.tasks {
			visit(t)
		}
	}
}

func (j *job) step(k jaybarrow.Occurrence, i jaybarrow.StepIndex) *step {
	return j.steps[int(k)*len(j.spec.Steps)+int(i)]
}

// ready reports whether the step's tasks may start now.
func (s *step) ready(now time.Time) bool {
	if now.Before(s.notBefore) {
		return false
	}
	for _, before := range s.spec.After {
		if s.job.step(s.occurrence, before).left > 0 {
			return false
		}
	}
	return true
}

// estimate computes the longest chain of steps that are not done; earlier steps have lower numbers.
func (j *job) estimate() {
	j.chain = 0
	ends := make([]time.Duration, len(j.spec.Steps))
	for k := range j.spec.Occurrences() {
		for i := range j.spec.Steps {
			s := j.step(jaybarrow.Occurrence(k), jaybarrow.StepIndex(i))
			var begin time.Duration
			for _, before := range s.spec.After {
				begin = max(begin, ends[before])
			}
			ends[i] = begin
			if s.left > 0 {
				ends[i] += s.spec.Estimate()
			}
			j.chain = max(j.chain, ends[i])
		}
	}
}

// restore takes over the stored progress.
func (j *job) restore(r Record) {
	j.shown, j.state, j.endedMs = r.State, r.State, r.EndedMs
	n := 0
	j.each(func(t *task) {
		if n >= len(r.Tasks) {
			return
		}
		s := r.Tasks[n]
		n++
		t.run, t.failures, t.saved = s.Run, s.Failures, s.Saved
		j.begun = j.begun || s.Run > 0
		if s.Done {
			t.finish()
		}
	})
	j.estimate()
}

// finish marks the task as done.
func (t *task) finish() {
	if t.done {
		return
	}
	t.done = true
	t.step.left--
	t.step.idle--
	t.step.job.left--
}
