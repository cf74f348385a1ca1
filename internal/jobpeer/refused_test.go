package jobpeer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/jobpeer"
	"github.com/jaybarrow/jaybarrow/internal/jobpeer/jobpb"
)

// countedListener counts the connections that are made to it.
type countedListener struct {
	net.Listener
	connections atomic.Int64
}

func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.connections.Add(1)
	}
	return c, err
}

// Guards against a leader of an earlier build that takes no reports: the answer must not count as none, since the connection would be closed with
// the questions and writes on it, and the caller must be able to tell it from a lost one.
func TestAnUnknownCallIsAnAnswer(t *testing.T) {
	l := &countedListener{Listener: listener(t)}
	server := grpc.NewServer()
	jobpb.RegisterJobsServer(server, jobpb.UnimplementedJobsServer{})
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	defer func() {
		server.Stop()
		<-served
	}()
	c := jobpeer.NewClient()
	defer c.Close()
	for range 6 {
		ctx, cancel := context.WithTimeout(t.Context(), faultTimeout)
		err := c.Refused(ctx, jaybarrow.Address(l.Addr().String()), []jaybarrow.RefusedJob{{ID: "a", Pool: "desk"}})
		cancel()
		assert.Assert(t, jobpeer.IsUnknownCall(err), "%v", err)
	}
	assert.Equal(t, l.connections.Load(), int64(1))
	assert.Assert(t, !jobpeer.IsUnknownCall(context.DeadlineExceeded))
	assert.Assert(t, !jobpeer.IsUnknownCall(nil))
}

// refusals is a Handler that takes reports.
type refusals struct {
	jobpeer.Handler
	jobs []jaybarrow.RefusedJob
	err  error
}

func (r *refusals) Refused(jobs []jaybarrow.RefusedJob) error {
	r.jobs = jobs
	return r.err
}

// Guards against a job that arrives changed, and against a report that counts as taken by an entry host that does not lead.
func TestRefusedJobsArriveAsTheyWereSent(t *testing.T) {
	r, l := new(refusals), listener(t)
	s := jobpeer.NewServer(zerolog.Nop(), l, r, nil)
	defer s.Close()
	c := jobpeer.NewClient()
	defer c.Close()
	send := func(jobs []jaybarrow.RefusedJob) error {
		ctx, cancel := context.WithTimeout(t.Context(), faultTimeout)
		defer cancel()
		return c.Refused(ctx, jaybarrow.Address(l.Addr().String()), jobs)
	}
	jobs := []jaybarrow.RefusedJob{
		{ID: "00000000000000aa", Pool: "desk", Age: 1250 * time.Millisecond, Work: jaybarrow.Work{CPU: 1.5, Memory: 2, Accelerators: 3}},
		{ID: "00000000000000ab", Pool: "lab"},
	}
	assert.NilError(t, send(jobs))
	assert.DeepEqual(t, r.jobs, jobs)
	assert.NilError(t, send(make([]jaybarrow.RefusedJob, 10_000)))
	assert.Equal(t, len(r.jobs), 500, "the largest report")
	r.err = jaybarrow.Errorf(jaybarrow.KindPeerLost, "this entry host does not lead")
	err := send(jobs)
	assert.Assert(t, jaybarrow.IsKind(err, jaybarrow.KindPeerLost) && !jobpeer.IsUnknownCall(err), "%v", err)
}
