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

// WorkerStatus is a worker's own report; the running tasks lag.
type WorkerStatus struct {
	Clock         WorkerClock `json:"clock"`
	Draining      bool        `json:"draining"`
	DrainingSince WorkerClock `json:"drainingSince,omitempty"`
	Running       []TaskID    `json:"running"`
	RunningAt     WorkerClock `json:"runningAt"` // when the tasks in Running ran
	Capacity      Demand      `json:"capacity"`
}

// Empty reports whether the worker refuses new tasks and runs none; a list of running tasks from before it refused new ones
// does not count.
func (s WorkerStatus) Empty() bool {
	return s.Draining && s.RunningAt >= s.DrainingSince && len(s.Running) == 0
}

// Workers runs tasks on workers.
type Workers interface {
	// Run starts the task and waits for its whole answer, renewing the lease. An error's effect says whether the task
	// ran; after mayHaveRun the task may still be running until AwaitEnd returns.
	Run(ctx context.Context, host Host, task Task) ([]byte, error)
	// AwaitEnd returns when the task is known to have ended: the worker said so, or its lease has ended.
	AwaitEnd(host Host, task Task)
	// Status asks the worker for its report.
	Status(ctx context.Context, host Host) (WorkerStatus, error)
	// SetDraining tells the worker to refuse, or again accept, new tasks. fence is the store's revision of the drains that the
	// command follows from; a worker refuses a command older than one that it has taken, with KindConflict.
	SetDraining(ctx context.Context, host Host, draining bool, fence Revision) error
	// Checkpoint asks the worker to checkpoint and end the task, if the task can be resumed.
	Checkpoint(ctx context.Context, host Host, task TaskID) error
}
