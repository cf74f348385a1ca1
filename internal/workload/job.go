package workload

import (
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// job is a job that has not ended, or that still has runs to stop.
type job struct {
	spec         *jaybarrow.Job
	policy       jaybarrow.QueuePolicy
	state        jaybarrow.JobState
	storedState  jaybarrow.JobState // last state written to the store
	endedMs      int64
	steps        []*step // ordered by occurrence, then by step
	tasksLeft    int     // tasks that are not done
	runs         int     // runs that may exist on workers
	begun        int     // tasks that were assigned and are not done
	started      bool    // whether a run was ever assigned
	cancelled    bool
	accepted     time.Time
	targetTime   time.Time     // when the job should be completed to meet the queue's target
	work         float64       // estimated core-seconds of the whole job
	wholePath    time.Duration // estimated run time of the longest chain of steps
	criticalPath time.Duration // the same for the steps that are not done
	order        placementOrder
}

type step struct {
	job        *job
	spec       *jaybarrow.Step
	occurrence jaybarrow.Occurrence
	index      jaybarrow.StepIndex
	tasks      []*task
	tasksLeft  int
	unassigned int // tasks that are neither done nor assigned
	notBefore  time.Time
	advice     stepAdvice
}

type ticket struct {
	value    jaybarrow.Ticket
	instance instanceNumber // of the worker that it was given for
	expires  time.Time
}

type task struct {
	step        *step
	ref         jaybarrow.TaskRef
	done        bool
	run         jaybarrow.RunNumber // number of the last run
	failures    int
	checkpoint  jaybarrow.Checkpoint
	current     *run
	avoidWorker jaybarrow.WorkerID // where the last run failed or stalled
	doneBefore  bool               // a run that was given up turned out to have completed the task
}

func newJob(spec *jaybarrow.Job, policy jaybarrow.QueuePolicy) *job {
	j := &job{
		spec: spec, state: jaybarrow.JobPending, storedState: jaybarrow.JobPending,
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
	j.updateCriticalPath()
	j.wholePath = j.criticalPath
	j.setPolicy(policy)
	return j
}

// setPolicy replaces the policy by which the job is scheduled.
func (j *job) setPolicy(policy jaybarrow.QueuePolicy) {
	j.policy = policy
	j.targetTime = j.accepted.Add(time.Duration(policy.Stretch*float64(j.wholePath)) + policy.Target)
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
	s.tasksLeft, s.unassigned = len(s.tasks), len(s.tasks)
	j.tasksLeft += len(s.tasks)
	return s
}

func (j *job) eachTask(visit func(*task)) {
	for _, s := range j.steps {
		for _, t := range s.tasks {
			visit(t)
		}
	}
}

func (j *job) step(k jaybarrow.Occurrence, i jaybarrow.StepIndex) *step {
	return j.steps[int(k)*len(j.spec.Steps)+int(i)]
}

// hasUnassigned reports whether a task of the job is neither done nor assigned.
func (j *job) hasUnassigned() bool {
	return j.tasksLeft > 0 && slices.ContainsFunc(j.steps, func(s *step) bool { return s.unassigned > 0 })
}

// task returns a task of the job; nil when the job has none of that name.
func (j *job) task(ref jaybarrow.TaskRef) *task {
	n := int(ref.Occurrence)*len(j.spec.Steps) + int(ref.Step)
	if ref.Occurrence < 0 || ref.Step < 0 || int(ref.Step) >= len(j.spec.Steps) || n >= len(j.steps) {
		return nil
	}
	if s := j.steps[n]; ref.Index >= 0 && int(ref.Index) < len(s.tasks) {
		return s.tasks[ref.Index]
	}
	return nil
}

// ready reports whether the step's tasks may start now.
func (s *step) ready(now time.Time) bool {
	if now.Before(s.notBefore) {
		return false
	}
	for _, dependency := range s.spec.After {
		if s.job.step(s.occurrence, dependency).tasksLeft > 0 {
			return false
		}
	}
	return true
}

// updateCriticalPath computes the longest chain of steps that are not done; a step only comes after steps of lower index.
func (j *job) updateCriticalPath() {
	j.criticalPath = 0
	ends := make([]time.Duration, len(j.spec.Steps))
	for k := range j.spec.Occurrences() {
		for i := range j.spec.Steps {
			s := j.step(jaybarrow.Occurrence(k), jaybarrow.StepIndex(i))
			var earliest time.Duration
			for _, dependency := range s.spec.After {
				earliest = max(earliest, ends[dependency])
			}
			ends[i] = earliest
			if s.tasksLeft > 0 {
				ends[i] += s.spec.Estimate()
			}
			j.criticalPath = max(j.criticalPath, ends[i])
		}
	}
}

// restoreProgress applies the stored progress.
func (j *job) restoreProgress(r Record) {
	j.storedState, j.state, j.endedMs = r.State, r.State, r.EndedMs
	n := 0
	j.eachTask(func(t *task) {
		if n >= len(r.Tasks) {
			return
		}
		s := r.Tasks[n]
		n++
		t.setRun(s.Run)
		t.failures, t.checkpoint = s.Failures, s.Checkpoint
		j.started = j.started || s.Run > 0 || s.Done
		if s.Done {
			t.markDone()
		}
	})
	j.updateCriticalPath()
}

// markDone marks the task as done.
func (t *task) markDone() {
	if t.done {
		return
	}
	t.step.job.begun -= t.begun(t.run)
	t.done = true
	t.step.tasksLeft--
	t.step.unassigned--
	t.step.job.tasksLeft--
}
