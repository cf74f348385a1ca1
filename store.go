package jaybarrow

import (
	"context"
	"time"
)

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
	// CompareAndSwap writes the value if the record's revision is previous, or if there is no record when previous is 0. It
	// returns the new revision, KindConflict when the comparison failed, or KindStoreUnavailable when the outcome is unknown.
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
	// Progress is delivered at least each second while the watch works, so that a silent connection is noticed. Watch or
	// Next fails with KindNotFound when the store no longer keeps the changes after from; the caller must list again.
	Watch(ctx context.Context, prefix Key, from Revision) (Watch, error)
}

// WatchEvent is a batch of changes, or a progress notice without records.
type WatchEvent struct {
	Records  []Record
	Revision Revision // store revision up to which the watch has delivered changes
}

// Watch is a running watch; it must be closed.
type Watch interface {
	// Next waits for an event; after an error the watch cannot be used any more.
	Next() (WatchEvent, error)
	Close()
}

// HostList is the platform's list of hosts, which lags behind their actual state.
type HostList interface {
	Hosts(ctx context.Context) ([]HostNotice, error)
}

// Rebooter asks the platform to reboot a host.
type Rebooter interface {
	Reboot(ctx context.Context, host HostID) error
}

// HostConditions is the local copy of the platform's host list.
type HostConditions interface {
	// Condition returns the last reported condition of a host or entry host; HostLive when it is not listed.
	Condition(name string) HostCondition
	// GoneFor returns for how long, by the local clock, the list has reported HostGone for the name; false when it does not.
	GoneFor(name string) (time.Duration, bool)
	// ReadAt returns the local time at which the last successful read of the list started; the zero time before the first.
	ReadAt() time.Time
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}
