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

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scripted is a store whose calls meet the given faults.
type scripted struct {
	*store.Core
	writeLost    bool // the write takes effect, its answer is lost
	writeDropped bool // the write has no effect, the outcome is unknown
	writeRefused bool // certainly not run
	readFails    bool
	deleteHangs  bool
	grants       atomic.Int32
}

func unavailable() *jaybarrow.Error {
	return jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "test: down")
}

func (s *scripted) GrantLease(ctx context.Context, ttl time.Duration) (jaybarrow.LeaseID, error) {
	s.grants.Add(1)
	return s.Core.GrantLease(ctx, ttl)
}

func (s *scripted) Get(ctx context.Context, key jaybarrow.Key) (jaybarrow.Record, error) {
	if s.readFails {
		return jaybarrow.Record{}, unavailable()
	}
	return s.Core.Get(ctx, key)
}

func (s *scripted) CompareAndSwap(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision, value []byte, lease jaybarrow.LeaseID) (jaybarrow.Revision, error) {
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

func (s *scripted) Delete(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision) (jaybarrow.Revision, error) {
	if s.deleteHangs {
		<-ctx.Done()
		return 0, unavailable()
	}
	return s.Core.Delete(ctx, key, previous)
}

func with(s jaybarrow.Store) *claim.Claims {
	return claim.New(claim.Deps{
		Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Store: s, Entry: "entry-1", NewChange: identity.NewChangeID,
		Settings: claim.DefaultSettings(),
	})
}

// Guards against a wrong word on whether a request may run, for each outcome of the claim's write.
func TestClaimOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		store   scripted
		claimed bool // by another request before
		kind    jaybarrow.ErrorKind
		effect  jaybarrow.Effect
	}{
		{name: "claimed"},
		{name: "duplicate", claimed: true, kind: jaybarrow.KindDuplicateRequest, effect: jaybarrow.EffectMayHaveRun},
		{name: "answer lost, read back", store: scripted{writeLost: true}},
		{name: "answer lost, another's claim", store: scripted{writeLost: true}, claimed: true, kind: jaybarrow.KindDuplicateRequest, effect: jaybarrow.EffectMayHaveRun},
		{name: "answer lost, read-back fails", store: scripted{writeLost: true, readFails: true}, kind: jaybarrow.KindClaimUnavailable, effect: jaybarrow.EffectNotRun},
		{name: "outcome unknown, not found", store: scripted{writeDropped: true}, kind: jaybarrow.KindClaimUnavailable, effect: jaybarrow.EffectNotRun},
		{name: "store down", store: scripted{writeRefused: true}, kind: jaybarrow.KindClaimUnavailable, effect: jaybarrow.EffectNotRun},
	}
	for i := range cases {
		c := &cases[i]
		t.Run(c.name, func(t *testing.T) {
			c.store.Core = store.NewCore(jaybarrow.SystemClock{})
			ctx := context.Background()
			if c.claimed {
				_, err := with(c.store.Core).Claim(ctx, "trail", "r1")
				assert.NilError(t, err)
			}
			_, err := with(&c.store).Claim(ctx, "trail", "r1")
			if c.kind == "" {
				assert.NilError(t, err)
				return
			}
			assert.Equal(t, jaybarrow.AsError(err).Kind, c.kind)
			assert.Equal(t, jaybarrow.AsError(err).Effect, c.effect)
		})
	}
}

// Guards against two requests with one id that both run.
func TestConcurrentClaimsHaveOneWinner(t *testing.T) {
	core := store.NewCore(jaybarrow.SystemClock{})
	var won atomic.Int32
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			if _, err := with(core).Claim(context.Background(), "trail", "r1"); err == nil {
				won.Add(1)
			}
		})
	}
	group.Wait()
	assert.Equal(t, won.Load(), int32(1))
}

// Guards against an id that cannot be tried again after its request did not run, and against an answer that waits for a
// store that hangs.
func TestRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{Core: store.NewCore(jaybarrow.SystemClock{})}
		c := with(s)
		held, err := c.Claim(t.Context(), "trail", "r1")
		assert.NilError(t, err)
		held.Release(t.Context())
		held, err = c.Claim(t.Context(), "trail", "r1")
		assert.NilError(t, err)

		s.deleteHangs = true
		begun := time.Now()
		held.Release(t.Context())
		assert.Assert(t, time.Since(begun) <= claim.DefaultSettings().ReleaseWait)
		c.Close()
		claim.Held{}.Release(t.Context())
	})
}

// Guards against a claim that ends before its retention, against one lease for each claim, and against a lease that the
// store has lost.
func TestLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{Core: store.NewCore(jaybarrow.SystemClock{})}
		c := with(s)
		claimed := func(id jaybarrow.RequestID) {
			t.Helper()
			_, err := c.Claim(t.Context(), "trail", id)
			assert.NilError(t, err)
		}
		claimed("r1")
		time.Sleep(9 * time.Minute)
		claimed("r2")
		assert.Equal(t, s.grants.Load(), int32(1))
		time.Sleep(time.Hour)
		_, err := s.Get(t.Context(), jaybarrow.ClaimKey("trail", "r2"))
		assert.NilError(t, err)
		claimed("r3")
		assert.Equal(t, s.grants.Load(), int32(2))
		assert.NilError(t, s.RevokeLease(t.Context(), 2))
		claimed("r4")
		assert.Equal(t, s.grants.Load(), int32(3))
	})
}

// Guards against claims that use up the store's writes.
func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := with(store.NewCore(jaybarrow.SystemClock{}))
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
