package workload

import (
	"encoding/json"
	"slices"

	"github.com/jaybarrow/jaybarrow"
)

// Record is the stored progress of a job.
type Record struct {
	State   jaybarrow.JobState `json:"state"`
	EndedMs int64              `json:"endedMs,omitempty"` // wall clock; 0 while the job has not ended
	// Tasks are the tasks by occurrence, step and index, up to the last one that has begun; empty once the job has ended.
	Tasks []TaskRecord `json:"tasks,omitempty"`
}

// TaskRecord is the stored progress of a task; of one that is done nothing else is kept.
type TaskRecord struct {
	Done            bool                 `json:"done,omitempty"`
	Run             jaybarrow.RunNumber  `json:"run,omitempty"`    // the last assigned run
	Worker          jaybarrow.WorkerID   `json:"worker,omitempty"` // where that run may exist; empty once it has ended
	InstanceStartMs int64                `json:"bornMs,omitempty"` // the instance of that worker
	Failures        int                  `json:"failures,omitempty"`
	Checkpoint      jaybarrow.Checkpoint `json:"saved,omitempty"`
}

// Encode returns the stored form.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord reads the stored form.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(data, &r)
	return r, err
}

// acceptedStub returns what is kept of the accepted job once it has ended; nil before.
func (j *job) acceptedStub() *jaybarrow.Job {
	if !j.state.Ended() {
		return nil
	}
	stub := *j.spec
	stub.Spec, stub.Steps, stub.Recurrence, stub.Policy = "", nil, nil, nil
	return &stub
}

func (j *job) record() Record {
	if j.state.Ended() {
		return Record{State: j.state, EndedMs: j.endedMs}
	}
	return Record{State: j.state, Tasks: j.taskRecords()}
}

// taskRecords returns the progress of the tasks by occurrence, step and index, up to the last one that has begun.
func (j *job) taskRecords() []TaskRecord {
	var out []TaskRecord
	done, perOccurrence := TaskRecord{Done: true}, tasksPerOccurrence(j.spec)
	for _, o := range j.open {
		out = pad(out, int(o.number)*perOccurrence, done)
		for _, s := range o.steps {
			first := len(out)
			for _, t := range s.tasks {
				out = append(pad(out, first+int(t.ref.Index), done), t.record())
			}
			out = pad(out, first+int(s.next), done)
			out = pad(out, first+s.spec.Tasks, TaskRecord{})
		}
	}
	out = pad(out, int(j.next)*perOccurrence, done)
	return out[:begunLength(out)]
}

// pad appends the record until there are n.
func pad(records []TaskRecord, n int, with TaskRecord) []TaskRecord {
	records = slices.Grow(records, max(0, n-len(records)))
	for len(records) < n {
		records = append(records, with)
	}
	return records
}

// begunLength returns how many records there are up to the last one of a task that has begun.
func begunLength(records []TaskRecord) int {
	n := len(records)
	for n > 0 && records[n-1] == (TaskRecord{}) {
		n--
	}
	return n
}

// record returns the progress of the task.
func (t *task) record() TaskRecord {
	if t.done {
		return TaskRecord{Done: true}
	}
	r := TaskRecord{Run: t.run, Failures: t.failures, Checkpoint: t.checkpoint}
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
	var runs []storedRun
	left := r.Tasks[:begunLength(r.Tasks)]
	for k := 0; k < j.spec.Occurrences() && len(left) > 0; k++ {
		o := j.newOccurrence(jaybarrow.Occurrence(k))
		for _, s := range o.steps {
			n := min(s.spec.Tasks, len(left))
			for _, one := range left[:n] {
				runs = s.restore(one, runs)
			}
			s.dropIdle()
			left = left[n:]
		}
		j.next = o.number + 1
		if !o.closed() {
			j.open = append(j.open, o)
		}
	}
	j.updateCriticalPath()
	return runs
}

// restore applies the stored progress of the step's next task and appends the run that may exist of it.
func (s *step) restore(r TaskRecord, runs []storedRun) []storedRun {
	t := s.newTask()
	s.keep(t)
	t.setRun(r.Run)
	t.failures, t.checkpoint = r.Failures, r.Checkpoint
	s.job.mostFailures = max(s.job.mostFailures, r.Failures)
	s.job.started = s.job.started || r.Run > 0 || r.Done
	switch {
	case r.Done:
		t.markDone()
	case r.Worker != "":
		runs = append(runs, storedRun{t, r})
	}
	return runs
}
