package workload

import (
	"encoding/json"

	"github.com/jaybarrow/jaybarrow"
)

// Record is what is stored of a job's progress.
type Record struct {
	State   jaybarrow.JobState `json:"state"`
	EndedMs int64              `json:"endedMs,omitempty"` // wall clock; 0 while the job has not ended
	Tasks   []TaskRecord       `json:"tasks,omitempty"`   // by occurrence, step and index; empty once the job has ended
}

// TaskRecord is what is stored of a task's progress.
type TaskRecord struct {
	Done     bool                 `json:"done,omitempty"`
	Run      jaybarrow.RunNumber  `json:"run,omitempty"`    // the last run that was assigned
	Worker   jaybarrow.WorkerID   `json:"worker,omitempty"` // where that run may be; empty when it has ended
	BornMs   int64                `json:"bornMs,omitempty"` // the life of that worker
	Failures int                  `json:"failures,omitempty"`
	Saved    jaybarrow.Checkpoint `json:"saved,omitempty"`
}

// Encode returns the stored form.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord reads the stored form.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(data, &r)
	return r, err
}

func (j *job) record() Record {
	if j.state.Ended() {
		return Record{State: j.state, EndedMs: j.endedMs}
	}
	r := Record{State: j.state}
	j.each(func(t *task) {
		s := TaskRecord{Done: t.done, Run: t.run, Failures: t.failures, Saved: t.saved}
		if t.current != nil {
			s.Worker, s.BornMs = t.current.worker.entry.ID, t.current.bornMs
		}
		r.Tasks = append(r.Tasks, s)
	})
	return r
}
