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

// WorkerStatus is a worker's own report; its figures lag.
type WorkerStatus struct {
	Clock    WorkerClock `json:"clock"`
	Draining bool        `json:"draining"`
	Running  []TaskID    `json:"running"`
	Capacity Demand      `json:"capacity"`
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
	// SetDraining tells the worker to refuse, or again accept, new tasks.
	SetDraining(ctx context.Context, host Host, draining bool) error
	// Checkpoint asks the worker to checkpoint and end the task, if the task can be resumed.
	Checkpoint(ctx context.Context, host Host, task TaskID) error
}
