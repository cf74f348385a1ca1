package peer_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/member"
	"github.com/jaybarrow/jaybarrow/internal/peer"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echoRunner answers each request with its id and body.
type echoRunner struct{ fault error }

func (e echoRunner) Run(_ context.Context, r jaybarrow.Request) ([]byte, error) {
	return []byte(string(r.ID) + ":" + string(r.Body)), e.fault
}

func (e echoRunner) Cancel(_ context.Context, _ jaybarrow.TeamID, id jaybarrow.RequestID) (bool, error) {
	return id == "known", nil
}

// fixedChanges is a ChangeSource with one record.
type fixedChanges struct{}

func (fixedChanges) Since(jaybarrow.Revision) ([]jaybarrow.Record, jaybarrow.Revision) {
	return []jaybarrow.Record{{Key: "k", Value: []byte("v"), Revision: 3}}, 9
}

// node is the peer client, server and gossip of one entry host.
type node struct {
	self         member.State
	members      *member.Members
	client       *peer.Client
	server       *peer.Server
	gossip       *peer.Gossip
	newerRecords atomic.Int64
}

// startNode starts a node that exchanges heartbeats with the seeds.
func startNode(t *testing.T, id, dc string, local jaybarrow.Runner, listener net.Listener, seeds []peer.Seed) *node {
	t.Helper()
	n := &node{client: peer.NewClient(jaybarrow.SystemClock{})}
	started := time.Now()
	n.self = member.State{
		ID: jaybarrow.EntryID(id), DataCentre: jaybarrow.DataCentreID(dc), Incarnation: 1, Ready: true,
		PeerAddress: jaybarrow.Address(listener.Addr().String()), Applied: 5, Newest: 5,
		Loads: map[jaybarrow.PoolID]schedule.Load{"pool": {Waiting: 1, Running: 2, FreeSlots: 3}},
	}
	n.members = member.New(n.self.ID, n.self.DataCentre, member.DefaultTimeouts, nil)
	n.gossip = peer.NewGossip(peer.GossipDeps{
		Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Client: n.client, Members: n.members,
		Interval: 50 * time.Millisecond,
		Self: func() member.State {
			s := n.self
			s.ReportedAt, s.ConfirmedAt, s.Sequence = time.Now(), time.Now(), time.Since(started).Milliseconds()
			return s
		},
		Seeds:         func() []peer.Seed { return seeds },
		OnNewerRecord: func(member.State) { n.newerRecords.Add(1) },
	})
	n.server = peer.NewServer(jaybarrow.SystemClock{}, zerolog.Nop(), listener, local, fixedChanges{}, n.gossip, nil)
	t.Cleanup(func() {
		n.gossip.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		n.server.Close(ctx)
		n.client.Close()
	})
	return n
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return l
}

// Guards against entry hosts that never learn of each other when only the relays of two data centres exchange heartbeats.
func TestGossipReachesEveryEntryHost(t *testing.T) {
	var listeners []net.Listener
	var seeds []peer.Seed
	for i := range 6 {
		listeners = append(listeners, listen(t))
		seeds = append(seeds, peer.Seed{
			ID:         jaybarrow.EntryID(fmt.Sprintf("e%d", i)),
			DataCentre: jaybarrow.DataCentreID(fmt.Sprintf("dc%d", i%2)),
			Address:    jaybarrow.Address(listeners[i].Addr().String()),
		})
	}
	var nodes []*node
	for i, s := range seeds {
		nodes = append(nodes, startNode(t, string(s.ID), string(s.DataCentre), echoRunner{}, listeners[i], seeds))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, n := range nodes {
			live := n.members.LiveStates(time.Now())
			if len(live) != len(nodes)-1 {
				return poll.Continue("%s knows %d live entry hosts", n.self.ID, len(live))
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	state, _ := nodes[0].members.Get("e3")
	assert.Equal(t, state.Loads["pool"].FreeSlots, jaybarrow.Slots(3))
	assert.Equal(t, state.Newest, jaybarrow.Revision(5))
	assert.Equal(t, nodes[0].newerRecords.Load(), int64(0))
}

// Guards against an entry host that stays unknown to the replacement of its peer, because it keeps sending brief states whose
// details the replacement never received.
func TestReplacedEntryHostLearnsTheDetails(t *testing.T) {
	first, second := listen(t), listen(t)
	seeds := []peer.Seed{
		{ID: "a", DataCentre: "dc", Address: jaybarrow.Address(first.Addr().String())},
		{ID: "b", DataCentre: "dc", Address: jaybarrow.Address(second.Addr().String())},
	}
	startNode(t, "a", "dc", echoRunner{}, first, seeds)
	b := startNode(t, "b", "dc", echoRunner{}, second, seeds)
	knowsA := func(n *node) func(poll.LogT) poll.Result {
		return func(poll.LogT) poll.Result {
			if s, ok := n.members.Get("a"); !ok || s.Loads["pool"].FreeSlots != 3 {
				return poll.Continue("%+v", s)
			}
			return poll.Success()
		}
	}
	poll.WaitOn(t, knowsA(b), poll.WithTimeout(20*time.Second))
	b.gossip.Close()
	replacement := startNode(t, "b", "dc", echoRunner{}, listen(t), seeds[:1])
	poll.WaitOn(t, knowsA(replacement), poll.WithTimeout(20*time.Second))
}

// Guards against an error that loses its kind or effect between entry hosts, and against a request that counts as sent although
// the connection was refused.
func TestSubmitKeepsKindAndEffect(t *testing.T) {
	fault := jaybarrow.Errorf(jaybarrow.KindWorkerLost, "silent")
	ok := startNode(t, "ok", "dc", echoRunner{}, listen(t), nil)
	failing := startNode(t, "failing", "dc", echoRunner{fault: fault}, listen(t), nil)
	ctx := context.Background()
	request := jaybarrow.Request{ID: "r1", Body: []byte("body"), Arrived: time.Now(), Target: time.Now()}

	body, err := ok.client.Submit(ctx, ok.self.PeerAddress, request)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "r1:body")

	_, err = ok.client.Submit(ctx, failing.self.PeerAddress, request)
	assert.Equal(t, jaybarrow.AsError(err).Kind, jaybarrow.KindWorkerLost)
	assert.Equal(t, jaybarrow.AsError(err).Effect, jaybarrow.EffectMayHaveRun)

	closed := listen(t)
	assert.NilError(t, closed.Close())
	_, err = ok.client.Submit(ctx, jaybarrow.Address(closed.Addr().String()), request)
	assert.Equal(t, jaybarrow.AsError(err).Kind, jaybarrow.KindPeerLost)
	assert.Equal(t, jaybarrow.AsError(err).Effect, jaybarrow.EffectNotRun)

	known, err := ok.client.Cancel(ctx, failing.self.PeerAddress, "team", "known")
	assert.NilError(t, err)
	assert.Assert(t, known)

	records, reached, err := ok.client.Changes(ctx, failing.self.PeerAddress, 0)
	assert.NilError(t, err)
	assert.Equal(t, reached, jaybarrow.Revision(9))
	assert.Equal(t, records[0].Revision, jaybarrow.Revision(3))
}

// capturingRunner keeps the last request.
type capturingRunner struct {
	echoRunner
	last chan jaybarrow.Request
}

func (c capturingRunner) Run(_ context.Context, r jaybarrow.Request) ([]byte, error) {
	c.last <- r
	return nil, nil
}

// Guards against a forwarded request that loses what its scheduler decides by, such as the key that it checks before the start.
func TestForwardedRequestIsWhole(t *testing.T) {
	last := make(chan jaybarrow.Request, 1)
	n := startNode(t, "a", "dc", capturingRunner{last: last}, listen(t), nil)
	sent := jaybarrow.Request{
		ID: "r1", Team: "trail", KeyHash: "hash", Queue: "match", Pool: "desk", Class: jaybarrow.ClassQuick,
		Demand: jaybarrow.Demand{Slots: 2, Memory: 3, Accelerators: 4}, Declared: time.Second, Arrived: time.Now(),
		Target: time.Now().Add(time.Minute), Deadline: time.Now().Add(time.Hour), Idempotent: true, Body: []byte("body"),
	}
	_, err := n.client.Submit(context.Background(), n.self.PeerAddress, sent)
	assert.NilError(t, err)
	received := <-last
	const tolerance = time.Second // of the clocks, and the time in transit
	for _, times := range [][2]time.Time{{sent.Arrived, received.Arrived}, {sent.Target, received.Target}, {sent.Deadline, received.Deadline}} {
		assert.Check(t, times[1].Sub(times[0]).Abs() < tolerance, "%v", times)
	}
	received.Arrived, received.Target, received.Deadline = sent.Arrived, sent.Target, sent.Deadline
	assert.DeepEqual(t, received, sent)
}
