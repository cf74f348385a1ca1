package jaybarrow

import (
	"context"
	"time"
)

// Clock is the source of time; its Now carries a monotonic reading.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Record is one value of the store with the revision of its last change.
type Record struct {
	Key      Key
	Value    []byte
	Revision Revision
	Deleted  bool // the record is a deletion at Revision; Value is empty
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns the record, or a KindNotFound error.
	Get(ctx context.Context, key Key) (Record, error)
	// List returns the records below the prefix and the store's revision at that moment.
	List(ctx context.Context, prefix Key) ([]Record, Revision, error)
	// CompareAndSwap writes the value if the record's revision is previous (0: the record must not exist). It returns the
	// new revision, a KindConflict error when the comparison failed, or KindStoreUnavailable when the outcome is unknown.
	CompareAndSwap(ctx context.Context, key Key, previous Revision, value []byte, lease LeaseID) (Revision, error)
	// Delete removes the record if its revision is previous, with the errors of CompareAndSwap.
	Delete(ctx context.Context, key Key, previous Revision) (Revision, error)
	// GrantLease creates a lease; records written under it are deleted when it ends.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease, or returns KindNotFound when it has ended.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// RevokeLease ends a lease and deletes its records.
	RevokeLease(ctx context.Context, lease LeaseID) error
	// Watch delivers every change below the prefix with a revision above from, in order, until it fails or ctx ends.
	// Progress is delivered at least each second while the watch works, so that a silent connection is noticed.
	Watch(ctx context.Context, prefix Key, from Revision) (Watch, error)
}

// WatchEvent is a batch of changes, or a progress notice without records.
type WatchEvent struct {
	Records  []Record
	Revision Revision // the store's revision that the watch has reached
}

// Watch is a running watch; it must be closed.
type Watch interface {
	// Next waits for an event; after an error the watch is dead.
	Next() (WatchEvent, error)
	Close()
}

// HostList is the platform's lagging list of hosts.
type HostList interface {
	Hosts(ctx context.Context) ([]HostNotice, error)
}

// Rebooter asks the platform to reboot a host.
type Rebooter interface {
	Reboot(ctx context.Context, host HostID) error
}

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

// Request is a caller's request after its key was checked and its queue found.
type Request struct {
	ID         RequestID
	Team       TeamID
	Queue      QueueID
	Pool       PoolID
	Class      Class
	Demand     Demand
	Declared   time.Duration // declared run time; 0 when unknown
	Arrived    time.Time     // local time of the entry host that holds the request
	Target     time.Time     // local time; when the queue's target wants the request answered or finished
	Deadline   time.Time     // local time; a request still waiting then is refused; zero: it waits as long as the caller
	Idempotent bool
	Body       []byte
}

// Runner runs an admitted request to its end: the local scheduler or a peer.
type Runner interface {
	// Run returns the whole answer, or an Error whose effect is certain when it says notRun.
	Run(ctx context.Context, request Request) ([]byte, error)
	// Cancel ends a queued or running request; it reports whether the request was known.
	Cancel(ctx context.Context, team TeamID, request RequestID) (bool, error)
}

// Order chooses which waiting request of a pool is next.
type Order interface {
	// Push adds a waiting item.
	Push(now time.Time, item Item)
	// Remove takes a waiting item out; it reports whether the item was there.
	Remove(id RequestID) (Item, bool)
	// Next returns the first item, in policy order, that fits accepts, and removes it; accepts is called at most once for
	// each team and demand, so an item that cannot run now does not block others.
	Next(now time.Time, accepts func(Item) bool) (Item, bool)
	// Started charges the estimated service of a started item; Finished corrects it by the actual service.
	Started(now time.Time, item Item)
	Finished(now time.Time, item Item, ran time.Duration)
	// Expired removes and returns the items whose deadline passed.
	Expired(now time.Time) []Item
	// NextDeadline returns the earliest deadline of a waiting item; false when none has one.
	NextDeadline() (time.Time, bool)
	// Len is the number of waiting items.
	Len() int
	// Ahead returns the estimated slot-seconds that would run before the item if it arrived now.
	Ahead(now time.Time, item Item) time.Duration
}

// Item is what an Order knows of a request.
type Item struct {
	ID       RequestID
	Team     TeamID
	Class    Class
	Slots    Slots
	Demand   Demand
	Share    Share
	Arrived  time.Time
	Target   time.Time     // orders the work
	Deadline time.Time     // ends the wait; zero: never
	Estimate time.Duration // learned run time
}

// Candidate is a host that could run an item now.
type Candidate struct {
	Host     HostID
	Free     Demand
	Running  int
	Latency  time.Duration // smoothed run time of its recent tasks relative to the estimate; 0 when unknown
	Failures int           // consecutive failures
}

// Placement chooses the host for an item.
type Placement interface {
	// Choose returns the index of the chosen candidate; candidates is never empty.
	Choose(candidates []Candidate) int
}

// Permits is this entry host's holding of teams' limits.
type Permits interface {
	// TryAcquire takes permits for a start, or records the lack as demand and returns false.
	TryAcquire(team TeamID, slots Slots) bool
	// Release returns permits after the end of the task is known.
	Release(team TeamID, slots Slots)
	// Available signals when permits may have become available.
	Available() <-chan struct{}
}
