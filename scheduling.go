package jaybarrow

import (
	"context"
	"time"
)

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
	// BacklogAhead returns the estimated slot-seconds that would run before the item if it arrived now.
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

// Permits is this entry host's holding of teams' limits.
type Permits interface {
	// TryAcquire takes permits for a start, or records the lack as demand and returns false.
	TryAcquire(team TeamID, slots Slots) bool
	// SetWaiting tells how many slots of the team's work wait here for permits alone; 0 when none do.
	SetWaiting(team TeamID, slots Slots)
	// Release returns permits after the end of the task is known.
	Release(team TeamID, slots Slots)
	// Available signals when permits may have become available.
	Available() <-chan struct{}
}
