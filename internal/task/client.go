package task

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/shard"
)

// Settings bounds the client's connections and waits.
type Settings struct {
	ConnectionsPerWorker int
	DialTimeout          time.Duration
	CallTimeout          time.Duration // for calls other than running a task
	RunTimeout           time.Duration // for a task's whole run
}

// Client runs tasks on workers over HTTP.
type Client struct {
	clock    jaybarrow.Clock
	settings Settings
	workers  *shard.Map[jaybarrow.Address, *connection]
}

// connection is the client's state for one worker.
type connection struct {
	http *fasthttp.HostClient
}

// New returns a Client without connections.
func New(clock jaybarrow.Clock, settings Settings) *Client {
	return &Client{clock: clock, settings: settings, workers: shard.New[jaybarrow.Address, *connection]()}
}

func (c *Client) connection(address jaybarrow.Address) *connection {
	return c.workers.GetOrCreate(address, func() *connection {
		return &connection{http: &fasthttp.HostClient{
			Addr:                          string(address),
			MaxConns:                      c.settings.ConnectionsPerWorker,
			MaxIdleConnDuration:           5 * time.Second,
			DisableHeaderNamesNormalizing: false,
			// The library's own retries would run a task twice.
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial: func(addr string) (net.Conn, error) {
				return fasthttp.DialTimeout(addr, c.settings.DialTimeout)
			},
		}}
	})
}

// Status asks the worker for its report.
func (c *Client) Status(_ context.Context, host jaybarrow.Host) (jaybarrow.WorkerStatus, error) {
	var status jaybarrow.WorkerStatus
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + string(host.Address) + "/status")
	if err := c.connection(host.Address).http.DoTimeout(request, response, c.settings.CallTimeout); err != nil {
		return status, jaybarrow.Errorf(jaybarrow.KindWorkerLost, "status of %s: %w", host.ID, err)
	}
	if err := json.Unmarshal(response.Body(), &status); err != nil {
		return status, jaybarrow.Errorf(jaybarrow.KindWorkerLost, "status of %s: %w", host.ID, err)
	}
	return status, nil
}

// Run starts the task and waits for its whole answer.
func (c *Client) Run(_ context.Context, host jaybarrow.Host, t jaybarrow.Task) ([]byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + string(host.Address) + "/tasks/" + string(t.ID))
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set(HeaderRequest, string(t.Request))
	request.Header.Set(HeaderTeam, string(t.Team))
	request.Header.Set(HeaderSlots, strconv.Itoa(int(t.Demand.Slots)))
	request.Header.Set(HeaderLease, strconv.FormatInt(jaybarrow.TaskLease.Milliseconds(), 10))
	request.Header.Set(HeaderEntry, string(t.Entry))
	request.Header.Set(HeaderIncarnation, strconv.FormatInt(int64(t.Incarnation), 10))
	request.SetBodyRaw(t.Body)
	if err := c.connection(host.Address).http.DoTimeout(request, response, c.settings.RunTimeout); err != nil {
		return nil, runError(host, err)
	}
	return answer(host, t, response)
}

func runError(host jaybarrow.Host, err error) error {
	lost := jaybarrow.Errorf(jaybarrow.KindWorkerLost, "run on %s: %w", host.ID, err)
	var op *net.OpError
	if errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) || (errors.As(err, &op) && op.Op == "dial") {
		return lost.WithEffect(jaybarrow.EffectNotRun)
	}
	return lost
}

// answer checks that the response belongs to the task and turns its outcome into a body or an error.
func answer(host jaybarrow.Host, t jaybarrow.Task, response *fasthttp.Response) ([]byte, error) {
	if id := string(response.Header.Peek(HeaderTask)); id != string(t.ID) {
		return nil, jaybarrow.Errorf(jaybarrow.KindWorkerLost, "%s answered for task %q instead of %q", host.ID, id, t.ID)
	}
	switch Outcome(response.Header.Peek(HeaderOutcome)) {
	case OutcomeDone:
		return append([]byte(nil), response.Body()...), nil
	case OutcomeRefused:
		return nil, jaybarrow.Errorf(jaybarrow.KindWorkerRefused, "%s: %s", host.ID, response.Body())
	case OutcomeFailed:
		return nil, jaybarrow.Errorf(jaybarrow.KindWorkerFailed, "%s: %s", host.ID, response.Body())
	default:
		return nil, jaybarrow.Errorf(jaybarrow.KindWorkerLost, "%s: %s", host.ID, response.Body())
	}
}

// AwaitEnd waits until the task cannot be running any more.
func (c *Client) AwaitEnd(_ jaybarrow.Host, t jaybarrow.Task) {
	<-c.clock.After(jaybarrow.LeaseEnd(t.StartBy).Sub(c.clock.Now()))
}

// SetDraining tells the worker to refuse, or again accept, new tasks.
func (c *Client) SetDraining(_ context.Context, host jaybarrow.Host, draining bool) error {
	method := fasthttp.MethodDelete
	if draining {
		method = fasthttp.MethodPost
	}
	return c.call(host, method, "/drain")
}

// Checkpoint asks the worker to checkpoint and end the task.
func (c *Client) Checkpoint(_ context.Context, host jaybarrow.Host, id jaybarrow.TaskID) error {
	return c.call(host, fasthttp.MethodPost, "/tasks/"+string(id)+"/checkpoint")
}

func (c *Client) call(host jaybarrow.Host, method, path string) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + string(host.Address) + path)
	request.Header.SetMethod(method)
	if err := c.connection(host.Address).http.DoTimeout(request, response, c.settings.CallTimeout); err != nil {
		return jaybarrow.Errorf(jaybarrow.KindWorkerLost, "%s %s on %s: %w", method, path, host.ID, err)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return jaybarrow.Errorf(jaybarrow.KindWorkerRefused, "%s %s on %s: status %d", method, path, host.ID, response.StatusCode())
	}
	return nil
}
