package workload

import (
	"encoding/json"

	"github.com/jaybarrow/jaybarrow"
)

// Record is the stored progress of a job.
type Record struct {
	State   jaybarrow.JobState `json:"state"`
	EndedMs int64              `json:"endedMs,omitempty"` // wall clock; 0 while the job has not ended
	Tasks   []TaskRecord       `json:"tasks,omitempty"`   // by occurrence, step and index; empty once the job has ended
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
	r := Record{State: j.state}
	j.eachTask(func(t *task) {
		if t.done {
			r.Tasks = append(r.Tasks, TaskRecord{Done: true})
			return
		}
		s := TaskRecord{Run: t.run, Failures: t.failures, Checkpoint: t.checkpoint}
		if t.current != nil {
			s.Worker, s.InstanceStartMs = t.current.worker.entry.ID, t.current.instanceStartMs
		}
		r.Tasks = append(r.Tasks, s)
	})
	return r
}
