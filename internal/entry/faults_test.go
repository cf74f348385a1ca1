package entry_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/entry"
	"github.com/jaybarrow/jaybarrow/internal/logging"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
	"github.com/jaybarrow/jaybarrow/internal/settings"
)

const (
	// faultTimeout bounds the wait for the report of a fault.
	faultTimeout = 5 * time.Second
	// stopTimeout bounds the stop of an entry host that has a failed part.
	stopTimeout = 3 * time.Second
)

// faultyPlatform panics in one of its calls and refuses the others.
type faultyPlatform struct {
	entry.Platform
	faulty string
}

func (p faultyPlatform) call(name string) error {
	if p.faulty == name {
		panic("broken answer")
	}
	return jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "refused").WithEffect(jaybarrow.EffectNotRun)
}

func (p faultyPlatform) Get(context.Context, jaybarrow.Key) (jaybarrow.Record, error) {
	return jaybarrow.Record{}, p.call("get")
}

func (p faultyPlatform) List(context.Context, jaybarrow.Key) ([]jaybarrow.Record, jaybarrow.Revision, error) {
	return nil, 0, p.call("list")
}

func (p faultyPlatform) Hosts(context.Context) ([]jaybarrow.HostNotice, error) {
	return nil, p.call("hosts")
}

// faultyListener cannot accept connections while faulty is set.
type faultyListener struct {
	net.Listener
	faulty bool
}

var errBrokenListener = errors.New("broken listener")

func (l faultyListener) Accept() (net.Conn, error) {
	if l.faulty {
		return nil, errBrokenListener
	}
	return l.Listener.Accept()
}

func listener(t *testing.T, faulty bool) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return faultyListener{l, faulty}
}

// Guards against an entry host that goes on without one of its parts, as if nothing had happened.
func TestAFailedPartIsReported(t *testing.T) {
	cases := []struct {
		faulty string
		part   logging.Part
	}{
		{"list", "follower of the store"},
		{"hosts", "conditions of hosts"},
		{"get", "registration"},
		{"callers", "listener for callers"},
		{"peers", "peer server"},
	}
	for _, c := range cases {
		t.Run(c.faulty, func(t *testing.T) {
			t.Parallel()
			s := settings.Defaults()
			s.Entry.ID, s.Entry.DataCentre = "entry-1", "north"
			faults := make(chan rungroup.Fault, 100)
			e := entry.New(entry.Deps{
				Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Platform: faultyPlatform{faulty: c.faulty}, Settings: s, Times: entry.DefaultTimes(),
				Callers: listener(t, c.faulty == "callers"), Peers: listener(t, c.faulty == "peers"),
				OnFault: func(f rungroup.Fault) { faults <- f },
			})
			defer func() {
				ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
				defer cancel()
				_ = e.Close(ctx) //nolint:errcheck // the stop fails because of the failed part
			}()
			select {
			case f := <-faults:
				assert.Equal(t, f.Part, c.part)
			case <-time.After(faultTimeout):
				t.Error("no fault was reported")
			}
		})
	}
}
