package jobhost

import (
	"context"
	"errors"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/outage"
)

// leaderWriteTimeout bounds a write through the leader, so that time is left for a direct attempt.
const leaderWriteTimeout = 400 * time.Millisecond

// fallbackStore is a store whose writes fall back to the leader when the platform rejects the calls of this entry host or does
// not answer them. Its writes must be idempotent, since both ways may carry out the same write.
type fallbackStore struct {
	jaybarrow.JobStore
	host   *Host
	health *storeHealth
	gate   *outage.Gate
}

// Commit writes to the store, or through the leader when a direct call fails or is likely to fail. While no write succeeds, writes are refused
// without an attempt, with effect notRun.
func (s fallbackStore) Commit(ctx context.Context, changes jaybarrow.Commit) (jaybarrow.Revision, error) {
	pass, allowed := s.gate.Enter(s.host.deps.Clock.Now())
	if !allowed {
		s.host.deps.Metrics.Count("outage.refused")
		return 0, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "the store accepts no writes").WithEffect(jaybarrow.EffectNotRun)
	}
	outcome := outage.Failed
	defer func() { s.gate.Leave(s.host.deps.Clock.Now(), pass, outcome) }()
	revision, err := s.write(ctx, changes)
	switch {
	case err == nil || jaybarrow.IsKind(err, jaybarrow.KindConflict):
		outcome = outage.Stored
	case errors.Is(ctx.Err(), context.Canceled):
		// A repeat of the same write has ended before.
		outcome = outage.Unobserved
	}
	return revision, err
}

// write tries a direct write and then one through the leader, or the other way round while the store is suspect. A direct write
// that may have run is not repeated through the leader; a write through the leader that may have run is repeated directly.
func (s fallbackStore) write(ctx context.Context, changes jaybarrow.Commit) (jaybarrow.Revision, error) {
	if !s.health.isSuspect(s.host.deps.Clock.Now()) {
		revision, err := s.writeDirectly(ctx, changes)
		if err == nil || jaybarrow.IsKind(err, jaybarrow.KindConflict) || jaybarrow.AsError(err).Effect != jaybarrow.EffectNotRun {
			return revision, err
		}
		return s.writeViaLeader(ctx, changes, err)
	}
	limitedCtx, cancel := context.WithTimeout(ctx, leaderWriteTimeout)
	defer cancel()
	revision, err := s.writeViaLeader(limitedCtx, changes, nil)
	if err == nil || jaybarrow.IsKind(err, jaybarrow.KindConflict) {
		return revision, err
	}
	mayHaveRun := jaybarrow.AsError(err).Effect != jaybarrow.EffectNotRun
	revision, err = s.writeDirectly(ctx, changes)
	if err != nil && mayHaveRun && !jaybarrow.IsKind(err, jaybarrow.KindConflict) {
		return 0, jaybarrow.AsError(err).WithEffect(jaybarrow.EffectMayHaveRun)
	}
	return revision, err
}

// writeDirectly writes to the store, records whether it answers and announces the accepted records to the leader.
func (s fallbackStore) writeDirectly(ctx context.Context, changes jaybarrow.Commit) (jaybarrow.Revision, error) {
	finish := s.health.startCall(s.host.deps.Clock.Now())
	revision, err := s.JobStore.Commit(ctx, changes)
	finish(s.host.deps.Clock.Now(), err == nil || jaybarrow.IsKind(err, jaybarrow.KindConflict))
	if err == nil {
		s.host.announcer.announce(changes, revision)
	}
	return revision, err
}

// writeViaLeader writes through the leader. Without a leader it returns the error of the direct attempt, if there was one.
func (s fallbackStore) writeViaLeader(ctx context.Context, changes jaybarrow.Commit, directErr error) (jaybarrow.Revision, error) {
	leaderAddress, err := s.host.leaderAddress()
	if err != nil {
		if directErr == nil {
			directErr = err
		}
		return 0, directErr
	}
	return s.host.client.Commit(ctx, leaderAddress, changes)
}
