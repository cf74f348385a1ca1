package jaybarrow

import (
	"context"
	"time"
)

// Task is one attempt to run a request on a worker.
type Task struct {
	ID          TaskID
	Request     RequestID
	Team        TeamID
	Demand      Demand
	Entry       EntryID
	Incarnation Incarnation
	Idempotent  bool
	StartBy     time.Time // local time; the client converts it to the worker's clock
	Body        []byte
}

// WorkerStatus is a worker's status report; Running may lag behind the other fields.
type WorkerStatus struct {
	Clock         WorkerClock `json:"clock"`
	Draining      bool        `json:"draining"`
	DrainingSince WorkerClock `json:"drainingSince,omitempty"`
	Running       []TaskID    `json:"running"`
	RunningAt     WorkerClock `json:"runningAt"` // the time at which Running was correct
	Capacity      Demand      `json:"capacity"`
}

// Empty reports whether the worker refuses new tasks and runs none. A list of running tasks from before it started draining
// does not count, since a task may have started after it.
func (s WorkerStatus) Empty() bool {
	return s.Draining && s.RunningAt >= s.DrainingSince && len(s.Running) == 0
}

// Workers runs tasks on workers.
type Workers interface {
	// Run starts the task and waits for its whole answer, renewing the lease. An error's effect says whether the task
	// ran; after mayHaveRun the task may still be running until AwaitEnd returns.
	Run(ctx context.Context, host Host, task Task) ([]byte, error)
	// AwaitEnd returns when the task is known to have ended: the worker reported its end, or its lease has expired.
	AwaitEnd(host Host, task Task)
	// Status returns the worker's status report.
	Status(ctx context.Context, host Host) (WorkerStatus, error)
	// SetDraining orders the worker to refuse new tasks, or to accept them again. fence is the store revision of the drains
	// that the order is based on; a worker refuses an order older than one that it has accepted, with KindConflict.
	SetDraining(ctx context.Context, host Host, draining bool, fence Revision) error
	// Checkpoint asks the worker to checkpoint and end the task, if the task can be resumed.
	Checkpoint(ctx context.Context, host Host, task TaskID) error
}
