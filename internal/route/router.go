package route

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/member"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
	"github.com/jaybarrow/jaybarrow/internal/shard"
)

// Forwarder calls the schedulers of other entry hosts.
type Forwarder interface {
	// Submit runs the request at the peer; KindPeerLost says whether it may have run.
	Submit(ctx context.Context, to jaybarrow.Address, request jaybarrow.Request) ([]byte, error)
	// Cancel ends a request at the peer; it reports whether the request was known there.
	Cancel(ctx context.Context, to jaybarrow.Address, team jaybarrow.TeamID, id jaybarrow.RequestID) (bool, error)
}

// Deps are what a Router depends on.
type Deps struct {
	Clock      jaybarrow.Clock
	Self       jaybarrow.EntryID
	DataCentre jaybarrow.DataCentreID
	Local      jaybarrow.Runner
	Peers      Forwarder
	Members    *member.Members
	// Ready reports whether the local schedulers take requests, also while this entry host leaves.
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
	placed  *shard.Map[requestKey, jaybarrow.Address] // forwarded requests; an empty address is the local scheduler
}

// requestKey is "team/request": teams choose their request ids without knowing each other's.
type requestKey string

func keyOf(team jaybarrow.TeamID, id jaybarrow.RequestID) requestKey {
	return requestKey(string(team) + "/" + string(id))
}

// ownerPool is "entry host/pool".
type ownerPool string

// pending counts requests forwarded since the owner's last report of its load.
type pending struct {
	sequence atomic.Int64
	count    atomic.Int64
}

// New returns a Router.
func New(deps Deps) *Router {
	return &Router{
		deps:    deps,
		pending: shard.New[ownerPool, *pending](),
		placed:  shard.New[requestKey, jaybarrow.Address](),
	}
}

// maxAttempts bounds how often one request is lost on its way; more than that many owners in a row do not fail.
const maxAttempts = 6

// maxHandOvers bounds how often one request is handed back; schedulers hand requests back when they stop and when another
// data centre has free slots.
const maxHandOvers = 100

// ownerPatience is how long a request waits for an owner of its pool to be heard of, such as after the last one has left.
const ownerPatience = 10 * time.Second

// retryDelay is the wait before another attempt, in which the membership can change.
const retryDelay = 150 * time.Millisecond

// Run runs the request on the owner of its pool. Another attempt is made only when the last one certainly did not run the
// request, or when the request is idempotent and its entry host was lost.
func (r *Router) Run(ctx context.Context, request jaybarrow.Request) ([]byte, error) {
	key := keyOf(request.Team, request.ID)
	if !r.reserve(key) {
		return nil, jaybarrow.Errorf(jaybarrow.KindDuplicateRequest, "request %s is already here", request.ID)
	}
	defer r.placed.Delete(key)
	effect := jaybarrow.EffectNotRun
	tries := &attempts{avoid: make(map[jaybarrow.EntryID]bool)}
	for {
		body, err := r.attempt(ctx, request, tries)
		if err == nil {
			return body, nil
		}
		e := jaybarrow.AsError(err)
		if e.Effect != jaybarrow.EffectNotRun {
			effect = e.Effect
		}
		tries.note(e)
		if tries.spent(r.deps.Clock.Now()) || !again(request, e) || r.expired(request) {
			return nil, e.WithEffect(effect)
		}
		if tries.ownerless.IsZero() {
			r.deps.Journal.Note(jaybarrow.Subject{Kind: jaybarrow.SubjectRequest, ID: string(request.ID)}, "forwarded again", e.Message)
		}
		select {
		case <-ctx.Done():
			return nil, jaybarrow.Errorf(jaybarrow.KindCancelled, "cancelled between attempts").WithEffect(effect)
		case <-r.deps.Clock.After(retryDelay):
		}
	}
}

// attempts is what one request has tried.
type attempts struct {
	avoid     map[jaybarrow.EntryID]bool // owners that failed it
	lost      int
	handOvers int
	ownerless time.Time // since when no owner is known; zero: one is
}

// note counts a failed attempt.
func (a *attempts) note(e *jaybarrow.Error) {
	switch {
	case !a.ownerless.IsZero():
	case e.Kind == jaybarrow.KindHandOver:
		a.handOvers++
	default:
		a.lost++
	}
}

// spent reports whether the request is given up.
func (a *attempts) spent(now time.Time) bool {
	return a.lost >= maxAttempts || a.handOvers >= maxHandOvers || (!a.ownerless.IsZero() && now.Sub(a.ownerless) > ownerPatience)
}

// reserve notes that the request is here; it reports whether it was not.
func (r *Router) reserve(key requestKey) bool {
	reserved := false
	r.placed.Update(key, func(old jaybarrow.Address, present bool) (jaybarrow.Address, bool) {
		reserved = !present
		return old, true
	})
	return reserved
}

// again reports whether another owner may be tried after the error.
func again(request jaybarrow.Request, e *jaybarrow.Error) bool {
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

// attempt runs the request on the owner of its pool; an owner that fails it is avoided by the next attempt, which is harmless
// because no limit depends on who schedules a pool.
func (r *Router) attempt(ctx context.Context, request jaybarrow.Request, tries *attempts) ([]byte, error) {
	options := r.options(request.Pool, tries.avoid)
	if len(options) == 0 {
		clear(tries.avoid)
		if tries.ownerless.IsZero() {
			tries.ownerless = r.deps.Clock.Now()
		}
		return nil, jaybarrow.Errorf(jaybarrow.KindHandOver, "no live entry host schedules pool %s", request.Pool)
	}
	option := options[Choose(options)]
	tries.avoid[option.Owner], tries.ownerless = true, time.Time{}
	if option.Owner == r.deps.Self {
		r.placed.Set(keyOf(request.Team, request.ID), "")
		return r.deps.Local.Run(ctx, request)
	}
	state, ok := r.deps.Members.Get(option.Owner)
	if !ok {
		return nil, jaybarrow.Errorf(jaybarrow.KindHandOver, "entry host %s is not known any more", option.Owner)
	}
	r.placed.Set(keyOf(request.Team, request.ID), state.PeerAddress)
	r.count(state, request.Pool).Add(1)
	return r.deps.Peers.Submit(ctx, state.PeerAddress, request)
}

// options lists the data centres that can run the pool's work, with their owners and loads. Entry hosts that leave are asked
// only when no other can run it: the last ones of a data centre finish their queues themselves.
func (r *Router) options(pool jaybarrow.PoolID, avoid map[jaybarrow.EntryID]bool) []Option {
	now, ready := r.deps.Clock.Now(), r.deps.Ready()
	options := r.owners(pool, func(dc jaybarrow.DataCentreID) (jaybarrow.EntryID, bool) {
		return r.deps.Members.Owner(now, pool, dc, ready, avoid)
	})
	if len(options) > 0 {
		return options
	}
	return r.owners(pool, func(dc jaybarrow.DataCentreID) (jaybarrow.EntryID, bool) {
		return r.deps.Members.LeavingOwner(now, pool, dc, avoid)
	})
}

// owners lists the data centres of the pool for which find returns an owner.
func (r *Router) owners(pool jaybarrow.PoolID, find func(jaybarrow.DataCentreID) (jaybarrow.EntryID, bool)) []Option {
	var options []Option
	for _, dc := range r.deps.DataCentres(pool) {
		owner, ok := find(dc)
		if !ok {
			continue
		}
		o := Option{DataCentre: dc, Owner: owner, Own: dc == r.deps.DataCentre}
		if owner == r.deps.Self {
			o.Load, o.Known = r.deps.LocalLoad(pool)
		} else if state, ok := r.deps.Members.Get(owner); ok {
			o.Load, o.Known = state.Loads[pool]
			o.Pending = int(r.count(state, pool).Load())
		}
		options = append(options, o)
	}
	slices.SortFunc(options, func(a, b Option) int { return strings.Compare(string(a.DataCentre), string(b.DataCentre)) })
	return options
}

// count returns the counter of requests forwarded to the owner since it reported this state.
func (r *Router) count(s member.State, pool jaybarrow.PoolID) *atomic.Int64 {
	p := r.pending.GetOrCreate(ownerPool(string(s.ID)+"/"+string(pool)), func() *pending { return &pending{} })
	if p.sequence.Swap(s.Sequence) != s.Sequence {
		p.count.Store(0)
	}
	return &p.count
}

// Cancel ends the request wherever this entry host placed it, or asks every live entry host when it came in through another.
func (r *Router) Cancel(ctx context.Context, team jaybarrow.TeamID, id jaybarrow.RequestID) (bool, error) {
	if address, ok := r.placed.Get(keyOf(team, id)); ok && address != "" {
		return r.deps.Peers.Cancel(ctx, address, team, id)
	}
	if known, err := r.deps.Local.Cancel(ctx, team, id); known || err != nil {
		return known, err
	}
	return r.cancelElsewhere(ctx, team, id)
}

func (r *Router) cancelElsewhere(ctx context.Context, team jaybarrow.TeamID, id jaybarrow.RequestID) (bool, error) {
	var failed error
	for _, s := range r.deps.Members.LiveStates(r.deps.Clock.Now()) {
		known, err := r.deps.Peers.Cancel(ctx, s.PeerAddress, team, id)
		if known {
			return true, nil
		}
		if err != nil {
			failed = err
		}
	}
	return false, failed
}
