package worker_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
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
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

func newWorker() *worker.Worker {
	return worker.New(jaybarrow.SystemClock{}, "host-1", jaybarrow.Demand{Slots: 2})
}

func start(id jaybarrow.TaskID) worker.Start {
	return worker.Start{Task: id, Entry: "entry-1", Incarnation: 5, Slots: 1, Lease: time.Minute}
}

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("waiting until %s", description)
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(20*time.Second))
}

// Guards against a stand-in that starts a task that a worker of the platform must refuse, which would hide errors of the
// client.
func TestStartTaskRefuses(t *testing.T) {
	cases := []struct {
		name    string
		arrange func(w *worker.Worker)
		change  func(s *worker.Start)
		reason  string
		state   task.Outcome
	}{
		{"started", nil, nil, "", task.OutcomeRunning},
		{"late", nil, func(s *worker.Start) { s.StartBefore = -1 }, worker.ReasonLate, task.OutcomeRefused},
		{"other boot", nil, func(s *worker.Start) { s.Boot = "other" }, worker.ReasonOtherBoot, task.OutcomeRefused},
		{"older incarnation", func(w *worker.Worker) {
			w.StartTask(start("first"))
		}, func(s *worker.Start) { s.Incarnation = 4 }, worker.ReasonOldIncarnation, task.OutcomeRefused},
		{"draining", func(w *worker.Worker) { w.SetDraining(true, 0) }, nil, worker.ReasonDraining, task.OutcomeRefused},
		{"full", nil, func(s *worker.Start) { s.Slots = 3 }, worker.ReasonFull, task.OutcomeRefused},
		{"running", func(w *worker.Worker) { w.StartTask(start("task")) }, nil, worker.ReasonStartedBefore, task.OutcomeRunning},
		{"finished", func(w *worker.Worker) {
			w.StartTask(start("task"))
			w.Finish("task", task.OutcomeDone, nil)
		}, nil, worker.ReasonStartedBefore, task.OutcomeDone},
		{"cancelled in advance", func(w *worker.Worker) { w.Cancel("task") }, nil, worker.ReasonRefusedBefore, task.OutcomeRefused},
		{"refused in advance", func(w *worker.Worker) {
			w.SetDraining(true, 0)
			w.StartTask(start("task"))
			w.SetDraining(false, 0)
		}, nil, worker.ReasonRefusedBefore, task.OutcomeRefused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorker()
			if c.arrange != nil {
				c.arrange(w)
			}
			s := start("task")
			if c.change != nil {
				c.change(&s)
			}
			execution, state, reason := w.StartTask(s)
			assert.Equal(t, execution != nil, c.reason == "")
			assert.Equal(t, reason, c.reason)
			assert.Equal(t, state, c.state)
		})
	}
}

// Guards against tasks that run after their lease has expired, and against renewals that shorten a lease.
func TestLease(t *testing.T) {
	w := newWorker()
	short, renewed := start("short"), start("renewed")
	short.Lease, renewed.Lease = 50*time.Millisecond, 50*time.Millisecond
	w.StartTask(short)
	w.StartTask(renewed)
	assert.Equal(t, w.Renew("renewed", w.Clock()+60_000), task.OutcomeRunning)
	assert.Equal(t, w.Renew("renewed", 1), task.OutcomeRunning)
	eventually(t, "the lease ended", func() bool {
		outcome, _, _ := w.Result("short")
		return outcome == task.OutcomeStopped
	})
	assert.Equal(t, w.Renew("short", 0), task.OutcomeStopped)
	outcome, _, _ := w.Result("renewed")
	assert.Equal(t, outcome, task.OutcomeRunning)
	w.Cancel("renewed")
}

// steppedClock is a clock that the test sets.
type steppedClock struct {
	jaybarrow.SystemClock
	now time.Time
}

func (c *steppedClock) Now() time.Time { return c.now }

// Guards against reports without the lag of platform reports, and against answers that are kept after their retention.
func TestReportsLagAndAnswersAreDropped(t *testing.T) {
	clock := &steppedClock{now: time.Now()}
	w := worker.New(clock, "host-1", jaybarrow.Demand{Slots: 2})
	w.SetUsageLag(time.Second)
	w.StartTask(start("task"))
	assert.Equal(t, len(w.Status().Running), 0)
	clock.now = clock.now.Add(1100 * time.Millisecond)
	assert.DeepEqual(t, w.Status().Running, []jaybarrow.TaskID{"task"})
	w.Finish("task", task.OutcomeDone, []byte("answer"))
	assert.Equal(t, len(w.Status().Running), 1)

	clock.now = clock.now.Add(worker.AnswerRetention)
	_, answer, kept := w.Result("task")
	assert.Assert(t, kept && string(answer) == "answer")
	clock.now = clock.now.Add(time.Second)
	outcome, _, kept := w.Result("task")
	assert.Assert(t, !kept && outcome == task.OutcomeDone)
}

// Guards against a throttle that does not change a running task's speed.
func TestThrottle(t *testing.T) {
	w := newWorker()
	execution, _, _ := w.StartTask(start("task"))
	assert.Assert(t, w.Throttle("task", 1e6))
	began := time.Now()
	assert.Assert(t, execution.Run(10*time.Minute))
	assert.Assert(t, time.Since(began) < time.Minute)
	w.Finish("task", task.OutcomeDone, nil)
	assert.Assert(t, !w.Throttle("task", 1))
}

// Guards against a task that is started although its request was delayed on the connection until after its start-before time.
func TestDelayedConnection(t *testing.T) {
	w, server := serve(t, worker.DefaultConnections)
	connection := dial(t, server)
	defer connection.Close()
	request(t, connection, "GET", "/status", "")
	server.SetFrozen(true, nil)
	startBefore := w.Clock() + 100
	send(t, connection, "POST", "/tasks/task", fmt.Sprintf("%s: %d\r\n%s: 1000\r\n", task.HeaderStartBefore, startBefore, task.HeaderLease))
	eventually(t, "the start-before time passed", func() bool { return w.Clock() > startBefore })
	server.SetFrozen(false, nil)
	response := receive(t, connection)
	assert.Equal(t, response.Header.Get(task.HeaderOutcome), string(task.OutcomeRefused))
	ledger := w.Ledger()
	assert.Assert(t, len(ledger) == 1 && ledger[0].StartedNs == 0 && ledger[0].Reason == worker.ReasonLate, "%v", ledger)
}

// Guards against a worker that serves more connections than its limit.
func TestConnectionLimit(t *testing.T) {
	_, server := serve(t, 2)
	first, second, third := dial(t, server), dial(t, server), dial(t, server)
	defer third.Close()
	defer second.Close()
	assert.Equal(t, request(t, first, "GET", "/status", "").StatusCode, http.StatusOK)
	assert.Equal(t, request(t, second, "GET", "/status", "").StatusCode, http.StatusOK)
	assert.Equal(t, receive(t, third).StatusCode, http.StatusServiceUnavailable)
	assert.NilError(t, first.Close())
	eventually(t, "the closed connection made room", func() bool {
		fourth := dial(t, server)
		defer fourth.Close()
		return request(t, fourth, "GET", "/status", "").StatusCode == http.StatusOK
	})
}

// Guards against control endpoints that do not switch the faults.
func TestControlEndpoints(t *testing.T) {
	w, server := serve(t, worker.DefaultConnections)
	connection := dial(t, server)
	defer connection.Close()
	post := func(path, body string) *http.Response {
		return request(t, connection, "POST", path, fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)
	}
	lease := fmt.Sprintf("%s: 1000\r\n", task.HeaderLease)
	assert.Equal(t, post("/control/fault", `{"kind":"fail"}`).StatusCode, http.StatusOK)
	assert.Equal(t, request(t, connection, "POST", "/tasks/a", lease).Header.Get(task.HeaderOutcome), string(task.OutcomeFailed))
	assert.Equal(t, request(t, connection, "DELETE", "/control/fault", "").StatusCode, http.StatusOK)
	assert.Equal(t, request(t, connection, "POST", "/tasks/b", lease).Header.Get(task.HeaderOutcome), string(task.OutcomeDone))
	assert.Equal(t, post("/tasks/b/checkpoint", "").StatusCode, http.StatusConflict)
	assert.Equal(t, post("/control/fault", "{").StatusCode, http.StatusBadRequest)
	outcomes := []task.Outcome{}
	for _, e := range w.Ledger() {
		outcomes = append(outcomes, e.Outcome)
	}
	assert.Assert(t, slices.Equal(outcomes, []task.Outcome{task.OutcomeFailed, task.OutcomeDone}), "%v", outcomes)
}

func serve(t *testing.T, connections int) (*worker.Worker, *worker.Server) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	w := newWorker()
	server := worker.NewLimitedServer(w, listener, connections)
	t.Cleanup(server.Close)
	return w, server
}

func dial(t *testing.T, server *worker.Server) net.Conn {
	connection, err := net.Dial("tcp", string(server.Address()))
	assert.NilError(t, err)
	assert.NilError(t, connection.SetDeadline(time.Now().Add(20*time.Second)))
	return connection
}

func send(t *testing.T, connection net.Conn, method, path, headers string, body ...string) {
	_, err := fmt.Fprintf(connection, "%s %s HTTP/1.1\r\nHost: worker\r\n%s\r\n%s", method, path, headers, strings.Join(body, ""))
	assert.NilError(t, err)
}

func receive(t *testing.T, connection net.Conn) *http.Response {
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(t, err)
	_ = response.Body.Close()
	return response
}

func request(t *testing.T, connection net.Conn, method, path, headers string, body ...string) *http.Response {
	send(t, connection, method, path, headers, body...)
	return receive(t, connection)
}

// Guards against a delayed command of an earlier drain, which would leave the worker draining, and against a lagging report
// from before the drain that makes a busy worker appear empty.
func TestDrainCommandsAreFenced(t *testing.T) {
	w := newWorker()
	assert.Assert(t, w.SetDraining(true, 5))
	assert.Assert(t, w.SetDraining(false, 7))
	assert.Assert(t, !w.SetDraining(true, 5))
	assert.Assert(t, !w.Status().Draining)
	w.SetUsageLag(time.Hour)
	assert.Assert(t, w.SetDraining(true, 8))
	assert.Assert(t, !w.Status().Empty())
	w.SetUsageLag(0)
	assert.Assert(t, w.Status().Empty())
}
