package task

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
	"github.com/jaybarrow/jaybarrow/internal/shard"
)

// Settings bounds the client's connections and waits. A zero field takes its default.
type Settings struct {
	ConnectionsPerWorker int           // for tasks
	ControlConnections   int           // per worker, for calls other than running a task
	DialTimeout          time.Duration // to open a connection
	CallTimeout          time.Duration // for calls other than running a task
	RunTimeout           time.Duration // for the whole run of a task
	Lease                time.Duration // how long a worker runs a task without a renewal
	RenewEvery           time.Duration // between two renewals of a task's lease
	AnswerGrace          time.Duration // for the response to arrive after the worker reported that the task ended
}

// DefaultSettings returns the default of each setting.
func DefaultSettings() Settings {
	return Settings{
		ConnectionsPerWorker: 16,
		ControlConnections:   4,
		DialTimeout:          time.Second,
		CallTimeout:          time.Second,
		RunTimeout:           24 * time.Hour,
		Lease:                jaybarrow.TaskLease,
		RenewEvery:           3 * time.Second,
		AnswerGrace:          500 * time.Millisecond,
	}
}

func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	s.ConnectionsPerWorker = orDefault(s.ConnectionsPerWorker, d.ConnectionsPerWorker)
	s.ControlConnections = orDefault(s.ControlConnections, d.ControlConnections)
	s.DialTimeout = orDefault(s.DialTimeout, d.DialTimeout)
	s.CallTimeout = orDefault(s.CallTimeout, d.CallTimeout)
	s.RunTimeout = orDefault(s.RunTimeout, d.RunTimeout)
	s.Lease = orDefault(s.Lease, d.Lease)
	s.RenewEvery = orDefault(s.RenewEvery, d.RenewEvery)
	s.AnswerGrace = orDefault(s.AnswerGrace, d.AnswerGrace)
	return s
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// Client runs tasks on workers over HTTP. After a Run that returned EffectMayHaveRun, AwaitEnd must be called once for the
// task, because the client keeps the state of the task's lease until then.
type Client struct {
	clock    jaybarrow.Clock
	settings Settings
	workers  *shard.Map[jaybarrow.Address, *worker]
	attempts *shard.Map[jaybarrow.TaskID, *attempt]
	group    *rungroup.Group
}

// worker is the client's state for one worker: its connections and the last reading of its clock.
type worker struct {
	tasks   *fasthttp.HostClient
	control *fasthttp.HostClient
	clock   clockReading
}

// New returns a Client without connections. A failure of a background part is reported to onFault.
func New(clock jaybarrow.Clock, settings Settings, onFault rungroup.Handler) *Client {
	return &Client{
		clock:    clock,
		group:    rungroup.New(onFault),
		settings: settings.withDefaults(),
		workers:  shard.New[jaybarrow.Address, *worker](),
		attempts: shard.New[jaybarrow.TaskID, *attempt](),
	}
}

// Close waits for the client's goroutines and closes its idle connections; no Run may be active.
func (c *Client) Close() {
	c.group.Wait()
	c.workers.Each(func(_ jaybarrow.Address, w *worker) {
		w.tasks.CloseIdleConnections()
		w.control.CloseIdleConnections()
	})
}

func (c *Client) worker(address jaybarrow.Address) *worker {
	return c.workers.GetOrCreate(address, func() *worker {
		w := &worker{
			tasks:   c.newHTTP(address, c.settings.ConnectionsPerWorker),
			control: c.newHTTP(address, c.settings.ControlConnections),
		}
		// The renewals of many tasks share few connections, so they wait for a free one.
		w.control.MaxConnWaitTimeout = c.settings.CallTimeout
		return w
	})
}

// maxAnswerBytes is the size of the largest answer of a worker. Entry hosts forward answers of at most 16 MiB to each other.
const maxAnswerBytes = 64 << 20

func (c *Client) newHTTP(address jaybarrow.Address, connections int) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                string(address),
		MaxConns:            connections,
		MaxIdleConnDuration: 5 * time.Second,
		MaxResponseBodySize: maxAnswerBytes,
		Dial: func(addr string) (net.Conn, error) {
			return net.DialTimeout("tcp", addr, c.settings.DialTimeout)
		},
	}
}
