package jobpeer_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/clientlimit"
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

// directory records the last question whether a job is admitted.
type directory struct {
	jobpeer.Handler
	asked jaybarrow.AdmissionRequest
}

func (d *directory) Admit(_ context.Context, r jaybarrow.AdmissionRequest) (jaybarrow.Admission, error) {
	d.asked = r
	return jaybarrow.Admission{Admitted: true}, nil
}

// Guards against a question to the leader that loses what the decision rests on.
func TestAQuestionWhetherAJobIsAdmittedArrivesWhole(t *testing.T) {
	asked := jaybarrow.AdmissionRequest{
		Queue: "match", Pool: "desk", CriticalPath: 700 * time.Millisecond, PathSteps: 4, Work: jaybarrow.Work{CPU: 1, Memory: 2, Accelerators: 3},
	}
	l, d := listener(t), new(directory)
	s := jobpeer.NewServer(zerolog.Nop(), l, d, nil)
	defer s.Close()
	c := jobpeer.NewClient()
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), faultTimeout)
	defer cancel()
	a, err := c.Admit(ctx, jaybarrow.Address(l.Addr().String()), asked)
	assert.NilError(t, err)
	assert.Assert(t, a.Admitted)
	assert.DeepEqual(t, d.asked, asked)
}

// answeringHandler answers the calls of the test.
type answeringHandler struct{ jobpeer.Handler }

func (answeringHandler) JobsWaiting(context.Context, jaybarrow.QueueID) (int, error) { return 7, nil }

func (answeringHandler) Announce(jaybarrow.Record) error { return nil }

// Guards against bytes of handled calls that stay counted, so that the connection of a busy entry host would be closed after a while.
func TestHandledCallsAreNotCounted(t *testing.T) {
	const callers, calls, valueBytes = 8, 200, 20_000
	limited := clientlimit.New(listener(t), clientlimit.Settings{Name: "peers", MaxConnections: 10, Messages: 8 << 20, Calls: 100})
	s := jobpeer.NewServer(zerolog.Nop(), limited, answeringHandler{}, nil)
	defer s.Close()
	client := jobpeer.NewClient()
	defer client.Close()
	address := jaybarrow.Address(limited.Addr().String())
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for range calls {
				n, err := client.JobsWaiting(t.Context(), address, "match")
				assert.Check(t, err)
				assert.Check(t, n == 7)
				assert.Check(t, client.Announce(t.Context(), address, jaybarrow.Record{Key: "k", Value: make([]byte, valueBytes)}))
			}
		})
	}
	group.Wait()
	assert.Equal(t, limited.Open(), int64(1))
	for end := time.Now().Add(10 * time.Second); limited.PendingBytes() > 4<<10; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d bytes are still counted", limited.PendingBytes())
	}
}
