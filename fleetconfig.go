package jaybarrow

import (
	"context"
	"fmt"
	"time"
)

// ConfigurationVersion orders the operators' configurations; versions increase but may skip numbers.
type ConfigurationVersion int64

// Configuration is one complete, immutable version of the operators' configuration.
type Configuration struct {
	Version ConfigurationVersion `json:"version"`
	Queues  []JobQueue           `json:"queues"`
	Pools   []JobPool            `json:"pools"`
	Teams   []JobTeam            `json:"teams"`
	MaxBody int                  `json:"maxBody"` // bytes of a request's body; 0 means the front end's own limit
}

// JobQueue accepts jobs for one pool.
type JobQueue struct {
	ID          QueueID         `json:"id"`
	Host        string          `json:"host"`   // value of the Host header
	Prefix      string          `json:"prefix"` // path prefix
	Pool        PoolID          `json:"pool"`
	Open        bool            `json:"open"`        // requests need no key
	Priority    int             `json:"priority"`    // 0 is the highest
	MaxAttempts int             `json:"maxAttempts"` // failed runs of a task after which its job fails
	Stretch     float64         `json:"stretch"`
	Target      time.Duration   `json:"target"` // a job is due Stretch times its critical path plus Target after it was accepted
	Timeout     time.Duration   `json:"timeout"`
	Advice      *AdviceSettings `json:"advice"` // nil when no adviser is asked
}

// QueuePolicy is how a queue's jobs are scheduled.
type QueuePolicy struct {
	Priority    int             `json:"priority"`    // 0 is the highest
	MaxAttempts int             `json:"maxAttempts"` // failed runs of a task after which its job fails
	Stretch     float64         `json:"stretch"`
	Target      time.Duration   `json:"target"` // a job is due Stretch times its critical path plus Target after it was accepted
	Advice      *AdviceSettings `json:"advice,omitempty"`
}

// Policy returns how the queue's jobs are scheduled.
func (q *JobQueue) Policy() QueuePolicy {
	return QueuePolicy{Priority: q.Priority, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, Target: q.Target, Advice: q.Advice}
}

// objectiveWorkers is how many workers the request names that a job's target allows for each step on a queue with advice.
const objectiveWorkers = 30

// StepTime returns the time that a job's target allows for a task of the step: its estimate and a request to the adviser, if there is one.
func (p *QueuePolicy) StepTime(s *Step) time.Duration {
	if p.Advice == nil {
		return s.Estimate()
	}
	return s.Estimate() + p.Advice.Time(objectiveWorkers)
}

// AdviceSettings holds the settings of a queue's adviser; a queue that has them requires the adviser's tickets.
type AdviceSettings struct {
	Decide time.Duration `json:"decide"` // of a decision
	Each   time.Duration `json:"each"`   // of a decision, more for each worker
	Valid  time.Duration `json:"valid"`  // for which a ticket may be used
}

// maxAdviceTime bounds the time of a decision, so that sums of it cannot overflow.
const maxAdviceTime = time.Hour

// Time returns how long the adviser takes for a decision on so many workers.
func (s AdviceSettings) Time(workers int) time.Duration {
	bounded := func(d time.Duration) time.Duration { return max(0, min(d, maxAdviceTime)) }
	return bounded(s.Decide) + time.Duration(workers)*bounded(s.Each)
}

// JobPool is a pool as the operators configure it.
type JobPool struct {
	ID               PoolID `json:"id"`
	EnforcesCapacity bool   `json:"guards"` // its workers refuse runs that do not fit
	Spare            bool   `json:"spare"`  // its hosts are switched off and cost nothing
}

// JobTeam is a team as the operators configure it.
type JobTeam struct {
	ID    TeamID    `json:"id"`
	Keys  []KeyHash `json:"keys"`
	Share Share     `json:"share"`
	Limit Resources `json:"limit"` // resources that its runs may use across the fleet; a part of 0 is unlimited
}

// Commit is a set of changes to the store that is applied atomically.
type Commit struct {
	Expect  []Expectation
	Puts    []Put
	Removes []Key
}

// Expectation is a precondition of a Commit: the revision of a record, or 0 when the record must not exist.
type Expectation struct {
	Key      Key
	Revision Revision
}

// Put is a record to write.
type Put struct {
	Key   Key
	Value []byte
	Lease LeaseID
}

// ConflictError is the cause of a KindConflict error of JobStore.Commit.
type ConflictError struct {
	Current []Record // the current records of Commit.Expect
}

// Error returns a message with the number of current records.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conditions on %d records do not hold", len(e.Current))
}

// JobStore is the store that holds the jobs.
type JobStore interface {
	// Get returns the record, or a KindNotFound error.
	Get(ctx context.Context, key Key) (Record, error)
	// ListPage returns the records below the prefix that follow the key after, as many as the store puts into one answer; the list
	// begins with an empty key.
	ListPage(ctx context.Context, prefix, after Key) (Page[Record], error)
	// Commit applies the changes. It returns KindConflict when a condition does not hold, with a *ConflictError as the cause,
	// KindNotFound when the lease does not exist, KindQueueFull when the store rejected the changes for overload, and
	// KindStoreUnavailable when it did not answer. With effect notRun the store did nothing; otherwise the changes may have
	// been made, or may still be made while the conditions hold.
	Commit(ctx context.Context, changes Commit) (Revision, error)
	// Changes waits up to wait for a change below the prefix after the revision and returns the changes and the revision to
	// continue from; KindNotFound when the store no longer keeps the changes after the revision.
	Changes(ctx context.Context, prefix Key, after Revision, wait time.Duration) ([]Record, Revision, error)
	// GrantLease, KeepAlive and RevokeLease behave as in Store.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	KeepAlive(ctx context.Context, lease LeaseID) error
	RevokeLease(ctx context.Context, lease LeaseID) error
}

// MaxCommitEntries is the largest total of conditions, writes and removals in a Commit.
const MaxCommitEntries = 32
