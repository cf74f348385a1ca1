package jaybarrow

import (
	"context"
	"time"
)

// Page is a part of a list, in the order of its keys. The pages of a list are no snapshot: changes after the revision of the first page
// may or may not be in the later ones.
type Page[T any] struct {
	Items    []T
	Revision Revision // of the store when the page was read
	Next     Key      // the next page follows this key; empty on the last page
}

// WorkerChange is one change of the register.
type WorkerChange struct {
	ID     WorkerID
	Worker *Worker // nil when the entry was removed or names no usable worker
}

// Register is the list in which workers register themselves.
type Register interface {
	// Workers returns a page of the entries that follow the key after, which is empty at the beginning of the list.
	Workers(ctx context.Context, after Key) (Page[WorkerChange], error)
	// WorkerChanges waits up to wait for changes after the revision, with the errors of JobStore.Changes.
	WorkerChanges(ctx context.Context, after Revision, wait time.Duration) ([]WorkerChange, Revision, error)
}

// OperatorInput holds what operators have written.
type OperatorInput struct {
	Configuration *Configuration // nil when there is no new one
	Waves         []Wave
	Evacuations   []EvacuationChange // in the order in which they were written
}

// EvacuationChange is the begin or the end of the evacuation of a data centre. In a list every evacuation in force has one.
type EvacuationChange struct {
	DataCentre DataCentreID
	Ended      bool
}

// WaveState is the state of a wave that operators see.
type WaveState string

// The states of a wave.
const (
	WaveRunning   WaveState = "running"
	WaveCompleted WaveState = "completed"
)

// WaveStatus is the status of a wave that operators see.
type WaveStatus struct {
	State   WaveState
	Waiting map[HostID]DrainObstacle // hosts that could not be emptied when it was last tried
}

// Operators reads what operators write, and reports the state of waves to them.
type Operators interface {
	// List returns a page of the newest configuration, all waves and all evacuations, with one item for its entries; after is empty at the
	// beginning of the list.
	List(ctx context.Context, after Key) (Page[OperatorInput], error)
	// Changes waits up to wait for changes after the revision, with the errors of JobStore.Changes.
	Changes(ctx context.Context, after Revision, wait time.Duration) (OperatorInput, Revision, error)
	// ReportWave reports the status of a wave to operators. It returns KindConflict, and reports nothing, when the leader's record has another
	// revision, so that a report which is carried out late cannot replace one of a later leader.
	ReportWave(ctx context.Context, wave WaveID, status WaveStatus, leader Revision) error
}

// JobStatus is the scheduler's information about a job.
type JobStatus struct {
	Known bool // false when there is no such job; the other fields are then empty
	State JobState
	Team  TeamID
}

// JobDirectory answers queries about the jobs of the fleet.
type JobDirectory interface {
	// JobStatus returns the stored state of a job, or KindPeerLost when no scheduler can be asked.
	JobStatus(ctx context.Context, id JobID) (JobStatus, error)
	// JobsWaiting returns the number of jobs of the queue that have not started a task.
	JobsWaiting(ctx context.Context, queue QueueID) (int, error)
	// Admit decides whether a job should be handed in now, or KindPeerLost when no scheduler can be asked.
	Admit(ctx context.Context, r AdmissionRequest) (Admission, error)
}
