package worker

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/task"
)

// Work is the body of a request that the stand-in understands; any other body is echoed at once.
type Work struct {
	RunMs int64  `json:"runMs"`
	Echo  string `json:"echo"`
	Fail  bool   `json:"fail,omitempty"`
}

// Done is the stand-in's answer to a request.
type Done struct {
	Request jaybarrow.RequestID `json:"request"`
	Task    jaybarrow.TaskID    `json:"task"`
	Worker  jaybarrow.HostID    `json:"worker"`
	Echo    string              `json:"echo"`
}

// Server serves a Worker over HTTP.
type Server struct {
	worker   *Worker
	http     *fasthttp.Server
	listener net.Listener
	group    conc.WaitGroup
}

// NewServer returns a running Server on the listener.
func NewServer(worker *Worker, listener net.Listener) *Server {
	s := &Server{worker: worker, listener: listener}
	s.http = &fasthttp.Server{Handler: s.handle, MaxRequestBodySize: 8 << 20, NoDefaultServerHeader: true}
	s.group.Go(func() { _ = s.http.Serve(listener) })
	return s
}

// Address returns the address that the server listens on.
func (s *Server) Address() jaybarrow.Address { return jaybarrow.Address(s.listener.Addr().String()) }

// Close stops the server.
func (s *Server) Close() {
	_ = s.http.Shutdown()
	s.group.Wait()
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.Set(task.HeaderClock, strconv.FormatInt(int64(s.worker.Clock()), 10))
	path, method := string(ctx.Path()), string(ctx.Method())
	id, action, _ := strings.Cut(strings.TrimPrefix(path, "/tasks/"), "/")
	switch {
	case path == "/status":
		writeJSON(ctx, s.worker.Status())
	case path == "/ledger":
		writeJSON(ctx, s.worker.Ledger())
	case path == "/drain":
		s.worker.SetDraining(method == fasthttp.MethodPost)
	case method == fasthttp.MethodPost && action == "":
		s.run(ctx, jaybarrow.TaskID(id))
	case action == "renew":
		found(ctx, s.worker.Renew(jaybarrow.TaskID(id)))
	case method == fasthttp.MethodDelete, action == "checkpoint":
		found(ctx, s.worker.End(jaybarrow.TaskID(id), task.OutcomeStopped))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func found(ctx *fasthttp.RequestCtx, ok bool) {
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	ctx.SetContentType("application/json")
	_ = json.NewEncoder(ctx).Encode(value)
}

func (s *Server) run(ctx *fasthttp.RequestCtx, id jaybarrow.TaskID) {
	header := func(name string) string { return string(ctx.Request.Header.Peek(name)) }
	number := func(name string) int64 {
		n, _ := strconv.ParseInt(header(name), 10, 64)
		return n
	}
	ctx.Response.Header.Set(task.HeaderTask, string(id))
	stop, reason := s.worker.Begin(Start{
		Task:        id,
		Request:     jaybarrow.RequestID(header(task.HeaderRequest)),
		Team:        jaybarrow.TeamID(header(task.HeaderTeam)),
		Slots:       jaybarrow.Slots(number(task.HeaderSlots)),
		Entry:       jaybarrow.EntryID(header(task.HeaderEntry)),
		Incarnation: jaybarrow.Incarnation(number(task.HeaderIncarnation)),
		Lease:       time.Duration(number(task.HeaderLease)) * time.Millisecond,
		StartBefore: jaybarrow.WorkerClock(number(task.HeaderStartBefore)),
	})
	if reason != "" {
		respond(ctx, fasthttp.StatusServiceUnavailable, task.OutcomeRefused, reason)
		return
	}
	work := Work{Echo: string(ctx.PostBody())}
	_ = json.Unmarshal(ctx.PostBody(), &work)
	select {
	case <-stop:
		respond(ctx, fasthttp.StatusGatewayTimeout, task.OutcomeStopped, "stopped")
		return
	case <-time.After(time.Duration(work.RunMs) * time.Millisecond):
	}
	outcome := task.OutcomeDone
	if work.Fail {
		outcome = task.OutcomeFailed
	}
	if !s.worker.End(id, outcome) {
		respond(ctx, fasthttp.StatusGatewayTimeout, task.OutcomeStopped, "stopped")
		return
	}
	if work.Fail {
		respond(ctx, fasthttp.StatusInternalServerError, outcome, "the work failed")
		return
	}
	done, _ := json.Marshal(Done{jaybarrow.RequestID(header(task.HeaderRequest)), id, s.worker.id, work.Echo})
	respond(ctx, fasthttp.StatusOK, outcome, string(done))
}

func respond(ctx *fasthttp.RequestCtx, status int, outcome task.Outcome, body string) {
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set(task.HeaderOutcome, string(outcome))
	fmt.Fprint(ctx, body)
}
