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

// Guards against an answer that is cut, doubled, late or crossed on its way and reaches a caller, and against a whole answer
// that is lost although the worker still has it.
func TestAnswersUnderWorkerFaults(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		inject func(*workerHost)
		remove func(*workerHost)
	}{
		{"late beyond the answer grace", setFault(worker.FaultLate, 1500*time.Millisecond), setFault(worker.FaultNone, 0)},
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
		c.sendRounds(h, fmt.Sprintf("before-%d", i), 8, 3) // leaves idle connections
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

func setFault(kind worker.FaultKind, delay time.Duration) func(*workerHost) {
	return func(w *workerHost) { w.injectFault(worker.Fault{Kind: kind, DelayMs: delay.Milliseconds()}) }
}

// startCallers sends rounds of calls through the first entry host, half of them non-idempotent, and returns the answers.
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

// Guards against idempotent work that is not tried again when its worker fails it or ends, and against non-idempotent work
// that is.
func TestIdempotentWorkIsRetried(t *testing.T) {
	t.Parallel()
	c := newCluster(t, quickPlan(1, 1, 2, 12))
	h := &history{}
	c.sendRounds(h, "earn", 10, 10) // the retry budget is a tenth of requests
	first := c.workers[0]
	for _, nonIdempotent := range []bool{false, true} {
		id := jaybarrow.RequestID(fmt.Sprintf("lost-%v", nonIdempotent))
		answer := make(chan callResult, 1)
		go func() {
			answer <- c.send(h, c.entries[0], call{team: "trail", queue: "match", id: id, nonIdempotent: nonIdempotent, run: 3 * time.Second})
		}()
		task := c.awaitRequest(id)
		for _, w := range c.workers {
			if _, runs := ledgerEntry(c, w, task.Task); runs {
				first = w
			}
		}
		assert.NilError(t, first.proxy.Set(refuseConnections))
		first.proxy.Cut()
		x := <-answer
		assert.NilError(t, first.proxy.Set(noFaults))
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

// lineOf returns the worker's ledger line of the task.
func ledgerEntry(c *cluster, w *workerHost, task jaybarrow.TaskID) (worker.Entry, bool) {
	for _, e := range c.ledgers()[w.host.ID] {
		if e.Task == task {
			return e, true
		}
	}
	return worker.Entry{}, false
}

// Guards against a request that ran on a worker that failed it and is told "not run", because it then waits for another worker
// until its deadline or its cancellation.
func TestFailedAttemptIsNotToldAsNotRun(t *testing.T) {
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
	c.awaitRunning("the blockers do not run", func(running []worker.Entry) bool { return len(running) == workerSlots })
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
