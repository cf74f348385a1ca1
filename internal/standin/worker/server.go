package worker

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/task"
)

// Server serves a Worker over HTTP.
type Server struct {
	worker   *Worker
	http     *fasthttp.Server
	listener *limitListener
	faults   faults
	stop     chan struct{}
	stopOnce sync.Once
	group    conc.WaitGroup
}

// NewServer returns a running Server on the listener with DefaultConnections.
func NewServer(worker *Worker, listener net.Listener) *Server {
	return NewLimitedServer(worker, listener, DefaultConnections)
}

// NewLimitedServer returns a running Server that refuses connections above the given number.
func NewLimitedServer(worker *Worker, listener net.Listener, connections int) *Server {
	s := &Server{worker: worker, listener: newLimitListener(listener, connections), stop: make(chan struct{})}
	s.http = &fasthttp.Server{
		Handler: s.handle, MaxRequestBodySize: 8 << 20, NoDefaultServerHeader: true, CloseOnShutdown: true,
		MaxIdleWorkerDuration: 200 * time.Millisecond, // bounds how long the cleaner goroutine of fasthttp outlives Close
		Logger:                discardLogger{},        // most tests cause connection errors on purpose
	}
	s.group.Go(func() { _ = s.http.Serve(s.listener) })
	return s
}

// Address returns the address that the server listens on.
func (s *Server) Address() jaybarrow.Address { return jaybarrow.Address(s.listener.Addr().String()) }

// Close stops the running tasks, closes every connection and stops the server.
func (s *Server) Close() {
	s.stopOnce.Do(func() { close(s.stop) })
	_ = s.listener.Close()
	s.worker.stopAll()
	s.listener.closeAll()
	_ = s.http.Shutdown()
	s.group.Wait()
}

func (s *Server) drain(ctx *fasthttp.RequestCtx, draining bool) {
	fence, _ := strconv.ParseInt(string(ctx.Request.Header.Peek(task.HeaderFence)), 10, 64)
	if !s.worker.SetDraining(draining, jaybarrow.Revision(fence)) {
		ctx.SetStatusCode(fasthttp.StatusConflict)
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path, method := string(ctx.Path()), string(ctx.Method())
	switch {
	case path == "/status":
		writeJSON(ctx, s.worker.Status())
	case path == "/ledger":
		writeJSON(ctx, s.worker.Ledger())
	case path == "/drain":
		s.drain(ctx, method == fasthttp.MethodPost)
	case strings.HasPrefix(path, "/control/"):
		s.control(ctx, method, strings.TrimPrefix(path, "/control/"))
	case strings.HasPrefix(path, "/tasks/"):
		id, action, _ := strings.Cut(strings.TrimPrefix(path, "/tasks/"), "/")
		s.task(ctx, method, jaybarrow.TaskID(id), action)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
	s.setWorkerHeaders(&ctx.Response)
}

// setWorkerHeaders sets the boot and the clock of the worker on an answer. It is called last, because the clock must be
// recent.
func (s *Server) setWorkerHeaders(response *fasthttp.Response) {
	response.Header.Set(task.HeaderBoot, string(s.worker.Boot()))
	response.Header.Set(task.HeaderClock, strconv.FormatInt(int64(s.worker.Clock()), 10))
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	ctx.SetContentType("application/json")
	_ = json.NewEncoder(ctx).Encode(value)
}

// sleep waits for the duration, or until the server is closed.
func (s *Server) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.stop:
	}
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
