package task_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/worker"
	"github.com/jaybarrow/jaybarrow/internal/task"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(
		m,
		// fasthttp's cleaner of idle connections sleeps for the idle time before it finds that none are left and ends.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
	)
}

// testLease is short, so that leases end within a test.
const testLease = 1500 * time.Millisecond

func shortLeases() task.Settings {
	return task.Settings{
		Lease: testLease, RenewEvery: 200 * time.Millisecond, CallTimeout: 400 * time.Millisecond, AnswerGrace: 100 * time.Millisecond,
	}
}

// fixture is a stand-in worker with a client.
type fixture struct {
	*testing.T
	worker *worker.Worker
	server *worker.Server
	host   jaybarrow.Host
	client *task.Client
	nextID atomic.Int64
}

func newFixture(t *testing.T, settings task.Settings, connections int) *fixture {
	f := &fixture{T: t, host: jaybarrow.Host{ID: "host-1"}}
	f.start("127.0.0.1:0", connections)
	f.client = task.New(jaybarrow.SystemClock{}, settings, nil)
	t.Cleanup(func() {
		f.client.Close()
		f.server.Close()
	})
	return f
}

func (f *fixture) start(address string, connections int) {
	listener, err := net.Listen("tcp", address)
	assert.NilError(f, err)
	f.worker = worker.New(jaybarrow.SystemClock{}, "host-1", jaybarrow.Demand{Slots: 8})
	f.server = worker.NewLimitedServer(f.worker, listener, connections)
	f.host.Address = f.server.Address()
}

// task returns a new task that must start within the given time.
func (f *fixture) task(work worker.Work, within time.Duration) jaybarrow.Task {
	n := f.nextID.Add(1)
	body, err := json.Marshal(work)
	assert.NilError(f, err)
	return jaybarrow.Task{
		ID: jaybarrow.TaskID(fmt.Sprintf("task-%d", n)), Request: jaybarrow.RequestID(fmt.Sprintf("request-%d", n)),
		Team: "trail", Demand: jaybarrow.Demand{Slots: 1}, Entry: "entry-1", Incarnation: 1,
		StartBy: time.Now().Add(within), Body: body,
	}
}

// ledgerEntries returns the ledger entry of the task's start, or nil, and the reasons of its refusals.
func (f *fixture) ledgerEntries(id jaybarrow.TaskID) (started *worker.Entry, refusals []string) {
	for _, e := range f.worker.Ledger() {
		switch {
		case e.Task != id:
		case e.StartedNs != 0:
			assert.Assert(f, started == nil, "task %s was started twice", id)
			started = &e
		default:
			refusals = append(refusals, e.Reason)
		}
	}
	return started, refusals
}

// checkAgainstLedger compares what Run returned for a task with the worker's ledger.
func (f *fixture) checkAgainstLedger(t jaybarrow.Task, body []byte, err error) {
	f.Helper()
	started, _ := f.ledgerEntries(t.ID)
	if err == nil {
		var done worker.Done
		assert.NilError(f, json.Unmarshal(body, &done), "%s", body)
		assert.Equal(f, done.Task, t.ID)
		assert.Equal(f, done.Request, t.Request)
		assert.Assert(f, started != nil && started.Outcome == task.OutcomeDone)
		return
	}
	switch effect := jaybarrow.AsError(err).Effect; effect {
	case jaybarrow.EffectNotRun:
		assert.Assert(f, started == nil, "returned notRun for a task that was started: %v", err)
	case jaybarrow.EffectRan:
		assert.Assert(f, started != nil && started.EndedNs != 0, "returned ran for a task that did not end: %v", err)
	default:
		assert.Equal(f, effect, jaybarrow.EffectMayHaveRun)
	}
}

// eventually waits for the condition.
func (f *fixture) eventually(what string, condition func() bool) {
	f.Helper()
	poll.WaitOn(f, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", what)
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(20*time.Second))
}

func (f *fixture) eventuallyStarted(id jaybarrow.TaskID) {
	f.Helper()
	f.eventually("the task has started", func() bool {
		started, _ := f.ledgerEntries(id)
		return started != nil
	})
}

// eventuallyRefused waits until the delayed start itself was refused, not only cancelled in advance.
func (f *fixture) eventuallyRefused(id jaybarrow.TaskID) {
	f.Helper()
	f.eventually("the start was refused", func() bool {
		_, refusals := f.ledgerEntries(id)
		return slices.Contains(refusals, worker.ReasonLate) || slices.Contains(refusals, worker.ReasonRefusedBefore)
	})
}

// runResult is what a Run returned.
type runResult struct {
	body []byte
	err  error
}

// runAsync starts Run and returns the channel that its result is delivered on.
func (f *fixture) runAsync(ctx context.Context, t jaybarrow.Task) <-chan runResult {
	result := make(chan runResult, 1)
	go func() {
		body, err := f.client.Run(ctx, f.host, t)
		result <- runResult{body, err}
	}()
	return result
}
