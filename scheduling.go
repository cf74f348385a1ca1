package jaybarrow

import (
	"context"
	"time"
)

// Request is a caller's request whose key was checked and whose queue was found.
type Request struct {
	ID         RequestID
	Team       TeamID
	KeyHash    KeyHash // of the caller's key; empty for a request without a key on an open queue
	Queue      QueueID
	Pool       PoolID
	Class      Class
	Demand     Demand
	Declared   time.Duration // declared run time; 0 when unknown
	Arrived    time.Time     // local time of the entry host that holds the request
	Target     time.Time     // local time by which the queue's target requires the request to be answered or finished
	Deadline   time.Time     // local time at which a request that still waits is refused; zero means that it waits as long as the caller
	Idempotent bool
	Body       []byte
}

// Runner runs an admitted request to completion, on the local scheduler or on a peer.
type Runner interface {
	// Run returns the whole answer, or an Error whose effect is certain when it says notRun.
	Run(ctx context.Context, request Request) ([]byte, error)
	// Cancel ends a request that is in progress, queued or running; it reports whether there was one.
	Cancel(ctx context.Context, team TeamID, request RequestID) (bool, error)
}

// Item holds the attributes of a request that an Order uses.
type Item struct {
	ID       RequestID
	Team     TeamID
	Class    Class
	Slots    Slots
	Demand   Demand
	Share    Share
	Arrived  time.Time
	Target   time.Time     // time by which the queue's target requires the request to be answered or finished
	Deadline time.Time     // the item expires then; zero means never
	Estimate time.Duration // learned run time
}

// Order is the queueing discipline of a pool: it selects the next waiting request.
type Order interface {
	// Push adds a waiting item.
	Push(now time.Time, item Item)
	// Remove removes a waiting item and reports whether it was present.
	Remove(id RequestID) (Item, bool)
	// Next removes and returns the first item, in policy order, for which accepts returns true. It calls accepts at most once
	// for each team and demand; an item that cannot run now does not block others.
	Next(now time.Time, accepts func(Item) bool) (Item, bool)
	// Started charges the estimated service time of a started item; Finished corrects it to the actual time.
	Started(now time.Time, item Item)
	Finished(now time.Time, item Item, ran time.Duration)
	// Expired removes and returns the items whose deadline has passed.
	Expired(now time.Time) []Item
	// NextDeadline returns the earliest deadline of the waiting items; false when no item has one.
	NextDeadline() (time.Time, bool)
	// Len returns the number of waiting items.
	Len() int
	// BacklogAhead returns the estimated slot time that would run before the item if it arrived now.
	BacklogAhead(now time.Time, item Item) time.Duration
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

// Permits holds this entry host's part of each team's limit.
type Permits interface {
	// TryAcquire takes permits for a start, or records the shortage as demand and returns false.
	TryAcquire(team TeamID, slots Slots) bool
	// SetWaiting sets the number of slots of the team's work here that wait only for permits.
	SetWaiting(team TeamID, slots Slots)
	// Release returns permits once the task is known to have ended.
	Release(team TeamID, slots Slots)
	// Available signals when permits may have become available.
	Available() <-chan struct{}
}
