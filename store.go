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
	// Progress is delivered at least each second while the watch works, so that a silent connection is noticed. Watch or
	// Next fails with KindNotFound when the store no longer keeps the changes after from; the caller must list again.
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

// HostConditions is the local copy of the platform's lagging list.
type HostConditions interface {
	// Condition returns the last known condition of a host or entry host; HostLive when it is not listed.
	Condition(name string) HostCondition
	// GoneFor returns how long ago, by the local clock, the list first said HostGone of the name; false when it does not.
	GoneFor(name string) (time.Duration, bool)
	// ReadAt returns the local time at which the last list that could be read was asked for; the zero time before the first.
	ReadAt() time.Time
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}
