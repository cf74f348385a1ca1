package store

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/notify"
)

// Core is the state of the key-value store: records with revisions, leases, and the log of changes that watches read.
type Core struct {
	sync.Mutex
	clock           jaybarrow.Clock
	revision        jaybarrow.Revision
	records         map[jaybarrow.Key]entry
	leases          map[jaybarrow.LeaseID]lease
	earliestExpiry  time.Time // lower bound for the expiry of all leases
	nextID          jaybarrow.LeaseID
	log             []Change           // all changes by ascending revision
	compactRevision jaybarrow.Revision // lowest revision from which a watch can start
	changed         *notify.Notifier
}

// Change is one accepted write or deletion.
type Change struct {
	Key      jaybarrow.Key      `json:"key"`
	Revision jaybarrow.Revision `json:"revision"`
	Value    []byte             `json:"value,omitempty"`
	Deleted  bool               `json:"deleted,omitempty"`
	TimeNs   int64              `json:"timeNs"` // wall clock
}

func (c Change) record() jaybarrow.Record {
	return jaybarrow.Record{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted}
}

type entry struct {
	record jaybarrow.Record
	lease  jaybarrow.LeaseID
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// firstRevision is the revision of an empty store, as in etcd. Readers use revision 0 while they have read nothing.
const firstRevision jaybarrow.Revision = 1

// NewCore returns an empty Core.
func NewCore(clock jaybarrow.Clock) *Core {
	return &Core{
		clock:    clock,
		revision: firstRevision,
		records:  make(map[jaybarrow.Key]entry),
		leases:   make(map[jaybarrow.LeaseID]lease),
		changed:  notify.New(),
	}
}

// Get returns a record, or an error of KindNotFound when there is none.
func (c *Core) Get(_ context.Context, key jaybarrow.Key) (jaybarrow.Record, error) {
	c.Lock()
	defer c.Unlock()
	c.expire()
	e, ok := c.records[key]
	if !ok {
		return jaybarrow.Record{}, jaybarrow.Errorf(jaybarrow.KindNotFound, "no record %s", key)
	}
	return e.record, nil
}

// List returns the records with the prefix, sorted by key, and the revision of the store.
func (c *Core) List(_ context.Context, prefix jaybarrow.Key) ([]jaybarrow.Record, jaybarrow.Revision, error) {
	list, revision := c.Current(func(key jaybarrow.Key) bool { return strings.HasPrefix(string(key), string(prefix)) })
	return list, revision, nil
}

// CompareAndSwap writes the value if the revision of the record is previous, where 0 means that there is no record.
// Otherwise it returns an error of KindConflict.
func (c *Core) CompareAndSwap(_ context.Context, key jaybarrow.Key, previous jaybarrow.Revision, value []byte, id jaybarrow.LeaseID) (jaybarrow.Revision, error) {
	c.Lock()
	defer c.Unlock()
	c.expire()
	if have := c.records[key].record.Revision; have != previous {
		return 0, jaybarrow.Errorf(jaybarrow.KindConflict, "%s has revision %d, not %d", key, have, previous)
	}
	if _, ok := c.leases[id]; id != 0 && !ok {
		return 0, jaybarrow.Errorf(jaybarrow.KindNotFound, "no lease %d", id)
	}
	c.revision++
	record := jaybarrow.Record{Key: key, Value: append([]byte(nil), value...), Revision: c.revision}
	c.records[key] = entry{record, id}
	c.append(record)
	return c.revision, nil
}

// Delete removes the record if its revision is previous, and otherwise returns an error of KindConflict.
func (c *Core) Delete(_ context.Context, key jaybarrow.Key, previous jaybarrow.Revision) (jaybarrow.Revision, error) {
	c.Lock()
	defer c.Unlock()
	c.expire()
	if have := c.records[key].record.Revision; have != previous || have == 0 {
		return 0, jaybarrow.Errorf(jaybarrow.KindConflict, "%s has revision %d, not %d", key, have, previous)
	}
	c.remove(key)
	return c.revision, nil
}

// GrantLease creates a lease.
func (c *Core) GrantLease(_ context.Context, ttl time.Duration) (jaybarrow.LeaseID, error) {
	c.Lock()
	defer c.Unlock()
	c.nextID++
	expiry := c.clock.Now().Add(ttl)
	if len(c.leases) == 0 || expiry.Before(c.earliestExpiry) {
		c.earliestExpiry = expiry
	}
	c.leases[c.nextID] = lease{ttl, expiry}
	return c.nextID, nil
}

// KeepAlive renews a lease, or returns an error of KindNotFound when it has ended.
func (c *Core) KeepAlive(_ context.Context, id jaybarrow.LeaseID) error {
	if _, ok := c.renew(id); !ok {
		return jaybarrow.Errorf(jaybarrow.KindNotFound, "no lease %d", id)
	}
	return nil
}

// renew extends a lease by its time to live and returns that time. It reports false when the lease has ended.
func (c *Core) renew(id jaybarrow.LeaseID) (time.Duration, bool) {
	c.Lock()
	defer c.Unlock()
	c.expire()
	l, ok := c.leases[id]
	if !ok {
		return 0, false
	}
	l.expiry = c.clock.Now().Add(l.ttl)
	c.leases[id] = l
	return l.ttl, true
}

// RevokeLease ends a lease and deletes its records.
func (c *Core) RevokeLease(_ context.Context, id jaybarrow.LeaseID) error {
	c.Lock()
	defer c.Unlock()
	c.endLease(id)
	return nil
}

// Expire ends the leases that have expired. It must be called regularly, so that watches receive the deletions.
func (c *Core) Expire() {
	c.Lock()
	defer c.Unlock()
	c.expire()
}

// expire is Expire for callers that hold the lock.
func (c *Core) expire() {
	now := c.clock.Now()
	if len(c.leases) == 0 || !now.After(c.earliestExpiry) {
		return
	}
	c.earliestExpiry = time.Time{}
	for id, l := range c.leases {
		if now.After(l.expiry) {
			c.endLease(id)
		} else if c.earliestExpiry.IsZero() || l.expiry.Before(c.earliestExpiry) {
			c.earliestExpiry = l.expiry
		}
	}
}

func (c *Core) endLease(id jaybarrow.LeaseID) {
	delete(c.leases, id)
	for key, e := range c.records {
		if e.lease == id {
			c.remove(key)
		}
	}
}

func (c *Core) remove(key jaybarrow.Key) {
	c.revision++
	delete(c.records, key)
	c.append(jaybarrow.Record{Key: key, Revision: c.revision, Deleted: true})
}

func (c *Core) append(record jaybarrow.Record) {
	c.log = append(c.log, Change{
		Key: record.Key, Revision: record.Revision, Value: record.Value, Deleted: record.Deleted,
		TimeNs: c.clock.Now().UnixNano(),
	})
	c.changed.Signal()
}

// Watch returns a watch of the changes to keys with the prefix after revision from.
func (c *Core) Watch(ctx context.Context, prefix jaybarrow.Key, from jaybarrow.Revision) (jaybarrow.Watch, error) {
	if compacted := c.Compacted(); from < compacted {
		return nil, jaybarrow.Errorf(jaybarrow.KindNotFound, "changes up to revision %d have been compacted", compacted)
	}
	ctx, cancel := context.WithCancel(ctx)
	return &coreWatch{core: c, ctx: ctx, cancel: cancel, prefix: prefix, reached: from}, nil
}

type coreWatch struct {
	core    *Core
	ctx     context.Context
	cancel  context.CancelFunc
	prefix  jaybarrow.Key
	reached jaybarrow.Revision // of the last event
}

// progressInterval is the interval of the progress events of an idle watch.
const progressInterval = time.Second

// Next blocks until there are changes, and returns an event without records after the progress interval.
func (w *coreWatch) Next() (jaybarrow.WatchEvent, error) {
	progress := w.core.clock.After(progressInterval)
	for {
		event, changed := w.core.changesSince(w.prefix, w.reached)
		w.reached = event.Revision
		if len(event.Records) > 0 {
			return event, nil
		}
		select {
		case <-w.ctx.Done():
			return jaybarrow.WatchEvent{}, w.ctx.Err()
		case <-progress:
			return event, nil
		case <-changed:
		}
	}
}

// Close ends the watch.
func (w *coreWatch) Close() { w.cancel() }

// changesSince returns the changes to keys with the prefix after revision from, and a channel that is closed at the next
// change.
func (c *Core) changesSince(prefix jaybarrow.Key, from jaybarrow.Revision) (jaybarrow.WatchEvent, <-chan struct{}) {
	c.Lock()
	defer c.Unlock()
	event := jaybarrow.WatchEvent{Revision: c.revision}
	first := sort.Search(len(c.log), func(i int) bool { return c.log[i].Revision > from })
	for _, change := range c.log[first:] {
		if strings.HasPrefix(string(change.Key), string(prefix)) {
			event.Records = append(event.Records, change.record())
		}
	}
	return event, c.changed.Changed()
}
