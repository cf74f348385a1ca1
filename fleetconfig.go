package jaybarrow

import (
	"context"
	"fmt"
	"time"
)

// ConfigurationVersion orders the operators' configurations; versions rise in uneven steps.
type ConfigurationVersion int64

// Configuration is one whole version of what the operators ask for; it never changes.
type Configuration struct {
	Version ConfigurationVersion `json:"version"`
	Queues  []JobQueue           `json:"queues"`
	Pools   []JobPool            `json:"pools"`
	Teams   []JobTeam            `json:"teams"`
	MaxBody int                  `json:"maxBody"` // bytes of a request's body; 0: the front end's own limit
}

// JobQueue takes jobs for one pool.
type JobQueue struct {
	ID          QueueID         `json:"id"`
	Host        string          `json:"host"`   // value of the Host header
	Prefix      string          `json:"prefix"` // beginning of the path
	Pool        PoolID          `json:"pool"`
	Open        bool            `json:"open"`        // needs no key
	Priority    int             `json:"priority"`    // 0 comes first
	MaxAttempts int             `json:"maxAttempts"` // failed runs of a task until its job fails
	Stretch     float64         `json:"stretch"`
	Target      time.Duration   `json:"target"` // added to Stretch times the job's longest chain of work
	Timeout     time.Duration   `json:"timeout"`
	Advice      *AdviceSettings `json:"advice"` // nil: no adviser is asked
}

// AdviceSettings is what the adviser of a queue needs for an answer.
type AdviceSettings struct {
	Decide time.Duration `json:"decide"`
	Each   time.Duration `json:"each"`
	Valid  time.Duration `json:"valid"`
}

// JobPool is a pool as the operators configure it.
type JobPool struct {
	ID               PoolID `json:"id"`
	EnforcesCapacity bool   `json:"guards"` // its workers refuse what does not fit
	Spare            bool   `json:"spare"`  // its hosts are switched off and cost nothing
}

// JobTeam is a team as the operators configure it.
type JobTeam struct {
	ID    TeamID    `json:"id"`
	Keys  []KeyHash `json:"keys"`
	Share Share     `json:"share"`
	Limit Resources `json:"limit"` // what it may have running across the fleet; a part that is 0 does not bind
}

// Commit is a set of changes to the store that takes effect whole or not at all.
type Commit struct {
	Expect  []Expectation
	Puts    []Put
	Removes []Key
}

// Expectation is a condition of a Commit: the revision of a record; 0: there is no record.
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

// ConflictError is the cause of a KindConflict error of a Commit.
type ConflictError struct {
	Current []Record // the records of Expect as they are
}

// Error names the keys.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conditions on %d records do not hold", len(e.Current))
}

// JobStore is the store that jobs live in.
type JobStore interface {
	// Get returns the record, or a KindNotFound error.
	Get(ctx context.Context, key Key) (Record, error)
	// List returns the records below the prefix, and the revision before the first of them was read.
	List(ctx context.Context, prefix Key) ([]Record, Revision, error)
	// Commit applies the changes. Errors: KindConflict (a condition does not hold; the cause is a *ConflictError), KindNotFound
	// (no such lease), KindQueueFull (the store did nothing), KindStoreUnavailable (effect notRun: the store did nothing;
	// else the changes may have been made, or may be made later while the conditions hold).
	Commit(ctx context.Context, changes Commit) (Revision, error)
	// Changes waits up to wait for a change below the prefix after the revision and returns the changes and the revision to
	// go on from; KindNotFound when the store no longer keeps that history.
	Changes(ctx context.Context, prefix Key, after Revision, wait time.Duration) ([]Record, Revision, error)
	// GrantLease, KeepAlive and RevokeLease are those of Store.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	KeepAlive(ctx context.Context, lease LeaseID) error
	RevokeLease(ctx context.Context, lease LeaseID) error
}

// MaxCommitEntries is how many conditions, writes and removals a Commit may have together.
const MaxCommitEntries = 32
