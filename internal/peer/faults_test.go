package peer_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/logging"
	"github.com/jaybarrow/jaybarrow/internal/member"
	"github.com/jaybarrow/jaybarrow/internal/peer"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
)

// Guards against an entry host that sends no heartbeats after a panic, while it goes on scheduling for its data centre.
func TestAPanicOfTheHeartbeatsIsReported(t *testing.T) {
	faults := make(chan rungroup.Fault, 1)
	peer.NewGossip(peer.GossipDeps{
		Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Members: member.New("here", "dc1", member.DefaultTimeouts, nil),
		Interval: time.Millisecond, Self: func() member.State { panic("broken state") },
		OnFault: func(f rungroup.Fault) { faults <- f },
	})
	select {
	case f := <-faults:
		assert.Equal(t, f.Part, logging.Part("heartbeats"))
	case <-time.After(5 * time.Second):
		t.Error("no fault was reported")
	}
}
