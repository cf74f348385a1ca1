package jaybarrow

import (
	"context"
	"time"
)

// WorkerChange is one change of the register.
type WorkerChange struct {
	ID     WorkerID
	Worker *Worker // nil: removed, or an entry that names no usable worker
}

// Register is the list in which workers register themselves.
type Register interface {
	// Workers returns all usable entries and the revision to follow changes from.
	Workers(ctx context.Context) ([]WorkerChange, Revision, error)
	// WorkerChanges waits up to wait for changes after the revision, with the errors of JobStore.Changes.
	WorkerChanges(ctx context.Context, after Revision, wait time.Duration) ([]WorkerChange, Revision, error)
}

// OperatorInput is what operators have written.
type OperatorInput struct {
	Configuration *Configuration // nil: no new one
	Waves         []Wave
}

// WaveState is what operators are told of a wave.
type WaveState string

// The states of a wave.
const (
	WaveRunning   WaveState = "running"
	WaveCompleted WaveState = "completed"
)

// Operators is where operators write configurations and waves, and read what became of them.
type Operators interface {
	// List returns the newest configuration and all waves, and the revision to follow changes from.
	List(ctx context.Context) (OperatorInput, Revision, error)
	// Changes waits up to wait for changes after the revision, with the errors of JobStore.Changes.
	Changes(ctx context.Context, after Revision, wait time.Duration) (OperatorInput, Revision, error)
	// ReportWave tells operators the state of a wave.
	ReportWave(ctx context.Context, wave WaveID, state WaveState) error
}

// JobStatus is what the scheduler knows of a job.
type JobStatus struct {
	Known bool
	State JobState
	Team  TeamID
}

// JobDirectory answers for the jobs of the fleet.
type JobDirectory interface {
	// JobStatus returns the stored state of a job; peerLost when no scheduler can be asked.
	JobStatus(ctx context.Context, id JobID) (JobStatus, error)
	// JobsWaiting returns how many jobs of the queue have started no task.
	JobsWaiting(ctx context.Context, queue QueueID) (int, error)
}
