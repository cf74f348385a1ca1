package peer_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/member"
	"github.com/jaybarrow/jaybarrow/internal/peer"
	"github.com/jaybarrow/jaybarrow/internal/peer/peerpb"
)

// pausedClock is the system's clock as a process sees it after a pause.
type pausedClock struct {
	jaybarrow.SystemClock
	paused atomic.Int64 // nanoseconds
}

func (c *pausedClock) Now() time.Time { return time.Now().Add(time.Duration(c.paused.Load())) }

// Guards against a configuration that counts as confirmed although the confirmation is as old as the pause of the process: the
// heartbeat that carries it was sent before the pause, waited in the receive buffer, and is read after it.
func TestHeartbeatThatWaitedInTheReceiveBuffer(t *testing.T) {
	listener := listen(t)
	seeds := []peer.Seed{{ID: "sender", DataCentre: "dc", Address: jaybarrow.Address(listener.Addr().String())}}
	started := time.Now()
	sender := startNode(t, "sender", "dc", echoRunner{}, listener, nil)
	clock := &pausedClock{}
	members := member.New("receiver", "dc", member.DefaultTimeouts, nil)
	client := peer.NewClient(clock)
	gossip := peer.NewGossip(peer.GossipDeps{
		Clock: clock, Log: zerolog.Nop(), Client: client, Members: members, Interval: 50 * time.Millisecond,
		Self: func() member.State {
			return member.State{ID: "receiver", DataCentre: "dc", Incarnation: 1, ReportedAt: clock.Now()}
		},
		Seeds: func() []peer.Seed { return seeds }, OnNewerRecord: func(member.State) {},
	})
	server := peer.NewServer(clock, zerolog.Nop(), listen(t), echoRunner{}, fixedChanges{}, gossip, nil)
	defer client.Close()
	defer server.Close(context.Background())
	defer gossip.Close()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, ok := members.Get("sender"); !ok {
			return poll.Continue("the first exchange has not ended")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	gossip.Close()

	sentAt := clock.Now()
	relayed := &peerpb.MemberState{Id: "third", DataCentre: "dc", Incarnation: 1, Sequence: 1, NewestRevision: 5}
	heartbeat := &peerpb.Heartbeat{Relayed: []*peerpb.MemberState{relayed}, Self: &peerpb.MemberState{
		Id: "sender", DataCentre: "dc", PeerAddress: string(sender.self.PeerAddress), Incarnation: 1, NewestRevision: 5,
		Sequence: time.Since(started).Milliseconds() + 1, // later than the exchange by the sender's clock, and not yet the pause
	}}
	clock.paused.Store(int64(8 * time.Second))
	_, err := server.Beat(context.Background(), heartbeat)
	assert.NilError(t, err)
	const tolerance = time.Second
	for _, id := range []jaybarrow.EntryID{"sender", "third"} {
		s, ok := members.Get(id)
		assert.Assert(t, ok, "%s is not known", id)
		assert.Check(t, s.ConfirmedAt.Before(sentAt.Add(tolerance)), "%s counts as confirmed %s after the heartbeat was sent", id, s.ConfirmedAt.Sub(sentAt))
		assert.Check(t, s.ReportedAt.Before(sentAt.Add(tolerance)), "%s counts as heard %s after the heartbeat was sent", id, s.ReportedAt.Sub(sentAt))
	}
}
