package e2e

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/faultproxy"
	"github.com/jaybarrow/jaybarrow/internal/standin/worker"
	"github.com/jaybarrow/jaybarrow/pkg/client"
)

// startFullLoad starts callers that send requests through all entry hosts. With more callers than the limit has slots, the
// whole limit stays in demand.
func (c *cluster) startFullLoad(h *history, callers int, run time.Duration) *load {
	return c.startLoad(h, callers, func(caller, _ int) *entryHost { return c.entries[caller%len(c.entries)] }, func(caller, n int) call {
		return call{
			team: "trail", queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("load-%d-%d", caller, n)),
			nonIdempotent: n%4 == 0, run: run, within: waitTimeout,
		}
	})
}

// Guards against a lowered limit that is reported as in force while the team still uses more, and against an answer to the
// operator that omits the entry hosts that still hold too many permits.
func TestLoweredLimitUnderFullLoad(t *testing.T) {
	t.Parallel()
	const before, after = 24, 5
	c := newCluster(t, quickPlan(3, 1, 2, before))
	h := &history{}
	load := c.startFullLoad(h, 45, 400*time.Millisecond)
	limitInUse := func(running []worker.Entry) bool { return len(running) >= before-2 }
	c.awaitRunning("the limit is not in use", limitInUse)
	_, revision, _, err := c.limitOf(c.entries[1], "trail")
	assert.NilError(t, err)
	lowered, err := c.operator(c.entries[1]).SetLimit(context.Background(), "trail", after, revision)
	assert.NilError(t, err)
	assert.Assert(t, !lowered.InForce && len(lowered.Pending) > 0, "%+v", lowered)
	inForceAt := c.awaitLimit(c.entries[1], "trail", after)
	time.Sleep(3 * time.Second)
	_, revision, _, err = c.limitOf(c.entries[2], "trail")
	assert.NilError(t, err)
	raisedAt := time.Now()
	_, err = c.operator(c.entries[2]).SetLimit(context.Background(), "trail", before, revision)
	assert.NilError(t, err)
	c.awaitRunning("the raised limit is not in use", limitInUse)
	load.stop()
	allLedgers := ledgers(c.ledgers())
	assert.NilError(t, checkLimitBetween(allLedgers, "trail", after, inForceAt.UnixNano(), raisedAt.UnixNano()))
	assertInvariants(t, c, h)
}

// makeUnreachable makes the worker's proxy close its connections and refuse new ones.
func makeUnreachable(w *workerHost) {
	assert.Check(w.t, w.proxy.Set(refuseConnections) == nil)
	w.proxy.Cut()
}

// Guards against a permit that is reused while the task that it was used for still runs, after the task's answer was lost.
func TestPermitIsNotReusedAfterLostAnswer(t *testing.T) {
	t.Parallel()
	cases := map[string]func(*workerHost){
		"answers dropped": func(w *workerHost) {
			assert.Check(w.t, w.proxy.Set(faultproxy.Faults{DropAnswers: faultproxy.DropAll}) == nil)
		},
		"open connections frozen":      func(w *workerHost) { freezeOpen(w.proxy) },
		"connections cut":              func(w *workerHost) { w.proxy.Cut() },
		"worker unreachable":           makeUnreachable,
		"cancelled while unreachable":  makeUnreachable,
		"cancelled without connection": func(w *workerHost) { freezeOpen(w.proxy) },
	}
	for name, injectFault := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, quickPlan(1, 2, 2, 1))
			h := &history{}
			first := make(chan callResult, 1)
			go func() {
				first <- c.send(h, c.entries[0], call{team: "trail", queue: "match", id: "first", nonIdempotent: true, run: 4 * time.Second})
			}()
			task := c.awaitRequest("first")
			for _, w := range c.workers {
				if _, runs := ledgerEntry(c, w, task.Task); runs {
					injectFault(w)
				}
			}
			if strings.HasPrefix(name, "cancelled") {
				go func() {
					_ = client.New(c.callers, c.entries[1].callers, c.keys["trail"]).Cancel(context.Background(), "first")
				}()
			}
			for i, x := range c.sendAll(h, c.entries[1], []call{
				{team: "trail", queue: "match", id: "second", run: 20 * time.Millisecond},
				{team: "trail", queue: "match", id: "third", nonIdempotent: true, run: 20 * time.Millisecond},
			}) {
				assert.Check(t, x.kind == "", "call %d: %+v", i, x)
			}
			<-first
			assertInvariants(t, c, h)
		})
	}
}
