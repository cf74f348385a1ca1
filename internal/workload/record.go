package workload

import (
	"encoding/json"

	"github.com/jaybarrow/jaybarrow"
)

// Record is the stored progress of a job.
type Record struct {
	State   jaybarrow.JobState `json:"state"`
	EndedMs int64              `json:"endedMs,omitempty"` // wall clock; 0 while the job has not ended
	// Tasks are the tasks by occurrence, step and index, up to the last one that has begun; empty with Progress and once the job has ended.
	Tasks []TaskRecord `json:"tasks,omitempty"`
	// Progress is nil when Tasks holds the progress. Of a job that has ended it holds the tasks with runs that may exist, and is nil after
	// the last of them.
	Progress *Progress `json:"progress,omitempty"`
}

// Progress is the progress of a job by marks: of tasks that are done nothing is kept.
type Progress struct {
	Next jaybarrow.Occurrence `json:"next"`           // occurrences from this one on have not begun
	Open []OccurrenceRecord   `json:"open,omitempty"` // the lower ones that are not done
}

// OccurrenceRecord is the stored progress of an occurrence that is not done. A record may hold thousands of them, so their names are short.
type OccurrenceRecord struct {
	Number jaybarrow.Occurrence  `json:"k"`
	Next   []jaybarrow.TaskIndex `json:"n,omitempty"`     // by step: tasks from this one on have not begun; 0 for steps beyond the list
	Tasks  []OpenTask            `json:"tasks,omitempty"` // the lower ones that are not done or may still run
}

// OpenTask is the stored progress of a task of an occurrence that is not done.
type OpenTask struct {
	Step  jaybarrow.StepIndex `json:"step,omitempty"`
	Index jaybarrow.TaskIndex `json:"index,omitempty"`
	TaskRecord
}

// TaskRecord is the stored progress of a task; of one that is done only a run is kept that may still exist.
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

// JobRecord is a job's record that is to be written.
type JobRecord struct {
	Job    jaybarrow.JobID
	Record Record
	// Accepted replaces the accepted job of an ended one: without specification and steps, which nobody needs any more and which a new
	// scheduler would have to read. Nil while the job has not ended or has runs that may exist.
	Accepted *jaybarrow.Job
	// ByTasks holds the steps of a job whose progress is to be stored by tasks; nil when it is stored by marks.
	ByTasks []jaybarrow.Step
}

// Encode returns the stored form of the record.
func (r JobRecord) Encode() ([]byte, error) {
	if r.ByTasks == nil {
		return r.Record.Encode()
	}
	return r.encodeByTasks()
}

// acceptedStub returns what is kept of the accepted job once it has ended and no run of it is left; nil before. A successor needs the steps to
// know what the runs use.
func (j *job) acceptedStub() *jaybarrow.Job {
	if !j.state.Ended() || j.runs > 0 {
		return nil
	}
	stub := *j.spec
	stub.Spec, stub.Steps, stub.Recurrence, stub.Policy = "", nil, nil, nil
	return &stub
}
