package jobhost

import (
	"context"
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

const (
	// relayLimit bounds a write through the leader, so that time is left for an own attempt.
	relayLimit = 400 * time.Millisecond
	// silentAfter is how long the store may take for one answer before it counts as silent: twenty of its usual answers.
	silentAfter = 100 * time.Millisecond
	// suspectFor is how long writes go through the leader after the store has failed here.
	suspectFor = 2 * time.Second
)

// relay is a store that lets the leader write when the platform turns this entry host away or does not answer it. Its writes must
// have the same effect however often they are carried out.
type relay struct {
	jaybarrow.JobStore
	host    *Host
	path    *storePath
	breaker *breaker
}

// Commit writes directly, and through the leader where that fails or is likely to. While no write gets through, most are refused
// untried, with the effect notRun.
func (r relay) Commit(ctx context.Context, changes jaybarrow.Commit) (jaybarrow.Revision, error) {
	if !r.breaker.admit(r.host.deps.Clock.Now()) {
		return 0, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "the store takes no writes").WithEffect(jaybarrow.EffectNotRun)
	}
	revision, err := r.write(ctx, changes)
	r.breaker.note(r.host.deps.Clock.Now(), err == nil || jaybarrow.IsKind(err, jaybarrow.KindConflict))
	return revision, err
}

// write tries one way and then the other.
func (r relay) write(ctx context.Context, changes jaybarrow.Commit) (jaybarrow.Revision, error) {
	if !r.path.suspect(r.host.deps.Clock.Now()) {
		revision, err := r.direct(ctx, changes)
		if err == nil || jaybarrow.IsKind(err, jaybarrow.KindConflict) || jaybarrow.AsError(err).Effect != jaybarrow.EffectNotRun {
			return revision, err
		}
		return r.viaLeader(ctx, changes, err)
	}
	limited, cancel := context.WithTimeout(ctx, relayLimit)
	defer cancel()
	revision, err := r.viaLeader(limited, changes, nil)
	if err == nil || jaybarrow.IsKind(err, jaybarrow.KindConflict) {
		return revision, err
	}
	unknown := jaybarrow.AsError(err).Effect != jaybarrow.EffectNotRun
	revision, err = r.direct(ctx, changes)
	if err != nil && unknown && !jaybarrow.IsKind(err, jaybarrow.KindConflict) {
		return 0, jaybarrow.AsError(err).WithEffect(jaybarrow.EffectMayHaveRun)
	}
	return revision, err
}

// direct writes to the store and notes whether it answers.
func (r relay) direct(ctx context.Context, changes jaybarrow.Commit) (jaybarrow.Revision, error) {
	done := r.path.begin(r.host.deps.Clock.Now())
	revision, err := r.JobStore.Commit(ctx, changes)
	done(r.host.deps.Clock.Now(), err == nil || jaybarrow.IsKind(err, jaybarrow.KindConflict))
	if err == nil {
		r.host.announcer.announce(changes, revision)
	}
	return revision, err
}

// viaLeader lets the leader write; without one the error is that of the own attempt.
func (r relay) viaLeader(ctx context.Context, changes jaybarrow.Commit, own error) (jaybarrow.Revision, error) {
	holder, err := r.host.holder()
	if err != nil {
		if own == nil {
			own = err
		}
		return 0, own
	}
	return r.host.client.Commit(ctx, holder, changes)
}

// storePath is what is known of the way from this entry host to the store.
type storePath struct {
	lock    sync.Mutex
	open    int       // calls without an answer
	since   time.Time // when the first of them began, or the last answer came
	failed  time.Time // when a call last failed
	failing bool      // whether no call has succeeded since
}

// suspect reports whether the store is likely not to answer.
func (p *storePath) suspect(now time.Time) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	return p.failing && now.Sub(p.failed) < suspectFor || p.open > 0 && now.Sub(p.since) > silentAfter
}

// begin notes a call; what it returns must be called with its outcome.
func (p *storePath) begin(now time.Time) func(now time.Time, ok bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.open == 0 {
		p.since = now
	}
	p.open++
	return func(now time.Time, ok bool) {
		p.lock.Lock()
		defer p.lock.Unlock()
		p.open--
		p.since = now
		p.failing = !ok
		if !ok {
			p.failed = now
		}
	}
}
