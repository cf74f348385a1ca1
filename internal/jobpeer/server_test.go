package jobpeer_test

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow/internal/jobpeer"
	"github.com/jaybarrow/jaybarrow/internal/logging"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
)

// faultTimeout bounds the wait for the report of a fault.
const faultTimeout = 5 * time.Second

var errBrokenListener = errors.New("broken listener")

// brokenListener is a listener that cannot accept.
type brokenListener struct{ net.Listener }

func (l brokenListener) Accept() (net.Conn, error) { return nil, errBrokenListener }

func listener(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return l
}

// Guards against an entry host that keeps its role after its peer server has stopped, so that no entry host can ask this leader.
func TestAStoppedServerIsAFault(t *testing.T) {
	faults := make(chan rungroup.Fault, 1)
	s := jobpeer.NewServer(zerolog.Nop(), brokenListener{listener(t)}, nil, func(f rungroup.Fault) { faults <- f })
	select {
	case f := <-faults:
		assert.Equal(t, f.Part, logging.Part("peer server"))
		assert.ErrorIs(t, f.Cause, errBrokenListener)
	case <-time.After(faultTimeout):
		t.Error("no fault was reported")
	}
	s.Close()
}

// Guards against a planned stop that counts as a fault and so ends the process with an error.
func TestAClosedServerIsNoFault(t *testing.T) {
	faults := make(chan rungroup.Fault, 1)
	s := jobpeer.NewServer(zerolog.Nop(), listener(t), nil, func(f rungroup.Fault) { faults <- f })
	s.Close()
	assert.Equal(t, len(faults), 0)
}
