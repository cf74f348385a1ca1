package workload

import (
	"slices"

	"github.com/jaybarrow/jaybarrow"
)

// jobRecord returns what is to be stored of the job, with its progress by marks or by tasks.
func (j *job) jobRecord(byMarks bool) JobRecord {
	out := JobRecord{Job: j.spec.ID, Record: Record{State: j.state, EndedMs: j.endedMs}, Accepted: j.acceptedStub()}
	switch {
	case !j.state.Ended():
		out.Record.Progress = j.progress()
		if !byMarks {
			out.ByTasks = j.spec.Steps
		}
	case j.runs > 0:
		out.Record.Progress = j.progress()
		out.Record.Progress.keepRuns()
	}
	return out
}

// progress returns the progress by marks.
func (j *job) progress() *Progress {
	out := &Progress{Next: j.next}
	for _, o := range j.open {
		r := OccurrenceRecord{Number: o.number}
		for i, s := range o.steps {
			if s.next == 0 {
				continue
			}
			for len(r.Next) < i {
				r.Next = append(r.Next, 0)
			}
			r.Next = append(r.Next, s.next)
			for _, t := range s.tasks {
				r.Tasks = append(r.Tasks, OpenTask{Step: s.index, Index: t.ref.Index, TaskRecord: t.record()})
			}
		}
		out.Open = append(out.Open, r)
	}
	out.dropIdle()
	return out
}

// dropIdle drops the last occurrences that are open although they have not begun.
func (p *Progress) dropIdle() {
	for n := len(p.Open); n > 0 && p.Open[n-1].Next == nil && p.Open[n-1].Number == p.Next-1; n-- {
		p.Open = p.Open[:n-1]
		p.Next--
	}
}

// keepRuns drops all but the tasks with runs that may exist.
func (p *Progress) keepRuns() {
	for n := range p.Open {
		p.Open[n].Tasks = slices.DeleteFunc(p.Open[n].Tasks, func(t OpenTask) bool { return t.Worker == "" })
	}
	p.Open = slices.DeleteFunc(p.Open, func(r OccurrenceRecord) bool { return len(r.Tasks) == 0 })
}

// record returns the progress of the task.
func (t *task) record() TaskRecord {
	r := TaskRecord{Run: t.run, Failures: t.failures, Checkpoint: t.checkpoint}
	if t.done {
		r = TaskRecord{Done: true, Run: t.run}
	}
	if t.current != nil {
		r.Worker, r.InstanceStartMs = t.current.worker.entry.ID, t.current.instanceStartMs
	}
	return r
}

// storedRun is a task with a run that may exist on a worker, as its record says.
type storedRun struct {
	task   *task
	record TaskRecord
}

// restoreProgress applies the stored progress and returns the runs that may exist.
func (j *job) restoreProgress(r Record) []storedRun {
	j.storedState, j.state, j.endedMs = r.State, r.State, r.EndedMs
	if r.Progress != nil {
		return j.restoreMarks(*r.Progress)
	}
	return j.restoreTasks(r.Tasks)
}

// restoreTasks applies the progress by occurrence, step and index.
func (j *job) restoreTasks(left []TaskRecord) []storedRun {
	var runs []storedRun
	left = left[:begunLength(left)]
	for k := 0; k < j.spec.Occurrences() && len(left) > 0; k++ {
		o := j.newOccurrence(jaybarrow.Occurrence(k))
		for _, s := range o.steps {
			n := min(s.spec.Tasks, len(left))
			for _, one := range left[:n] {
				runs = s.restore(one, runs)
			}
			s.endRestore()
			left = left[n:]
		}
		j.addRestored(o)
	}
	j.updateCriticalPath()
	return runs
}

// restoreMarks applies the progress by marks; what the job does not have is left out.
func (j *job) restoreMarks(p Progress) []storedRun {
	var runs []storedRun
	end := min(p.Next, jaybarrow.Occurrence(j.spec.Occurrences()))
	for _, r := range p.Open {
		if r.Number < j.next || r.Number >= end {
			continue
		}
		j.skipTo(r.Number)
		o := j.newOccurrence(r.Number)
		for i, s := range o.steps {
			runs = s.restoreTo(r.mark(i), r.Tasks, runs)
		}
		j.addRestored(o)
	}
	j.skipTo(end)
	j.updateCriticalPath()
	return runs
}

// mark returns the first task of the step that has not begun.
func (r OccurrenceRecord) mark(step int) jaybarrow.TaskIndex {
	if step < len(r.Next) {
		return r.Next[step]
	}
	return 0
}

// skipTo marks the occurrences below k as done.
func (j *job) skipTo(k jaybarrow.Occurrence) {
	if k > j.next {
		j.tasksLeft -= int(k-j.next) * tasksPerOccurrence(j.spec)
		j.next, j.started = k, true
	}
}

// addRestored adds the next occurrence with its stored progress.
func (j *job) addRestored(o *occurrence) {
	j.next = o.number + 1
	if !o.closed() {
		j.open = append(j.open, o)
	}
}

// restoreTo restores the step's tasks below the mark: those that are listed, and the others as done.
func (s *step) restoreTo(mark jaybarrow.TaskIndex, listed []OpenTask, runs []storedRun) []storedRun {
	mark = min(mark, jaybarrow.TaskIndex(s.spec.Tasks))
	for _, one := range listed {
		if one.Step == s.index && one.Index >= s.next && one.Index < mark {
			s.skipTo(one.Index)
			runs = s.restore(one.TaskRecord, runs)
		}
	}
	s.skipTo(mark)
	s.endRestore()
	return runs
}

// endRestore completes the restoration of the step's tasks.
func (s *step) endRestore() {
	s.dropIdle()
	if s.spec.Gang {
		s.alignCheckpoints()
	}
}

// skipTo marks the tasks below the index that have not begun as done.
func (s *step) skipTo(index jaybarrow.TaskIndex) {
	if n := int(index - s.next); n > 0 {
		s.next = index
		s.tasksLeft -= n
		s.unassigned -= n
		s.job.tasksLeft -= n
		s.job.started = true
	}
}

// restore applies the stored progress of the step's next task and appends the run that may exist of it.
func (s *step) restore(r TaskRecord, runs []storedRun) []storedRun {
	if r.Done && r.Worker == "" {
		s.skipTo(s.next + 1)
		return runs
	}
	t := s.newTask()
	s.keep(t)
	t.setRun(r.Run)
	if r.Done {
		t.setDone()
	}
	t.failures, t.checkpoint = r.Failures, r.Checkpoint
	s.job.mostFailures = max(s.job.mostFailures, r.Failures)
	s.job.started = s.job.started || r.Run > 0
	if r.Worker != "" {
		runs = append(runs, storedRun{t, r})
	}
	return runs
}
