package jaybarrow

import (
	"context"
	"time"
)

// WorkerState is the state that a worker reports in the register.
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
	Labels     []Label // includes the rack's name
	StartedMs  int64   // wall clock of the process's start; a restarted process may keep the worker's id
	// ColdLeft is how much longer the worker is slow after its start, from when the entry was received.
	ColdLeft time.Duration
}

// StartOrder is an order to a worker to start one run of a task.
type StartOrder struct {
	Task       TaskRef
	Run        RunNumber
	Spec       string
	Fence      FenceToken
	Expires    WorkerClock // end of the lease that covers all runs on the worker
	Checkpoint Checkpoint
	Ticket     Ticket // permission from the adviser; empty when the queue has none
}

// StartOutcome is a worker's answer to a StartOrder.
type StartOutcome string

// The answers to a StartOrder.
const (
	StartDone         StartOutcome = "started"
	StartFenced       StartOutcome = "fenced"    // the worker has seen a higher fencing token
	StartStale        StartOutcome = "old"       // this run or a later one of the task has already ended on the worker
	StartLeaseExpired StartOutcome = "late"      // the lease had expired when the order arrived
	StartNoCapacity   StartOutcome = "noRoom"    // the run does not fit
	StartNoTicket     StartOutcome = "noTicket"  // the ticket is missing, wrong or expired
	StartUnhealthy    StartOutcome = "unhealthy" // the worker cannot be reached or is overloaded; the order had no effect
	StartInvalid      StartOutcome = "invalid"   // the worker rejected the order as invalid
	StartReplaced     StartOutcome = "replaced"  // a worker with another id answers at the address
	StartUnknown      StartOutcome = "unknown"   // no answer: the run may have started or may still start
	StartWithheld     StartOutcome = "withheld"  // not sent: the worker's data centre is being evacuated, or whether it is has not been read lately
)

// StartAnswer is a worker's answer to a StartOrder with the reading of its clock, which is 0 when the answer has none.
type StartAnswer struct {
	Outcome StartOutcome
	Clock   WorkerClock
}

// EndKind is how a run ended.
type EndKind string

// The ends of a run.
const (
	EndDone            EndKind = "done"
	EndFailed          EndKind = "failed"
	EndStopped         EndKind = "stopped"
	EndLeaseExpired    EndKind = "lapsed" // the worker's lease expired
	EndGangMemberEnded EndKind = "broken" // another task of the gang ended
	EndGangIncomplete  EndKind = "alone"  // the other tasks of the gang did not start
)

// EndNumber numbers the ended runs that one worker process reports, from 1.
type EndNumber int64

// RunReport is a running task in a worker's report.
type RunReport struct {
	Task       TaskRef
	Run        RunNumber
	Checkpoint Checkpoint
	Progress   Percent
	// Gauge is the tail latency in ms of a task with a latency bound, and the CPU use in millicores of any other task.
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

// HoldOrder renews a worker's lease, acknowledges ended runs and asks for a report.
type HoldOrder struct {
	Fence        FenceToken
	Expires      WorkerClock   // 0 leaves the lease as it is
	Acknowledged EndNumber     // ended runs up to this number are stored
	Wait         time.Duration // how long the worker may wait for a run to end before it answers
}

// HoldReport lists the runs on a worker and those that have ended there.
type HoldReport struct {
	Clock     WorkerClock
	StartedMs int64 // wall clock of the process's start; 0 when unknown
	Running   []RunReport
	Ended     []EndReport
}

// Agents sends orders to workers. A call ends by the deadline of its context, which need not be cancelled then. A KindWorkerLost error means
// that the order may have been or may still be carried out, KindConflict that the worker has seen a higher fencing token, and KindNotFound that
// a worker with another id answers at the address.
type Agents interface {
	// Start orders the worker to start a run; the error explains an outcome other than StartDone.
	Start(ctx context.Context, worker Worker, order StartOrder) (StartAnswer, error)
	// Stop ends a run, or makes the worker refuse the run if its start arrives later.
	Stop(ctx context.Context, worker Worker, task TaskRef, run RunNumber, fence FenceToken) error
	// Hold renews the lease and returns the worker's report, waiting up to order.Wait for a run to end.
	Hold(ctx context.Context, worker Worker, order HoldOrder) (HoldReport, error)
	// Poll is Hold for an order that does not wait; it may be called while a Hold waits.
	Poll(ctx context.Context, worker Worker, order HoldOrder) (HoldReport, error)
	// Throttle sets the share of its full speed at which a run works; the change takes effect shortly after the answer.
	Throttle(ctx context.Context, worker Worker, task TaskRef, run RunNumber, share Percent, fence FenceToken) error
	// Disconnect closes the connections to a worker that was removed.
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
	Valid   time.Duration       // validity of the tickets from the time of the answer
}

// AdviceOutcome is how a call to an adviser ended.
type AdviceOutcome string

// The ends of a call to an adviser.
const (
	AdviceAnswered AdviceOutcome = "answered"
	AdviceFailed   AdviceOutcome = "failed" // by an error or a lost connection
	AdviceLost     AdviceOutcome = "lost"   // it was given up, since no answer can come any more
)

// Adviser decides which workers may run a step, for queues with such a policy. It decides on one call of a host at a time, in turn.
type Adviser interface {
	// Advise asks about workers. It has no time limit and blocks until the answer, an error or the end of ctx, at which the adviser is told that
	// the caller has gone. KindQueueFull means that too many calls are waiting, KindPeerLost that there was no answer that can be used.
	Advise(ctx context.Context, step StepRef, workers []WorkerID) (Advice, error)
}

// FleetHostState is the state that the platform reports for a host of the fleet.
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
	Worker     WorkerID // empty while the host has no worker
}

// FleetOrderOutcome is the platform's answer to an order for a host.
type FleetOrderOutcome string

// The answers to an order for a host.
const (
	FleetOrderDone    FleetOrderOutcome = "done" // carried out by this order or an earlier one
	FleetOrderFenced  FleetOrderOutcome = "fenced"
	FleetOrderBusy    FleetOrderOutcome = "busy" // the host is not up, or is leaving
	FleetOrderNotDue  FleetOrderOutcome = "notDue"
	FleetOrderInvalid FleetOrderOutcome = "invalid"
)

// Lead is the leadership under which an order for a host is sent.
type Lead struct {
	Fence FenceToken
	// Valid reports whether no other entry host can lead yet. The platform need not check the fence, so whoever sends an order asks right before
	// its last byte, when the order waits for nothing any more.
	Valid func() bool
}

// PageToken names a page of a list of hosts.
type PageToken string

// Fleet lists the hosts of the fleet and sends the platform orders for them. An order ends all runs on the host immediately; it is not sent when
// the lead is not valid any more, and it cannot reach the platform after the deadline of its context. A KindStoreUnavailable error means that the
// order may have been carried out unless its effect says otherwise, KindQueueFull that it was not.
type Fleet interface {
	// Hosts returns a page of the list of hosts and the token of the page that follows, which is empty after the last page. The first
	// page has an empty token.
	Hosts(ctx context.Context, page PageToken) (hosts []FleetHost, next PageToken, err error)
	// Move takes a host to another pool.
	Move(ctx context.Context, host HostID, pool PoolID, lead Lead) (FleetOrderOutcome, error)
	// Maintain starts the maintenance of a host as part of a wave.
	Maintain(ctx context.Context, host HostID, wave WaveID, lead Lead) (FleetOrderOutcome, error)
}

// DrainObstacle is why a host cannot be emptied for its maintenance at present.
type DrainObstacle string

// The obstacles to emptying a host.
const (
	ObstacleNoRoom     DrainObstacle = "noRoom"     // no other worker takes its lasting tasks, and their steps do not allow them to stop together
	ObstacleOthersAway DrainObstacle = "othersAway" // too many other tasks of a lasting step are unavailable or have to move too
	ObstacleNeeded     DrainObstacle = "needed"     // work needs it that no other worker can take
)

// WaveID numbers the maintenance waves that operators ask for.
type WaveID int64

// Wave is an operator's request to maintain a set of hosts within a time limit.
type Wave struct {
	ID     WaveID
	Hosts  []HostID
	Within time.Duration // counted, in each process, from when it first received the wave
	AtOnce int           // largest number of hosts in maintenance at the same time
}
