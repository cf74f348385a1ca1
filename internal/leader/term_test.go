package leader_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/identity"
	"github.com/jaybarrow/jaybarrow/internal/leader"
)

// slowStore is a store whose renewals get no answer while unanswered is set, as when the platform's store is slow: a call ends at its deadline
// only, not when it is cancelled.
type slowStore struct {
	*store
	unanswered atomic.Bool
}

func (s *slowStore) KeepAlive(ctx context.Context, _ jaybarrow.LeaseID) error {
	if !s.unanswered.Load() {
		return nil
	}
	if deadline, ok := ctx.Deadline(); ok {
		time.Sleep(time.Until(deadline))
	}
	return jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "no answer")
}

// term is a term of a leader under test.
type term struct {
	leader.Term
	store  *slowStore
	leader *leader.Leader
	parts  sync.WaitGroup // that the term waits for when it ends
	ctx    context.Context
}

// newTerm returns a term that has begun.
func newTerm() *term {
	t := &term{store: &slowStore{store: newStore(leader.Holder{Entry: "front-2", Address: "10.0.0.2:7000", Lease: 7})}}
	_ = t.store.RevokeLease(context.Background(), 7) //nolint:errcheck // never fails
	begun := make(chan struct{})
	t.leader = leader.New(leader.Deps{
		Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Store: t.store, Self: leader.Holder{Entry: "front-1", Address: "10.0.0.1:7000"},
		NewChange: identity.NewChangeID, Settings: leader.DefaultSettings(), Eligible: func() bool { return true },
		Lead: func(ctx context.Context, begunTerm leader.Term) {
			t.Term, t.ctx = begunTerm, ctx
			close(begun)
			<-ctx.Done()
			t.parts.Wait()
		},
	})
	<-begun
	return t
}

// leadIsFree reports whether the leader's record is gone.
func (t *term) leadIsFree() bool {
	t.store.lock.Lock()
	defer t.store.lock.Unlock()
	return t.store.record.Deleted
}

// call makes an unfenced call that ends when release is closed.
func (t *term) call(release <-chan struct{}) {
	t.parts.Go(func() {
		_ = t.Unfenced(context.Background(), time.Minute, func(context.Context) { <-release }) //nolint:errcheck // whether it was made shows in leadIsFree
	})
	synctest.Wait()
}

// Guards against a lead that is free while an order of the leader is on its way, so that it arrives after those of a successor.
func TestTheLeadIsFreedAfterTheLastUnfencedCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		term := newTerm()
		release := make(chan struct{})
		term.call(release)
		go term.leader.Close()
		time.Sleep(leader.DefaultSettings().Lease / 2)
		synctest.Wait()
		assert.Assert(t, !term.leadIsFree(), "the lead is free while a call is under way")
		close(release)
		synctest.Wait()
		assert.Assert(t, term.leadIsFree(), "the lead is not free although no call is under way")
	})
}

// Guards against a fleet without a leader for as long as an order is not answered: a term that ends without one under way is over at once, and one
// whose order does not end leaves its lease to expire, so that no order can follow after those of a successor.
func TestACallThatDoesNotEndLeavesTheLeaseToExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		idle := newTerm()
		idle.leader.Close()
		assert.Assert(t, idle.leadIsFree())
		term := newTerm()
		release := make(chan struct{})
		term.call(release)
		go term.leader.Close()
		time.Sleep(time.Minute)
		close(release)
		synctest.Wait()
		assert.Assert(t, !term.leadIsFree(), "the lease was revoked, though it may have been a successor's turn long before the call ended")
	})
}

// Guards against a call that another entry host may be making by now: none begins after the end of the term, also while a renewal of the lease
// is still not answered, and each ends before the lease.
func TestNoUnfencedCallOutlastsTheLead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		term := newTerm()
		var left time.Duration
		assert.NilError(t, term.Unfenced(t.Context(), time.Minute, func(ctx context.Context) {
			deadline, _ := ctx.Deadline()
			left = time.Until(deadline)
		}))
		assert.Assert(t, left > 0 && left < leader.DefaultSettings().Lease, "the call may take %v", left)
		term.store.unanswered.Store(true)
		time.Sleep(2 * leader.DefaultSettings().RenewInterval)
		assert.Assert(t, term.Valid())
		go term.leader.Close()
		synctest.Wait()
		assert.Assert(t, term.ctx.Err() != nil)
		assert.Assert(t, !term.Valid(), "the lead counts as valid after the end of the term")
		err := term.Unfenced(t.Context(), time.Minute, func(context.Context) { t.Error("a call was made after the end of the term") })
		assert.Assert(t, errors.Is(err, leader.ErrLeadEnded))
		assert.Equal(t, jaybarrow.AsError(err).Effect, jaybarrow.EffectNotRun)
		time.Sleep(time.Minute) // lets the term end
	})
}
