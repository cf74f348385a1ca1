package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
	"github.com/jaybarrow/jaybarrow/internal/identity"
	"github.com/jaybarrow/jaybarrow/internal/permit"
	"github.com/jaybarrow/jaybarrow/internal/presence"
	"github.com/jaybarrow/jaybarrow/internal/standin/store"
)

// countingStore is one host's access to the store. It counts the writes by reason. Once it is frozen, its writes block
// until the end of the experiment, so that the host takes part as one that the store does not answer.
type countingStore struct {
	*store.Core
	entry   jaybarrow.EntryID
	writes  *atomic.Int64
	reasons *reasons
	frozen  chan struct{} // closed to freeze the store
	closed  chan struct{} // closed at the end of the experiment
}

// waitWhileFrozen blocks until the end of the experiment if the store is frozen.
func (s *countingStore) waitWhileFrozen() {
	select {
	case <-s.frozen:
		<-s.closed
	default:
	}
}

func (s *countingStore) CompareAndSwap(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision, value []byte, lease jaybarrow.LeaseID) (jaybarrow.Revision, error) {
	s.waitWhileFrozen()
	s.writes.Add(1)
	reason := s.reason(ctx, key, previous, value)
	revision, err := s.Core.CompareAndSwap(ctx, key, previous, value, lease)
	if err != nil {
		reason = reasonFailed
	}
	s.reasons.add(reason)
	return revision, err
}

// host is a simulated entry host.
type host struct {
	store    *countingStore
	presence *presence.Presence
	keeper   *permit.Keeper
}

// fleet holds the entry hosts, which share one store.
type fleet struct {
	core    *store.Core
	writes  atomic.Int64
	reasons reasons
	hosts   []*host
	group   conc.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
}

func teamID(i int) jaybarrow.TeamID { return jaybarrow.TeamID(fmt.Sprintf("team-%d", i)) }

func newFleet(c config) *fleet {
	f := &fleet{core: store.NewCore(jaybarrow.SystemClock{})}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	for i := range c.teams {
		value, err := json.Marshal(jaybarrow.Allotment{Team: teamID(i), Limit: jaybarrow.Slots(c.limit)})
		if err != nil {
			panic(err)
		}
		if _, err := f.core.CompareAndSwap(f.ctx, jaybarrow.AllotmentKey(teamID(i)), 0, value, 0); err != nil {
			panic(err)
		}
	}
	for i := range c.hosts {
		f.hosts = append(f.hosts, f.newHost(i))
	}
	return f
}

func (f *fleet) newHost(i int) *host {
	id := jaybarrow.EntryID(fmt.Sprintf("entry-%d", i))
	h := &host{store: &countingStore{Core: f.core, entry: id, writes: &f.writes, reasons: &f.reasons, frozen: make(chan struct{}), closed: make(chan struct{})}}
	d := directory.New()
	f.group.Go(func() { f.followStore(h, d) })
	h.presence = presence.New(presence.Deps{
		Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Store: f.core, Host: jaybarrow.EntryHost{ID: id},
		NewChange: identity.NewChangeID, Settings: presence.DefaultSettings(),
	})
	h.keeper = permit.New(permit.Deps{
		Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Store: h.store, Directory: d, Registration: h.presence,
		Entry: id, NewChange: identity.NewChangeID, Settings: permit.DefaultSettings(),
	})
	return h
}

// followStore watches the store and applies its changes to the host's directory, and stops applying them while the host is frozen.
func (f *fleet) followStore(h *host, d *directory.Directory) {
	watch, err := f.core.Watch(f.ctx, jaybarrow.Prefix, 0)
	if err != nil {
		panic(err)
	}
	defer watch.Close()
	for {
		event, err := watch.Next()
		if err != nil {
			return
		}
		h.store.waitWhileFrozen()
		if err := d.Apply(event.Records, event.Revision); err != nil {
			panic(err)
		}
	}
}

func (f *fleet) close() {
	f.cancel()
	for _, h := range f.hosts {
		close(h.store.closed)
		h.keeper.Abandon()
		h.presence.Close()
	}
	f.group.Wait()
}
