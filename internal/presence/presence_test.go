package presence_test

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/identity"
	"github.com/jaybarrow/jaybarrow/internal/presence"
	"github.com/jaybarrow/jaybarrow/internal/standin/store"
)

// Guards against goroutines that outlive Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// faultyStore is a store that can be down or lose the answers to writes.
type faultyStore struct {
	*store.Core
	down, losesAnswers atomic.Bool
}

func (f *faultyStore) Get(ctx context.Context, key jaybarrow.Key) (jaybarrow.Record, error) {
	if f.down.Load() {
		return jaybarrow.Record{}, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "test: down")
	}
	return f.Core.Get(ctx, key)
}

func (f *faultyStore) CompareAndSwap(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision, value []byte, lease jaybarrow.LeaseID) (jaybarrow.Revision, error) {
	if f.down.Load() {
		return 0, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "test: down")
	}
	revision, err := f.Core.CompareAndSwap(ctx, key, previous, value, lease)
	if f.losesAnswers.Load() {
		return 0, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "test: answer lost")
	}
	return revision, err
}

func (f *faultyStore) KeepAlive(ctx context.Context, lease jaybarrow.LeaseID) error {
	if f.down.Load() {
		return jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "test: down")
	}
	return f.Core.KeepAlive(ctx, lease)
}

func newStore() *faultyStore { return &faultyStore{Core: store.NewCore(jaybarrow.SystemClock{})} }

func start(s jaybarrow.Store) *presence.Presence {
	return presence.New(presence.Deps{
		Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Store: s, Host: jaybarrow.EntryHost{ID: "entry-1", DataCentre: "dc-1"},
		NewChange: identity.NewChangeID, Settings: presence.DefaultSettings(),
	})
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// registered returns the incarnation in the presence record; 0 when there is none.
func registered(t *testing.T, s *faultyStore) jaybarrow.Incarnation {
	t.Helper()
	record, err := s.Core.Get(context.Background(), jaybarrow.EntryKey("entry-1"))
	if jaybarrow.IsKind(err, jaybarrow.KindNotFound) {
		return 0
	}
	assert.NilError(t, err)
	var host jaybarrow.EntryHost
	assert.NilError(t, json.Unmarshal(record.Value, &host))
	return host.Incarnation
}

// Guards against a process that is ready before it is registered, against one that does not register again after a store outage
// let its lease expire, and against a registration that outlives a planned stop.
func TestRegistrationThroughOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.down.Store(true)
		p := start(s)
		defer p.Close()
		time.Sleep(20 * time.Second)
		assert.Assert(t, !closed(p.Ready()))
		assert.Equal(t, p.Incarnation(), jaybarrow.Incarnation(0))

		s.down.Store(false)
		<-p.Ready()
		incarnation := p.Incarnation()
		assert.Equal(t, registered(t, s), incarnation)
		time.Sleep(time.Minute)
		assert.Equal(t, registered(t, s), incarnation, "the lease was not renewed")

		s.down.Store(true)
		time.Sleep(15 * time.Second)
		assert.Equal(t, registered(t, s), jaybarrow.Incarnation(0), "the lease did not expire")
		s.down.Store(false)
		time.Sleep(10 * time.Second)
		assert.Equal(t, registered(t, s), incarnation, "not registered again with the same incarnation")

		assert.NilError(t, p.Leave(context.Background()))
		assert.Equal(t, registered(t, s), jaybarrow.Incarnation(0))
		assert.Assert(t, !closed(p.Fenced()))
	})
}

// Guards against a process that fences itself or registers with a stale incarnation because the answer to a write was lost.
func TestLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.losesAnswers.Store(true)
		p := start(s)
		defer p.Close()
		<-p.Ready()
		assert.Equal(t, registered(t, s), p.Incarnation())
		time.Sleep(time.Minute)
		assert.Assert(t, !closed(p.Fenced()))
		assert.Equal(t, registered(t, s), p.Incarnation())
	})
}

// Guards against an older process that continues after a newer one has registered the same id, and against an older process that
// overwrites the newer registration.
func TestNewerProcessFencesOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		older := start(s)
		defer older.Close()
		<-older.Ready()
		newer := start(s)
		defer newer.Close()
		<-newer.Ready()
		assert.Assert(t, newer.Incarnation() > older.Incarnation())
		time.Sleep(presence.DefaultSettings().KeepAliveInterval + time.Second)
		assert.Assert(t, closed(older.Fenced()))
		time.Sleep(time.Minute)
		assert.Assert(t, !closed(newer.Fenced()))
		assert.Equal(t, registered(t, s), newer.Incarnation())
	})
}
