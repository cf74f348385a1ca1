package jaybarrow

import (
	"context"
	"time"
)

// WorkerState is a worker's own word in the register.
type WorkerState string

// The states of a worker.
const (
	WorkerReady    WorkerState = "ready"
	WorkerDraining WorkerState = "draining"
)

// Worker is a worker's entry in the register.
type Worker struct {
	ID         WorkerID
	Pool       PoolID
	Address    Address
	DataCentre DataCentreID
	State      WorkerState
	Capacity   Resources
	Rack       RackID
	Labels     []Label // the rack's name among them
	StartedMs  int64   // wall clock of the process's start; a worker may start again under its id
}

// StartOrder tells a worker to start one run of a task.
type StartOrder struct {
	Task       TaskRef
	Run        RunNumber
	Spec       string
	Fence      FenceToken
	Expires    WorkerClock // end of the lease of everything that runs on the worker
	Checkpoint Checkpoint
	Ticket     Ticket // permission of the adviser, where the queue has one
}

// StartOutcome is a worker's answer to a StartOrder.
type StartOutcome string

// The answers to a StartOrder.
const (
	StartDone         StartOutcome = "started"
	StartFenced       StartOutcome = "fenced"    // the worker has seen a higher fence
	StartStale        StartOutcome = "old"       // a run of that number or a higher one was there and has ended
	StartLeaseExpired StartOutcome = "late"      // the lease had ended when the order arrived
	StartNoCapacity   StartOutcome = "noRoom"    // does not fit
	StartNoTicket     StartOutcome = "noTicket"  // the ticket is missing, wrong or too old
	StartUnhealthy    StartOutcome = "unhealthy" // the worker has done nothing
	StartInvalid      StartOutcome = "invalid"   // the worker rejects the order itself
	StartReplaced     StartOutcome = "replaced"  // another life of a worker answers at the address
	StartUnknown      StartOutcome = "unknown"   // no answer: the run may have begun, or may begin later
)

// EndKind is how a run ended.
type EndKind string

// The ends of a run.
const (
	EndDone            EndKind = "done"
	EndFailed          EndKind = "failed"
	EndStopped         EndKind = "stopped"
	EndLeaseExpired    EndKind = "lapsed" // the worker's lease ended
	EndGangMemberEnded EndKind = "broken" // another task of the gang ended
	EndGangIncomplete  EndKind = "alone"  // the rest of the gang did not come
)

// EndNumber numbers the ends that one life of a worker lists, from 1.
type EndNumber int64

// RunReport is a running task in a worker's report.
type RunReport struct {
	Task       TaskRef
	Run        RunNumber
	Checkpoint Checkpoint
	Progress   Percent
	// Gauge is the tail latency in ms of a task with a latency bound, and the millicores in use of any other one.
	Gauge int64
}

// EndReport is an ended run in a worker's report; it is repeated until it is acknowledged.
type EndReport struct {
	Number     EndNumber
	Task       TaskRef
	Run        RunNumber
	Kind       EndKind
	Checkpoint Checkpoint
}

// HoldOrder extends a worker's lease, acknowledges ends and asks for a report.
type HoldOrder struct {
	Fence        FenceToken
	Expires      WorkerClock // 0: leaves the lease as it is
	Acknowledged EndNumber   // ends up to it are stored
	Wait         time.Duration
}

// HoldReport is what runs on a worker and what has ended there.
type HoldReport struct {
	Clock     WorkerClock
	StartedMs int64
	Running   []RunReport
	Ended     []EndReport
}

// Agents gives orders to workers. An error of kind workerLost means that the order may have been carried out or may still be;
// conflict means that the worker has seen a higher fence, and notFound that another life of a worker answers at the address.
type Agents interface {
	// Start tells the worker to start a run.
	Start(ctx context.Context, worker Worker, order StartOrder) (StartOutcome, error)
	// Stop ends a run, or makes sure that the worker will refuse it.
	Stop(ctx context.Context, worker Worker, task TaskRef, run RunNumber, fence FenceToken) error
	// Hold waits up to order.Wait for an end and returns the worker's report.
	Hold(ctx context.Context, worker Worker, order HoldOrder) (HoldReport, error)
	// Poll is Hold for an order that does not wait, beside one that does.
	Poll(ctx context.Context, worker Worker, order HoldOrder) (HoldReport, error)
	// Throttle lets a run work at the share from soon after the answer.
	Throttle(ctx context.Context, worker Worker, task TaskRef, run RunNumber, share Percent, fence FenceToken) error
	// Disconnect closes the connections to a worker that has gone.
	Disconnect(worker Worker)
}

// Ticket is an adviser's permission for the tasks of one step on one worker.
type Ticket string

// StepRef names a step of one occurrence of a job.
type StepRef struct {
	Job        JobID
	Occurrence Occurrence
	Step       StepIndex
}

// Advice is an adviser's answer.
type Advice struct {
	Tickets map[WorkerID]Ticket // the workers that may run the step
	Valid   time.Duration
}

// Adviser says which workers may run a step, for queues that have such a policy.
type Adviser interface {
	// Advise asks about some workers; KindQueueFull means that too many calls wait.
	Advise(ctx context.Context, step StepRef, workers []WorkerID) (Advice, error)
}

// FleetHostState is the platform's word on a host of the fleet.
type FleetHostState string

// The states of a host of the fleet.
const (
	FleetHostUp          FleetHostState = "up"
	FleetHostMoving      FleetHostState = "moving"
	FleetHostMaintenance FleetHostState = "upkeep"
	FleetHostDown        FleetHostState = "down"
)

// FleetHost is a host in the platform's list; its worker changes with each move and reboot.
type FleetHost struct {
	ID         HostID
	Pool       PoolID
	State      FleetHostState
	DataCentre DataCentreID
	Rack       RackID
	Labels     []Label
	Capacity   Resources
	Worker     WorkerID // empty while it has none
}

// FleetOrderOutcome is the platform's answer to an order for a host.
type FleetOrderOutcome string

// The answers to an order for a host.
const (
	FleetOrderDone    FleetOrderOutcome = "done" // carried out now or before
	FleetOrderFenced  FleetOrderOutcome = "fenced"
	FleetOrderBusy    FleetOrderOutcome = "busy" // the host is not up, or is leaving
	FleetOrderNotDue  FleetOrderOutcome = "notDue"
	FleetOrderInvalid FleetOrderOutcome = "invalid"
)

// Fleet lists the hosts of the fleet and gives the platform orders for them. An order ends all that runs on the host at once.
// An error of kind storeUnavailable means that the order may have been carried out; queueFull, that it was not.
type Fleet interface {
	// Hosts returns every host.
	Hosts(ctx context.Context) ([]FleetHost, error)
	// Move takes a host to another pool.
	Move(ctx context.Context, host HostID, pool PoolID, fence FenceToken) (FleetOrderOutcome, error)
	// Maintain begins a host's maintenance in a wave.
	Maintain(ctx context.Context, host HostID, wave WaveID, fence FenceToken) (FleetOrderOutcome, error)
}

// WaveID numbers the maintenance waves that operators ask for.
type WaveID int64

// Wave is an operator's request that each of its hosts is maintained in time.
type Wave struct {
	ID     WaveID
	Hosts  []HostID
	Within time.Duration // from when the wave was written
	AtOnce int           // hosts that may be in maintenance at once
}
