package e2e

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/worker"
)

// Guards against an answer that is truncated, duplicated, late or of another task and reaches a caller, and against an answer
// that is lost although the worker still has it.
func TestAnswersUnderWorkerFaults(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		inject func(*workerHost)
		remove func(*workerHost)
	}{
		{"later than the answer grace", setFault(worker.FaultLate, 1500*time.Millisecond), setFault(worker.FaultNone, 0)},
		{"late", setFault(worker.FaultLate, 100*time.Millisecond), setFault(worker.FaultNone, 0)},
		{"crossed", setFault(worker.FaultCross, 0), setFault(worker.FaultNone, 0)},
		{"truncated", setFault(worker.FaultTruncate, 0), setFault(worker.FaultNone, 0)},
		{"duplicated", setFault(worker.FaultDuplicate, 0), setFault(worker.FaultNone, 0)},
		{"duplicated later", setFault(worker.FaultDuplicate, 50*time.Millisecond), setFault(worker.FaultNone, 0)},
		{"hanging", setFault(worker.FaultHang, 0), setFault(worker.FaultNone, 0)},
		{"open connections frozen", func(w *workerHost) { w.control(http.MethodPost, "freeze", nil) }, func(w *workerHost) { w.control(http.MethodDelete, "freeze", nil) }},
	}
	c := newCluster(t, quickPlan(1, 1, 2, 12))
	h := &history{}
	for i, test := range cases {
		c.sendRounds(h, fmt.Sprintf("before-%d", i), 8, 3) // leaves idle connections for the fault to affect
		for _, w := range c.workers {
			test.inject(w)
		}
		answers := c.sendRounds(h, fmt.Sprintf("during-%d", i), 12, 4)
		for _, w := range c.workers {
			test.remove(w)
		}
		answers = append(answers, c.sendRounds(h, fmt.Sprintf("after-%d", i), 8, 3)...)
		for _, x := range answers {
			assert.Check(t, x.kind == "", "%s: %s: %s %s", test.name, x.request, x.kind, x.message)
		}
	}
	assertInvariants(t, c, h)
}

// setFault returns a function that injects the fault into a worker.
func setFault(kind worker.FaultKind, delay time.Duration) func(*workerHost) {
	return func(w *workerHost) { w.injectFault(worker.Fault{Kind: kind, DelayMs: delay.Milliseconds()}) }
}

// sendRounds sends rounds of concurrent calls through the first entry host, half of them non-idempotent, and returns the
// results.
func (c *cluster) sendRounds(h *history, name string, callers, rounds int) []callResult {
	var all []callResult
	for n := range rounds {
		var calls []call
		for i := range callers {
			calls = append(calls, call{
				team: "trail", queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("%s-%d-%d", name, n, i)),
				nonIdempotent: i%2 == 1, run: time.Duration(5+i) * time.Millisecond,
			})
		}
		all = append(all, c.sendAll(h, c.entries[0], calls)...)
	}
	return all
}

// Guards against idempotent work that is not retried, and non-idempotent work that is, when the connections to the worker are
// cut during the task.
func TestIdempotentWorkIsRetried(t *testing.T) {
	t.Parallel()
	c := newCluster(t, quickPlan(1, 1, 2, 12))
	h := &history{}
	c.sendRounds(h, "earn", 10, 10) // the retry budget is a tenth of the requests
	runsOn := c.workers[0]
	for _, nonIdempotent := range []bool{false, true} {
		id := jaybarrow.RequestID(fmt.Sprintf("lost-%v", nonIdempotent))
		answer := make(chan callResult, 1)
		go func() {
			answer <- c.send(h, c.entries[0], call{team: "trail", queue: "match", id: id, nonIdempotent: nonIdempotent, run: 3 * time.Second})
		}()
		task := c.awaitRequest(id)
		for _, w := range c.workers {
			if _, runs := ledgerEntry(c, w, task.Task); runs {
				runsOn = w
			}
		}
		assert.NilError(t, runsOn.proxy.Set(refuseConnections))
		runsOn.proxy.Cut()
		x := <-answer
		assert.NilError(t, runsOn.proxy.Set(noFaults))
		if nonIdempotent {
			assert.Equal(t, x.kind, jaybarrow.KindWorkerLost, "%+v", x)
			assert.Equal(t, x.effect, jaybarrow.EffectMayHaveRun)
		} else {
			assert.Equal(t, x.kind, jaybarrow.ErrorKind(""), "%+v", x)
			assert.Equal(t, len(ledgers(c.ledgers()).started()[requestKey{"trail", id}]), 2)
		}
	}
	assertInvariants(t, c, h)
}

// ledgerEntry returns the task's entry in the worker's ledger.
func ledgerEntry(c *cluster, w *workerHost, task jaybarrow.TaskID) (worker.Entry, bool) {
	for _, e := range c.ledgers()[w.host.ID] {
		if e.Task == task {
			return e, true
		}
	}
	return worker.Entry{}, false
}

// Guards against a request that is reported as not run although a worker ran and failed it. The retry waits for another worker
// until its deadline or cancellation, so the final error is about the wait.
func TestFailedAttemptIsNotReportedAsNotRun(t *testing.T) {
	t.Parallel()
	c := newCluster(t, quickPlan(1, 1, 2, 20))
	h := &history{}
	busy := c.workers[1]
	assert.NilError(t, c.workers[0].proxy.Set(refuseConnections))
	var blockers sync.WaitGroup
	for i := range workerSlots {
		blockers.Go(func() {
			c.send(h, c.entries[0], call{team: "trail", queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("blocker-%d", i)), nonIdempotent: true, run: 10 * time.Second})
		})
	}
	c.awaitRunning("the blocking requests do not run", func(running []worker.Entry) bool { return len(running) == workerSlots })
	for _, e := range c.ledgers()[busy.host.ID] {
		assert.Assert(t, e.StartedNs != 0, "%+v", e)
	}
	assert.NilError(t, c.workers[0].proxy.Set(noFaults))
	c.workers[0].injectFault(worker.Fault{Kind: worker.FaultFail, DelayMs: 200})
	answer := make(chan callResult, 1)
	go func() {
		answer <- c.send(h, c.entries[0], call{team: "trail", queue: "match", id: "failed-first", run: time.Millisecond, within: 3 * time.Second})
	}()
	x := <-answer
	assert.Check(t, x.kind != "" && x.effect != jaybarrow.EffectNotRun, "%+v", x)
	blockers.Wait()
	assertInvariants(t, c, h)
}
