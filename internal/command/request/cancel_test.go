package request_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/claim"
	"github.com/jaybarrow/jaybarrow/internal/command/request"
	"github.com/jaybarrow/jaybarrow/internal/identity"
	"github.com/jaybarrow/jaybarrow/internal/inflight"
	"github.com/jaybarrow/jaybarrow/internal/journal"
	"github.com/jaybarrow/jaybarrow/internal/member"
	"github.com/jaybarrow/jaybarrow/internal/route"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
	"github.com/jaybarrow/jaybarrow/internal/standin/store"
)

const (
	callerKey = "secret"
	runTime   = time.Minute // of a request that is not cancelled
)

// network holds the entry hosts of a test, each of which can call the others, and counts the requests that ran.
type network struct {
	store   *slowStore
	members map[jaybarrow.EntryID]*host

	sync.Mutex
	ran     []jaybarrow.RequestID
	transit time.Duration // time that a forwarded request takes to arrive at its scheduler
}

// host is one entry host, with its own handlers, router and scheduler.
type host struct {
	network   *network
	id        jaybarrow.EntryID
	claims    *claim.Claims
	scheduler *scheduler
	peers     jaybarrow.Runner // answers the calls of other entry hosts
	members   *member.Members
	submit    *request.SubmitHandler
	cancel    *request.CancelHandler
}

// slowStore answers writes of claims after a delay, before which they have no effect.
type slowStore struct {
	*store.Core
	sync.Mutex
	delay time.Duration
	down  bool
}

func (s *slowStore) set(delay time.Duration, down bool) {
	s.Lock()
	defer s.Unlock()
	s.delay, s.down = delay, down
}

func (s *slowStore) CompareAndSwap(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision, value []byte, lease jaybarrow.LeaseID) (jaybarrow.Revision, error) {
	s.Lock()
	delay, down := s.delay, s.down
	s.Unlock()
	time.Sleep(delay)
	if down {
		return 0, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "test: down").WithEffect(jaybarrow.EffectNotRun)
	}
	return s.Core.CompareAndSwap(ctx, key, previous, value, lease)
}

// scheduler runs each request for runTime, or until it is cancelled. It hands requests back while refusing is set.
type scheduler struct {
	network *network
	sync.Mutex
	running  map[jaybarrow.RequestID]context.CancelFunc
	refusing bool
}

func (s *scheduler) Run(ctx context.Context, r jaybarrow.Request) ([]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.Lock()
	if s.refusing {
		s.Unlock()
		return nil, jaybarrow.Errorf(jaybarrow.KindHandOver, "the scheduler of the pool is changing")
	}
	s.running[r.ID] = cancel
	s.Unlock()
	s.network.Lock()
	s.network.ran = append(s.network.ran, r.ID)
	s.network.Unlock()
	defer func() {
		s.Lock()
		defer s.Unlock()
		delete(s.running, r.ID)
	}()
	select {
	case <-ctx.Done():
		return nil, jaybarrow.Errorf(jaybarrow.KindCancelled, "cancelled on the worker").WithEffect(jaybarrow.EffectMayHaveRun)
	case <-time.After(runTime):
		return []byte("done"), nil
	}
}

func (s *scheduler) Cancel(_ context.Context, _ jaybarrow.TeamID, id jaybarrow.RequestID) (bool, error) {
	s.Lock()
	defer s.Unlock()
	cancel, ok := s.running[id]
	if ok {
		cancel()
	}
	return ok, nil
}

func (s *scheduler) setRefusing(refusing bool) {
	s.Lock()
	defer s.Unlock()
	s.refusing = refusing
}

// Submit forwards the request to an entry host, whose id is its address.
func (n *network) Submit(ctx context.Context, to jaybarrow.Address, r jaybarrow.Request) ([]byte, error) {
	select {
	case <-time.After(n.transit):
	case <-ctx.Done():
		return nil, jaybarrow.Errorf(jaybarrow.KindPeerLost, "call to %s: %w", to, ctx.Err())
	}
	return n.members[jaybarrow.EntryID(to)].peers.Run(ctx, r)
}

func (n *network) Cancel(ctx context.Context, to jaybarrow.Address, team jaybarrow.TeamID, id jaybarrow.RequestID) (bool, error) {
	return n.members[jaybarrow.EntryID(to)].peers.Cancel(ctx, team, id)
}

// newNetwork returns entry hosts a, b and c of one data centre. owner schedules the pool; without one, it has no hosts.
func newNetwork(owner jaybarrow.EntryID) *network {
	n := &network{store: &slowStore{Core: store.NewCore(jaybarrow.SystemClock{})}, members: make(map[jaybarrow.EntryID]*host)}
	for _, id := range []jaybarrow.EntryID{"a", "b", "c"} {
		n.members[id] = n.newHost(id, owner)
	}
	for _, h := range n.members {
		for id := range n.members {
			h.members.Observe(member.State{
				ID: id, DataCentre: "dc1", PeerAddress: jaybarrow.Address(id), Incarnation: 1, Sequence: 1, Ready: id == owner,
				ReportedAt: time.Now().Add(time.Hour),
			})
		}
	}
	return n
}

func (n *network) newHost(id, owner jaybarrow.EntryID) *host {
	clock := jaybarrow.SystemClock{}
	h := &host{
		network: n, id: id, scheduler: &scheduler{network: n, running: make(map[jaybarrow.RequestID]context.CancelFunc)},
		members: member.New(id, "dc1", member.DefaultTimeouts, nil),
	}
	h.claims = claim.New(claim.Deps{
		Clock: clock, Log: zerolog.Nop(), Store: n.store, Entry: id, NewChange: identity.NewChangeID, Settings: claim.DefaultSettings(),
	})
	keys := request.NewAuthenticator(func(jaybarrow.KeyHash) (jaybarrow.AccessKey, bool) {
		return jaybarrow.AccessKey{Team: "trail"}, true
	}, func() bool { return true })
	inFlight := inflight.New()
	h.peers = route.NewLocal(h.scheduler, inFlight)
	router := route.New(route.Deps{
		Clock: clock, Self: id, DataCentre: "dc1", Local: h.peers, Peers: n, Members: h.members, Journal: journal.New(clock, 16),
		Ready:       func() bool { return id == owner },
		DataCentres: func(jaybarrow.PoolID) []jaybarrow.DataCentreID { return []jaybarrow.DataCentreID{"dc1"} },
		LocalLoad:   func(jaybarrow.PoolID) (schedule.Load, bool) { return schedule.Load{}, false },
	})
	h.submit = request.NewSubmit(request.SubmitDeps{
		Clock: clock, Authenticator: keys, Queues: queues{}, InFlight: inFlight, Runner: router, NewID: identity.NewRequestID,
		Claim: func(ctx context.Context, team jaybarrow.TeamID, id jaybarrow.RequestID) (func(context.Context), error) {
			held, err := h.claims.Claim(ctx, team, id)
			return held.Release, err
		},
	})
	h.cancel = request.NewCancel(keys, router)
	return h
}

type queues struct{}

func (queues) HasConfiguration() bool { return true }

func (queues) Queue(id jaybarrow.QueueID) (jaybarrow.Queue, bool) {
	return jaybarrow.Queue{ID: id, Pool: "desk", Class: jaybarrow.ClassSlow, TargetMs: time.Hour.Milliseconds()}, true
}

func (queues) Fits(jaybarrow.PoolID, jaybarrow.Demand) bool { return true }

// submitVia submits the non-idempotent request r through the entry host, and waits until nothing moves but time.
func (n *network) submitVia(id jaybarrow.EntryID) <-chan error {
	answer := make(chan error, 1)
	go func() {
		_, err := n.members[id].submit.Handle(context.Background(), request.Submit{Key: callerKey, Queue: "match", ID: "r"})
		answer <- err
	}()
	synctest.Wait()
	return answer
}

// cancelVia cancels the request r through the entry host, and waits until nothing moves but time.
func (n *network) cancelVia(id jaybarrow.EntryID) <-chan error {
	answer := make(chan error, 1)
	go func() {
		_, err := n.members[id].cancel.Handle(context.Background(), request.Cancel{Key: callerKey, ID: "r"})
		answer <- err
	}()
	synctest.Wait()
	return answer
}

func (n *network) runs() int {
	n.Lock()
	defer n.Unlock()
	return len(n.ran)
}

// Guards against a cancellation that is answered notFound, or noted, and whose request runs nevertheless because the
// cancellation arrived while the request was on its way to its scheduler: while its id is claimed, while no scheduler is known,
// while it is forwarded or handed over. The request must not run, and its caller and the one who cancels must be told so.
func TestCancellationOnTheWayToTheScheduler(t *testing.T) {
	cases := []struct {
		name  string
		owner jaybarrow.EntryID
		setUp func(n *network)
	}{
		{"during the claim", "a", func(n *network) { n.store.set(500*time.Millisecond, false) }},
		{"during the claim, scheduled elsewhere", "c", func(n *network) { n.store.set(500*time.Millisecond, false) }},
		{"no scheduler known", "", func(*network) {}},
		{"between two attempts", "a", func(n *network) { n.members["a"].scheduler.setRefusing(true) }},
		{"between two forwarded attempts", "c", func(n *network) { n.members["c"].scheduler.setRefusing(true) }},
	}
	for _, c := range cases {
		for _, through := range []jaybarrow.EntryID{"a", "b", "c"} {
			t.Run(fmt.Sprintf("%s, cancelled through %s", c.name, through), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := newNetwork(c.owner)
					c.setUp(n)
					submitted := n.submitVia("a")
					cancelled := n.cancelVia(through)
					for _, h := range n.members {
						h.scheduler.setRefusing(false)
					}
					cancelError, submitError := <-cancelled, <-submitted
					assert.Check(t, cancelError == nil, "%v", cancelError)
					assertNotRun(t, n, submitError)
					assertFree(t, n)
				})
			})
		}
	}
}

// assertNotRun asserts that the request was answered as cancelled and not run, and that no scheduler got it.
func assertNotRun(t *testing.T, n *network, err error) {
	t.Helper()
	assert.Check(t, jaybarrow.IsKind(err, jaybarrow.KindCancelled), "%v", err)
	if err != nil {
		assert.Check(t, jaybarrow.AsError(err).Effect == jaybarrow.EffectNotRun, "%v", err)
	}
	time.Sleep(time.Second)
	assert.Check(t, n.runs() == 0, "it ran")
}

// assertFree asserts that the id of a request that did not run can be used again, after its cancellation too.
func assertFree(t *testing.T, n *network) {
	t.Helper()
	n.store.set(0, false)
	ranBefore := n.runs()
	n.members["a"].members.Observe(member.State{
		ID: "c", DataCentre: "dc1", PeerAddress: "c", Incarnation: 1, Sequence: 2, Ready: true, ReportedAt: time.Now().Add(time.Hour),
	})
	err := <-n.submitVia("a")
	assert.Check(t, err == nil, "%v", err)
	assert.Check(t, n.runs() == ranBefore+1)
}

// Guards against a cancellation that is lost because it arrives at the scheduler before the forwarded request does. The request
// may start before the cancellation reaches it, but must end at once.
func TestCancellationOvertakesAForwardedRequest(t *testing.T) {
	for _, through := range []jaybarrow.EntryID{"a", "b", "c"} {
		t.Run(string("cancelled through "+through), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork("c")
				n.transit = 200 * time.Millisecond
				startedAt := time.Now()
				submitted := n.submitVia("a")
				cancelError, err := <-n.cancelVia(through), <-submitted
				assert.Check(t, cancelError == nil, "%v", cancelError)
				assert.Check(t, jaybarrow.IsKind(err, jaybarrow.KindCancelled), "%v", err)
				assert.Check(t, time.Since(startedAt) < time.Second, "ended after %s", time.Since(startedAt))
				assert.Check(t, err == nil || n.runs() == 0 || jaybarrow.AsError(err).Effect != jaybarrow.EffectNotRun)
			})
		})
	}
}

// Guards against a cancellation that ends only a duplicate: it arrives at the entry host that still claims the id for the
// duplicate, while the request that holds the id runs through another entry host.
func TestCancellationThroughTheEntryHostOfADuplicate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork("c")
		first := n.submitVia("a")
		n.store.set(500*time.Millisecond, false)
		duplicate := n.submitVia("b")
		cancelled := n.cancelVia("b")
		cancelError, duplicateError, err := <-cancelled, <-duplicate, <-first
		assert.Check(t, cancelError == nil, "%v", cancelError)
		assert.Check(t, jaybarrow.IsKind(duplicateError, jaybarrow.KindDuplicateRequest), "%v", duplicateError)
		assert.Check(t, jaybarrow.IsKind(err, jaybarrow.KindCancelled), "%v", err)
		assert.Check(t, n.runs() == 1)
	})
}

// Guards against a claim that fails after its request was cancelled and is answered with another reason, or whose
// cancellation is kept for the next request with the id.
func TestCancellationDuringAFailingClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork("a")
		n.store.set(500*time.Millisecond, true)
		submitted := n.submitVia("a")
		cancelled := n.cancelVia("a")
		cancelError, err := <-cancelled, <-submitted
		assert.Check(t, jaybarrow.IsKind(cancelError, jaybarrow.KindNotFound), "%v", cancelError)
		assert.Check(t, jaybarrow.IsKind(err, jaybarrow.KindClaimUnavailable), "%v", err)
		assert.Check(t, jaybarrow.AsError(err).Effect == jaybarrow.EffectNotRun)
		assert.Check(t, n.runs() == 0)
		assertFree(t, n)
	})
}

// Guards against a cancellation of an id that is not in progress that ends a later request with the id, and against one that
// is answered as if it had ended a request.
func TestCancellationBeforeTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork("a")
		assert.Assert(t, jaybarrow.IsKind(<-n.cancelVia("a"), jaybarrow.KindNotFound))
		assert.NilError(t, <-n.submitVia("a"))
		assert.Assert(t, jaybarrow.IsKind(<-n.cancelVia("b"), jaybarrow.KindNotFound))
	})
}
