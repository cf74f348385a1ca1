package claim_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/claim"
	"github.com/jaybarrow/jaybarrow/internal/identity"
	"github.com/jaybarrow/jaybarrow/internal/standin/store"
)

// Guards against goroutines that outlive Close.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// faultyStore is a store with injected faults.
type faultyStore struct {
	*store.Core
	writeLost    bool // the write takes effect, but its answer is lost
	writeDropped bool // the write has no effect, and its outcome is reported as unknown
	writeRefused bool // the write is rejected, certainly without effect
	readFails    bool
	deleteHangs  bool
	grants       atomic.Int32
}

func unavailable() *jaybarrow.Error {
	return jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "test: down")
}

func (s *faultyStore) GrantLease(ctx context.Context, ttl time.Duration) (jaybarrow.LeaseID, error) {
	s.grants.Add(1)
	return s.Core.GrantLease(ctx, ttl)
}

func (s *faultyStore) Get(ctx context.Context, key jaybarrow.Key) (jaybarrow.Record, error) {
	if s.readFails {
		return jaybarrow.Record{}, unavailable()
	}
	return s.Core.Get(ctx, key)
}

func (s *faultyStore) CompareAndSwap(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision, value []byte, lease jaybarrow.LeaseID) (jaybarrow.Revision, error) {
	switch {
	case s.writeRefused:
		return 0, unavailable().WithEffect(jaybarrow.EffectNotRun)
	case s.writeDropped:
		return 0, unavailable()
	}
	revision, err := s.Core.CompareAndSwap(ctx, key, previous, value, lease)
	if s.writeLost {
		return 0, unavailable()
	}
	return revision, err
}

func (s *faultyStore) Delete(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision) (jaybarrow.Revision, error) {
	if s.deleteHangs {
		<-ctx.Done()
		return 0, unavailable()
	}
	return s.Core.Delete(ctx, key, previous)
}

func newClaims(s jaybarrow.Store) *claim.Claims {
	return claim.New(claim.Deps{
		Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Store: s, Entry: "entry-1", NewChange: identity.NewChangeID,
		Settings: claim.DefaultSettings(),
	})
}

// Guards against a wrong answer on whether the request may run, for each outcome of the write of its claim.
func TestClaimOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		store   faultyStore
		claimed bool // by another request before
		kind    jaybarrow.ErrorKind
		effect  jaybarrow.Effect
	}{
		{name: "claimed"},
		{name: "duplicate", claimed: true, kind: jaybarrow.KindDuplicateRequest, effect: jaybarrow.EffectMayHaveRun},
		{name: "answer lost, read back", store: faultyStore{writeLost: true}},
		{name: "answer lost, claimed by another request", store: faultyStore{writeLost: true}, claimed: true, kind: jaybarrow.KindDuplicateRequest, effect: jaybarrow.EffectMayHaveRun},
		{name: "answer lost, read-back fails", store: faultyStore{writeLost: true, readFails: true}, kind: jaybarrow.KindClaimUnavailable, effect: jaybarrow.EffectNotRun},
		{name: "outcome unknown, claim not found", store: faultyStore{writeDropped: true}, kind: jaybarrow.KindClaimUnavailable, effect: jaybarrow.EffectNotRun},
		{name: "store down", store: faultyStore{writeRefused: true}, kind: jaybarrow.KindClaimUnavailable, effect: jaybarrow.EffectNotRun},
	}
	for i := range cases {
		c := &cases[i]
		t.Run(c.name, func(t *testing.T) {
			c.store.Core = store.NewCore(jaybarrow.SystemClock{})
			ctx := context.Background()
			if c.claimed {
				_, err := newClaims(c.store.Core).Claim(ctx, "trail", "r1")
				assert.NilError(t, err)
			}
			_, err := newClaims(&c.store).Claim(ctx, "trail", "r1")
			if c.kind == "" {
				assert.NilError(t, err)
				return
			}
			assert.Equal(t, jaybarrow.AsError(err).Kind, c.kind)
			assert.Equal(t, jaybarrow.AsError(err).Effect, c.effect)
		})
	}
}

// Guards against concurrent requests with the same id of which more than one makes the claim and runs.
func TestConcurrentClaimsHaveOneWinner(t *testing.T) {
	core := store.NewCore(jaybarrow.SystemClock{})
	var winners atomic.Int32
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			if _, err := newClaims(core).Claim(context.Background(), "trail", "r1"); err == nil {
				winners.Add(1)
			}
		})
	}
	group.Wait()
	assert.Equal(t, winners.Load(), int32(1))
}

// Guards against an id that cannot be used again although its request did not run, and against a Release that blocks on a store
// that does not answer.
func TestRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &faultyStore{Core: store.NewCore(jaybarrow.SystemClock{})}
		c := newClaims(s)
		held, err := c.Claim(t.Context(), "trail", "r1")
		assert.NilError(t, err)
		held.Release(t.Context())
		held, err = c.Claim(t.Context(), "trail", "r1")
		assert.NilError(t, err)

		s.deleteHangs = true
		startedAt := time.Now()
		held.Release(t.Context())
		assert.Assert(t, time.Since(startedAt) <= claim.DefaultSettings().ReleaseWait)
		c.Close()
		claim.Held{}.Release(t.Context())
	})
}

// Guards against a claim that expires before its retention has passed, against one lease for each claim, and against claims that
// fail because the store has lost their lease.
func TestLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &faultyStore{Core: store.NewCore(jaybarrow.SystemClock{})}
		c := newClaims(s)
		claimNew := func(id jaybarrow.RequestID) {
			t.Helper()
			_, err := c.Claim(t.Context(), "trail", id)
			assert.NilError(t, err)
		}
		claimNew("r1")
		time.Sleep(9 * time.Minute)
		claimNew("r2")
		assert.Equal(t, s.grants.Load(), int32(1))
		time.Sleep(time.Hour)
		_, err := s.Get(t.Context(), jaybarrow.ClaimKey("trail", "r2"))
		assert.NilError(t, err)
		claimNew("r3")
		assert.Equal(t, s.grants.Load(), int32(2))
		assert.NilError(t, s.RevokeLease(t.Context(), 2))
		claimNew("r4")
		assert.Equal(t, s.grants.Load(), int32(3))
	})
}

// Guards against claims that exhaust the write capacity of the store.
func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClaims(store.NewCore(jaybarrow.SystemClock{}))
		refused := 0
		for range 100 {
			_, err := c.Claim(t.Context(), "trail", identity.NewRequestID())
			if err != nil {
				assert.Assert(t, jaybarrow.IsKind(err, jaybarrow.KindClaimUnavailable))
				refused++
			}
		}
		assert.Equal(t, refused, 60)
		time.Sleep(time.Second)
		_, err := c.Claim(t.Context(), "trail", "later")
		assert.NilError(t, err)
	})
}
