package route

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/member"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
	"github.com/jaybarrow/jaybarrow/internal/shard"
)

// Forwarder calls the schedulers of other entry hosts.
type Forwarder interface {
	// Submit runs the request at the peer; the effect of a KindPeerLost error says whether it may have run.
	Submit(ctx context.Context, to jaybarrow.Address, request jaybarrow.Request) ([]byte, error)
	// Cancel ends a request at the peer; it reports whether the request was known there.
	Cancel(ctx context.Context, to jaybarrow.Address, team jaybarrow.TeamID, id jaybarrow.RequestID) (bool, error)
}

// Deps are the dependencies of a Router.
type Deps struct {
	Clock      jaybarrow.Clock
	Self       jaybarrow.EntryID
	DataCentre jaybarrow.DataCentreID
	Local      jaybarrow.Runner // the requests in progress and the schedulers of this entry host
	Peers      Forwarder
	Members    *member.Members
	// Ready reports whether the local schedulers accept requests. They still do while this entry host leaves without a successor.
	Ready func() bool
	// DataCentres returns the data centres in which the pool has hosts.
	DataCentres func(pool jaybarrow.PoolID) []jaybarrow.DataCentreID
	// LocalLoad returns the load of the pool at the local scheduler; false when it does not run the pool.
	LocalLoad func(pool jaybarrow.PoolID) (schedule.Load, bool)
	Journal   jaybarrow.Journal
}

// Router runs each request on the scheduler that owns its pool, here or at a peer.
type Router struct {
	deps    Deps
	pending *shard.Map[ownerPool, *pending]
}

// ownerPool is "entry host/pool".
type ownerPool string

// pending counts the requests forwarded to an owner since it last reported its load.
type pending struct {
	sequence  atomic.Int64 // of the owner's last report
	forwarded atomic.Int64
}

// New returns a Router.
func New(deps Deps) *Router {
	return &Router{deps: deps, pending: shard.New[ownerPool, *pending]()}
}

// maxFailedAttempts limits the failed attempts of one request; more owners in a row are not expected to fail.
const maxFailedAttempts = 6

// maxHandOvers limits how often one request is handed back. Schedulers hand requests back when they stop and when another data
// centre has free slots.
const maxHandOvers = 100

// maxOwnerWait is how long a request waits while no owner of its pool is known, such as after the last one has left.
const maxOwnerWait = 10 * time.Second

// retryDelay is the wait before another attempt; it gives membership changes time to arrive.
const retryDelay = 150 * time.Millisecond

// Run runs the request on the owner of its pool. After a hand-over, a planned stop or the loss of the owner it makes another
// attempt when the last one certainly did not run the request or the request is idempotent. When ctx ends, the request is
// cancelled: it has no further attempt, and the current one ends at its scheduler.
func (r *Router) Run(ctx context.Context, request jaybarrow.Request) ([]byte, error) {
	effect := jaybarrow.EffectNotRun
	history := &attemptHistory{triedOwners: make(map[jaybarrow.EntryID]bool)}
	for {
		if ctx.Err() != nil {
			return nil, jaybarrow.Errorf(jaybarrow.KindCancelled, "cancelled before it was queued").WithEffect(effect)
		}
		body, err := r.attempt(ctx, request, history)
		if err == nil {
			return body, nil
		}
		e := jaybarrow.AsError(err)
		if e.Effect != jaybarrow.EffectNotRun {
			effect = e.Effect
		}
		history.recordFailure(e)
		if history.exhausted(r.deps.Clock.Now()) || !mayRetry(request, e) || r.expired(request) {
			return nil, e.WithEffect(effect)
		}
		if history.ownerlessSince.IsZero() {
			r.deps.Journal.Note(jaybarrow.Subject{Kind: jaybarrow.SubjectRequest, ID: string(request.ID)}, "forwarded again", e.Message)
		}
		select {
		case <-ctx.Done():
		case <-r.deps.Clock.After(retryDelay):
		}
	}
}

// attemptHistory records the failed attempts of one request.
type attemptHistory struct {
	triedOwners    map[jaybarrow.EntryID]bool // not chosen again while another owner is known
	failed         int
	handOvers      int
	ownerlessSince time.Time // since when no owner is known; zero when one is known
}

// recordFailure counts a failed attempt or a hand-over; attempts that found no owner are limited by time instead.
func (a *attemptHistory) recordFailure(e *jaybarrow.Error) {
	switch {
	case !a.ownerlessSince.IsZero():
	case e.Kind == jaybarrow.KindHandOver:
		a.handOvers++
	default:
		a.failed++
	}
}

// exhausted reports whether the request has used up its attempts, its hand-overs or its wait for an owner.
func (a *attemptHistory) exhausted(now time.Time) bool {
	return a.failed >= maxFailedAttempts || a.handOvers >= maxHandOvers || (!a.ownerlessSince.IsZero() && now.Sub(a.ownerlessSince) > maxOwnerWait)
}

// mayRetry reports whether the request may have another attempt after the error.
func mayRetry(request jaybarrow.Request, e *jaybarrow.Error) bool {
	switch e.Kind {
	case jaybarrow.KindHandOver, jaybarrow.KindShuttingDown, jaybarrow.KindPeerLost:
		return e.Effect == jaybarrow.EffectNotRun || request.Idempotent
	default:
		return false
	}
}

func (r *Router) expired(request jaybarrow.Request) bool {
	return !request.Deadline.IsZero() && !r.deps.Clock.Now().Before(request.Deadline)
}

// attempt runs the request on an owner of its pool. Later attempts avoid this owner while another one is known; that is safe
// because no limit depends on which entry host schedules a pool.
func (r *Router) attempt(ctx context.Context, request jaybarrow.Request, history *attemptHistory) ([]byte, error) {
	options := r.options(request.Pool, history.triedOwners)
	if len(options) == 0 {
		clear(history.triedOwners)
		if history.ownerlessSince.IsZero() {
			history.ownerlessSince = r.deps.Clock.Now()
		}
		return nil, jaybarrow.Errorf(jaybarrow.KindHandOver, "no live entry host schedules pool %s", request.Pool)
	}
	option := options[Choose(options)]
	history.triedOwners[option.Owner], history.ownerlessSince = true, time.Time{}
	if option.Owner == r.deps.Self {
		return r.deps.Local.Run(ctx, request)
	}
	state, ok := r.deps.Members.Get(option.Owner)
	if !ok {
		return nil, jaybarrow.Errorf(jaybarrow.KindHandOver, "entry host %s is no longer known", option.Owner)
	}
	r.forwardedCounter(state, request.Pool).Add(1)
	return r.forward(ctx, state.PeerAddress, request)
}

// forward runs the request at the peer. The call does not end with ctx, because only its answer says whether the request ran;
// instead, the peer is told of the cancellation.
func (r *Router) forward(ctx context.Context, to jaybarrow.Address, request jaybarrow.Request) ([]byte, error) {
	unanswered, answered := context.WithCancel(context.WithoutCancel(ctx))
	var cancellation conc.WaitGroup
	cancellation.Go(func() { r.forwardCancellation(ctx, unanswered, to, request) })
	body, err := r.deps.Peers.Submit(unanswered, to, request)
	answered()
	cancellation.Wait()
	return body, err
}

// forwardCancellation cancels the request at the peer after ctx has ended, until the request is answered. It repeats the call
// because the first one may arrive before the request does.
func (r *Router) forwardCancellation(ctx, unanswered context.Context, to jaybarrow.Address, request jaybarrow.Request) {
	select {
	case <-unanswered.Done():
		return
	case <-ctx.Done():
	}
	for unanswered.Err() == nil {
		// The answer to the request tells how the cancellation ended.
		_, _ = r.deps.Peers.Cancel(unanswered, to, request.Team, request.ID)
		select {
		case <-unanswered.Done():
		case <-r.deps.Clock.After(retryDelay):
		}
	}
}

// options lists the data centres that can run the pool's work, with their owners and loads. Entry hosts that leave are owners
// only when no other can run the work: the last ones of a data centre finish their queues themselves.
func (r *Router) options(pool jaybarrow.PoolID, avoid map[jaybarrow.EntryID]bool) []Option {
	now, ready := r.deps.Clock.Now(), r.deps.Ready()
	options := r.optionsWith(pool, func(dc jaybarrow.DataCentreID) (jaybarrow.EntryID, bool) {
		return r.deps.Members.Owner(now, pool, dc, ready, avoid)
	})
	if len(options) > 0 {
		return options
	}
	return r.optionsWith(pool, func(dc jaybarrow.DataCentreID) (jaybarrow.EntryID, bool) {
		return r.deps.Members.LeavingOwner(now, pool, dc, avoid)
	})
}

// optionsWith lists the data centres of the pool for which find returns an owner, in the order of their ids.
func (r *Router) optionsWith(pool jaybarrow.PoolID, find func(jaybarrow.DataCentreID) (jaybarrow.EntryID, bool)) []Option {
	var options []Option
	for _, dc := range r.deps.DataCentres(pool) {
		owner, ok := find(dc)
		if !ok {
			continue
		}
		o := Option{DataCentre: dc, Owner: owner, Local: dc == r.deps.DataCentre}
		if owner == r.deps.Self {
			o.Load, o.LoadKnown = r.deps.LocalLoad(pool)
		} else if state, ok := r.deps.Members.Get(owner); ok {
			o.Load, o.LoadKnown = state.Loads[pool]
			o.Pending = int(r.forwardedCounter(state, pool).Load())
		}
		options = append(options, o)
	}
	slices.SortFunc(options, func(a, b Option) int { return strings.Compare(string(a.DataCentre), string(b.DataCentre)) })
	return options
}

// forwardedCounter returns the counter of requests forwarded to the owner since it reported this state; a newer state resets it.
func (r *Router) forwardedCounter(s member.State, pool jaybarrow.PoolID) *atomic.Int64 {
	p := r.pending.GetOrCreate(ownerPool(string(s.ID)+"/"+string(pool)), func() *pending { return &pending{} })
	if p.sequence.Swap(s.Sequence) != s.Sequence {
		p.forwarded.Store(0)
	}
	return &p.forwarded
}

// Cancel ends the request if it is in progress, queued or running on this entry host, and looks it up at every other live one
// if not.
func (r *Router) Cancel(ctx context.Context, team jaybarrow.TeamID, id jaybarrow.RequestID) (bool, error) {
	if known, err := r.deps.Local.Cancel(ctx, team, id); known || err != nil {
		return known, err
	}
	return r.cancelElsewhere(ctx, team, id)
}

func (r *Router) cancelElsewhere(ctx context.Context, team jaybarrow.TeamID, id jaybarrow.RequestID) (bool, error) {
	var lastErr error
	for _, s := range r.deps.Members.LiveStates(r.deps.Clock.Now()) {
		known, err := r.deps.Peers.Cancel(ctx, s.PeerAddress, team, id)
		if known {
			return true, nil
		}
		if err != nil {
			lastErr = err
		}
	}
	return false, lastErr
}
