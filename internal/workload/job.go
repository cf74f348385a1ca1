package workload

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/dispatch"
	"github.com/jaybarrow/jaybarrow/internal/heap"
)

// job is a job that has not ended, or that still has runs to stop. Of its occurrences it keeps those that have begun and are not done, and
// a few that are due; all others follow from their numbers.
type job struct {
	spec         *jaybarrow.Job
	policy       jaybarrow.QueuePolicy
	state        jaybarrow.JobState
	storedState  jaybarrow.JobState // last state written to the store
	stubStored   bool               // whether the store holds nothing but the end of the job any more
	endedMs      int64
	open         []*occurrence        // ordered by number
	next         jaybarrow.Occurrence // the lowest one that was never opened; lower ones that are not open are done
	dueIndex     int                  // in Pool.due
	tasksLeft    int                  // tasks that are not done
	runs         int                  // runs that may exist on workers
	begun        int                  // tasks that were assigned and are not done
	mostFailures int                  // of any task
	started      bool                 // whether a run was ever assigned
	cancelled    bool
	accepted     time.Time
	since        time.Time     // from which the target counts: the acceptance, or the caller's first attempt
	targetTime   time.Time     // when the job should be completed to meet the queue's target
	work         float64       // estimated core-seconds of the whole job
	wholePath    time.Duration // estimated time of the longest chain of steps
	criticalPath time.Duration // the same for the steps that are not done
	change       changeNumber  // the last one
	storedChange changeNumber  // the last one that the store holds
	writtenIn    roundNumber   // the round in progress that writes the record; 0 when none does
	dispatch     time.Duration // of each step in dispatchPath; 0 when that is not known
	dispatchPath time.Duration // criticalPath with the dispatch of each step
	order        placementOrder
	ordered      bool // whether the job was ever ordered in a divided pool
	promised     bool // whether its team was not limited when the job was first ordered in a divided pool
}

// occurrence is one run of all steps of a job.
type occurrence struct {
	number jaybarrow.Occurrence
	steps  []*step // by index
}

// step is a step of an open occurrence. It keeps those of its tasks that have begun and are not done.
type step struct {
	job        *job
	occurrence *occurrence
	spec       *jaybarrow.Step
	index      jaybarrow.StepIndex
	tasks      []*task                // below next and not done, and done ones with a run that has not ended; ordered by index
	next       jaybarrow.TaskIndex    // tasks from this one on have not begun
	tasksLeft  int                    // tasks that are not done
	unassigned int                    // tasks that are neither done nor assigned
	advice     *stepAdvice            // nil before the adviser is asked
	passed     []jaybarrow.Checkpoint // the last ones of a gang, so that a late report does not set it back
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
	listedEnd   jaybarrow.RunNumber // the last run whose end was listed by its worker; 0 when there is none
	failures    int
	checkpoint  jaybarrow.Checkpoint
	current     *run
	avoidWorker jaybarrow.WorkerID // where the last run failed or stalled
	doneBefore  bool               // a run that was given up turned out to have completed the task
	stray       bool               // stands for a run that is not the task's current one; its job and its step do not keep it
}

func newJob(spec *jaybarrow.Job, policy jaybarrow.QueuePolicy) *job {
	j := &job{
		spec: spec, state: jaybarrow.JobPending, storedState: jaybarrow.JobPending, dueIndex: heap.Absent,
		accepted: time.UnixMilli(spec.AcceptedMs), tasksLeft: tasksPerOccurrence(spec) * spec.Occurrences(),
	}
	j.since = j.accepted
	for i := range spec.Steps {
		s := &spec.Steps[i]
		j.work += float64(s.Tasks) * s.Demand.CPU.Cores() * s.Estimate().Seconds()
	}
	j.setPolicy(policy)
	j.criticalPath = j.wholePath
	return j
}

// tasksPerOccurrence returns the number of tasks of all steps.
func tasksPerOccurrence(spec *jaybarrow.Job) int {
	n := 0
	for i := range spec.Steps {
		n += spec.Steps[i].Tasks
	}
	return n
}

// setPolicy replaces the policy by which the job is scheduled.
func (j *job) setPolicy(policy jaybarrow.QueuePolicy) {
	j.policy = policy
	j.wholePath = j.longestPath(0, func(int) bool { return true })
	j.setTarget()
}

// setTarget computes the target time from the policy.
func (j *job) setTarget() {
	j.targetTime = j.since.Add(time.Duration(j.policy.Stretch*float64(j.wholePath)) + j.policy.Target)
}

// steps yields the steps of the open occurrences, in their order.
func (j *job) steps() iter.Seq[*step] {
	return func(yield func(*step) bool) {
		for _, o := range j.open {
			for _, s := range o.steps {
				if !yield(s) {
					return
				}
			}
		}
	}
}

// tasks yields the tasks that are kept, in their order.
func (j *job) tasks() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for s := range j.steps() {
			for _, t := range s.tasks {
				if !yield(t) {
					return
				}
			}
		}
	}
}

// step returns a step of an open occurrence; nil when there is none of that name.
func (j *job) step(k jaybarrow.Occurrence, i jaybarrow.StepIndex) *step {
	n, found := slices.BinarySearchFunc(j.open, k, func(o *occurrence, k jaybarrow.Occurrence) int { return cmp.Compare(o.number, k) })
	if !found || i < 0 || int(i) >= len(j.open[n].steps) {
		return nil
	}
	return j.open[n].steps[i]
}

// hasUnassigned reports whether a task that is due, or whose occurrence has begun, is neither done nor assigned.
func (j *job) hasUnassigned(now time.Time) bool {
	if j.tasksLeft == 0 {
		return false
	}
	for s := range j.steps() {
		if s.unassigned > 0 {
			return true
		}
	}
	return j.dueUnopened(now) > 0
}

// task returns a task that is kept; nil when the job keeps none of that name.
func (j *job) task(ref jaybarrow.TaskRef) *task {
	s := j.step(ref.Occurrence, ref.Step)
	if s == nil {
		return nil
	}
	if n, found := s.find(ref.Index); found {
		return s.tasks[n]
	}
	return nil
}

// has reports whether the reference names a task of the job.
func (j *job) has(ref jaybarrow.TaskRef) bool {
	return ref.Occurrence >= 0 && int(ref.Occurrence) < j.spec.Occurrences() && ref.Step >= 0 && int(ref.Step) < len(j.spec.Steps) &&
		ref.Index >= 0 && int(ref.Index) < j.spec.Steps[ref.Step].Tasks
}

// strayTask returns a task for a run that is not the task's current one. It is marked as done, so that it is never started.
func (j *job) strayTask(ref jaybarrow.TaskRef) *task {
	return &task{ref: ref, done: true, stray: true, step: j.newOccurrence(ref.Occurrence).steps[ref.Step]}
}

// longestPath returns the estimated time of the longest chain of those steps that count, each with its dispatch; a step only comes after steps of
// lower index.
func (j *job) longestPath(delay time.Duration, counts func(i int) bool) time.Duration {
	steps := j.spec.Steps
	ends := make([]time.Duration, len(steps))
	var longest time.Duration
	for i := range steps {
		for _, dependency := range steps[i].After {
			ends[i] = max(ends[i], ends[dependency])
		}
		if counts(i) {
			ends[i] += dispatch.Path(j.policy.StepTime(&steps[i]), 1, delay)
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// updateCriticalPath computes the longest chain of steps that are not done.
func (j *job) updateCriticalPath() {
	j.criticalPath, j.dispatch = j.pathOfStepsLeft(0), 0
}

// pathOfStepsLeft returns the estimated time of the longest chain of steps that are not done, each with its dispatch.
func (j *job) pathOfStepsLeft(delay time.Duration) time.Duration {
	if int(j.next) < j.spec.Occurrences() {
		if delay == 0 {
			return j.wholePath
		}
		return j.longestPath(delay, func(int) bool { return true })
	}
	var longest time.Duration
	for _, o := range j.open {
		longest = max(longest, j.longestPath(delay, func(i int) bool { return o.steps[i].tasksLeft > 0 }))
	}
	return longest
}

// pathLeft returns the job's critical path with the dispatch of each step.
func (j *job) pathLeft(delay time.Duration) time.Duration {
	if delay == 0 {
		return j.criticalPath
	}
	if j.dispatch != delay {
		j.dispatch, j.dispatchPath = delay, j.pathOfStepsLeft(delay)
	}
	return j.dispatchPath
}

// newOccurrence returns an occurrence whose tasks have not begun.
func (j *job) newOccurrence(k jaybarrow.Occurrence) *occurrence {
	o := &occurrence{number: k, steps: make([]*step, len(j.spec.Steps))}
	steps := make([]step, len(o.steps)) // in one piece, since a job may have many
	for i := range steps {
		spec := &j.spec.Steps[i]
		steps[i] = step{job: j, occurrence: o, spec: spec, index: jaybarrow.StepIndex(i), tasksLeft: spec.Tasks, unassigned: spec.Tasks}
		o.steps[i] = &steps[i]
	}
	return o
}

// begun reports whether a task of the occurrence has begun.
func (o *occurrence) begun() bool {
	return slices.ContainsFunc(o.steps, func(s *step) bool { return s.next > 0 })
}

// closed reports whether all tasks of the occurrence are done and no run of them is left.
func (o *occurrence) closed() bool {
	return !slices.ContainsFunc(o.steps, func(s *step) bool { return s.tasksLeft > 0 || len(s.tasks) > 0 })
}

// ready reports whether the step's tasks may start now. An open occurrence may be due later all the same, since clocks are set back.
func (s *step) ready(now time.Time) bool {
	return !now.Before(s.job.dueTime(s.occurrence.number)) && !slices.ContainsFunc(s.spec.After, func(dependency jaybarrow.StepIndex) bool { return s.occurrence.steps[dependency].tasksLeft > 0 })
}

// find returns the position in tasks of the task with the index, or where it belongs.
func (s *step) find(index jaybarrow.TaskIndex) (position int, found bool) {
	return slices.BinarySearchFunc(s.tasks, index, func(t *task, index jaybarrow.TaskIndex) int { return cmp.Compare(t.ref.Index, index) })
}

// idle returns how many tasks of the step are not kept, since they have not begun.
func (s *step) idle() int { return s.spec.Tasks - int(s.next) }

// newTask returns the next task that has not begun; keep adds it to the step.
func (s *step) newTask() *task {
	return &task{step: s, ref: jaybarrow.TaskRef{Job: s.job.spec.ID, Occurrence: s.occurrence.number, Step: s.index, Index: s.next}}
}

// keep adds the task that newTask returned last.
func (s *step) keep(t *task) {
	s.tasks = append(s.tasks, t)
	s.next++
}

// dropIdle drops the last tasks that are kept although they have not begun.
func (s *step) dropIdle() {
	for n := len(s.tasks); n > 0 && s.tasks[n-1].idle() && s.tasks[n-1].ref.Index == s.next-1; n-- {
		s.tasks[n-1] = nil
		s.tasks = s.tasks[:n-1]
		s.next--
	}
}

// idle reports whether nothing is known of the task, as of one that has not begun.
func (t *task) idle() bool {
	return !t.done && t.run == 0 && t.current == nil && t.failures == 0 && t.checkpoint == ""
}

// markDone marks the task as done.
func (t *task) markDone() {
	if !t.done {
		t.setDone()
		t.dropDone()
	}
}

// setDone marks the task as done and keeps it for the sake of its run.
func (t *task) setDone() {
	t.step.job.begun -= t.begun(t.run)
	t.done = true
	t.step.tasksLeft--
	t.step.unassigned--
	t.step.job.tasksLeft--
}

// dropDone drops the task if it is done and its run has ended, and its occurrence with the last task.
func (t *task) dropDone() {
	if !t.done || t.current != nil {
		return
	}
	s := t.step
	if n, found := s.find(t.ref.Index); found && s.tasks[n] == t {
		s.tasks = slices.Delete(s.tasks, n, n+1)
	}
	if s.tasksLeft == 0 && s.occurrence.closed() {
		s.job.open = slices.DeleteFunc(s.job.open, func(o *occurrence) bool { return o == s.occurrence })
	}
}
