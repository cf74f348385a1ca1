package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/faultproxy"
	"github.com/jaybarrow/jaybarrow/internal/standin/worker"
	"github.com/jaybarrow/jaybarrow/pkg/client"
)

// Guards against requests that wait on open connections that carry no more traffic while new connections would work. The bound
// is the task lease, after which an unreachable worker is given up.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	cases := map[string]func(*cluster) []*faultproxy.Proxy{
		"between entry hosts": (*cluster).allPeerProxies,
		"to workers": func(c *cluster) (all []*faultproxy.Proxy) {
			for _, w := range c.workers {
				all = append(all, w.proxy)
			}
			return all
		},
		"to the store": func(c *cluster) (all []*faultproxy.Proxy) {
			for _, p := range c.storeProxies {
				all = append(all, p)
			}
			return all
		},
	}
	for name, proxies := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, quickPlan(2, 1, 1, 40))
			h := &history{}
			n := 0
			next := func(nonIdempotent bool) []call {
				var calls []call
				for range workerSlots {
					n++
					calls = append(calls, call{team: "trail", queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("r-%d", n)), nonIdempotent: nonIdempotent, run: 50 * time.Millisecond})
				}
				return calls
			}
			for round := range 3 {
				c.sendAll(h, c.entries[0], next(true))
				freezeOpen(proxies(c)...)
				for _, x := range c.sendAll(h, c.entries[0], next(false)) {
					took := x.endedAt.Sub(x.startedAt)
					assert.Check(t, x.kind == "", "round %d: %s: %s %s", round, x.request, x.kind, x.message)
					assert.Check(t, took < jaybarrow.TaskLease, "round %d: %s took %s", round, x.request, took)
				}
			}
			for _, x := range c.sendAll(h, c.entries[0], next(true)) {
				assert.Check(t, x.kind == "" || x.effect != jaybarrow.EffectRan, "%+v", x)
			}
			assertInvariants(t, c, h)
		})
	}
}

// Guards against requests that stay in a full data centre after the open connections to the other data centre froze, although
// that one has free slots and new connections to it work.
func TestSilentLinksOfFullDataCentre(t *testing.T) {
	t.Parallel()
	c := newCluster(t, quickPlan(2, 1, 1, 40))
	h := &history{}
	c.fillFirstDataCentre(h)
	freezeOpen(c.allPeerProxies()...)
	var calls []call
	for i := range workerSlots {
		calls = append(calls, call{team: "trail", queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("r-%d", i)), run: 50 * time.Millisecond, within: 2 * jaybarrow.TaskLease})
	}
	for _, x := range c.sendAll(h, c.entries[0], calls) {
		assert.Check(t, x.kind == "", "%s after %s: %s %s", x.request, x.endedAt.Sub(x.startedAt), x.kind, x.message)
	}
	assertInvariants(t, c, h)
}

// fillFirstDataCentre occupies the slots of the first data centre, and waits until its entry host knows the load of the second
// one, so that further requests are forwarded there.
func (c *cluster) fillFirstDataCentre(h *history) {
	c.t.Helper()
	for i := range workerSlots {
		blocker := call{team: "trail", queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("blocker-%d", i)), nonIdempotent: true, run: 2 * waitTimeout, within: 3 * waitTimeout}
		go c.send(h, c.entries[0], blocker)
		c.awaitRequest(blocker.id)
	}
	for _, e := range c.ledgers()[c.pool("desk", "dc1")[0].host.ID] {
		assert.Equal(c.t, e.Entry, c.entries[0].id)
	}
	assert.Equal(c.t, len(c.ledgers()[c.pool("desk", "dc1")[0].host.ID]), workerSlots)
	n := 0
	poll.WaitOn(c.t, func(poll.LogT) poll.Result { // a request is forwarded to free slots only once their number is known
		n++
		c.send(h, c.entries[1], call{team: "trail", queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("elsewhere-%d", n)), run: time.Millisecond})
		loads, err := c.operator(c.entries[0]).Loads(context.Background())
		for _, l := range loads {
			if l.DataCentre == "dc2" {
				return poll.Success()
			}
		}
		return poll.Continue("loads: %+v %v", loads, err)
	}, poll.WithTimeout(waitTimeout))
}

// Guards against a worker that fails every task and still receives tasks, or receives none after its recovery.
func TestFailingWorkerIsEjectedAndReturns(t *testing.T) {
	t.Parallel()
	c := newCluster(t, quickPlan(1, 1, 3, 20))
	h := &history{}
	failing := c.workers[0]
	failing.injectFault(worker.Fault{Kind: worker.FaultFail})
	load := c.startFullLoad(h, 12, 20*time.Millisecond)
	awaitEjected := func(want bool) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			host, err := c.operator(c.entries[0]).Host(context.Background(), failing.host.ID)
			if err != nil || host.Ejected == nil || *host.Ejected != want {
				return poll.Continue("ejected: %+v %v", host, err)
			}
			return poll.Success()
		}, poll.WithTimeout(waitTimeout), poll.WithDelay(20*time.Millisecond))
	}
	awaitEjected(true)
	ejectedAt := time.Now()
	time.Sleep(2 * time.Second)
	failing.injectFault(worker.Fault{})
	awaitEjected(false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, e := range c.ledgers()[failing.host.ID] {
			if e.Outcome == "done" && e.StartedNs > ejectedAt.UnixNano() {
				return poll.Success()
			}
		}
		return poll.Continue("the recovered worker received no task")
	}, poll.WithTimeout(waitTimeout))
	load.stop()
	all, failed := 0, 0
	for _, x := range h.list() {
		if x.startedAt.After(ejectedAt) {
			all++
			if x.kind != "" {
				failed++
			}
		}
	}
	// Only trial tasks reach an ejected worker, and the backoff between them grows from one second.
	assert.Check(t, failed <= 5, "%d of %d requests failed while the worker was ejected", failed, all)
	assertInvariants(t, c, h)
}

// Guards against requests that can never run and block others, and against a wait until the deadline when no host has enough
// slots.
func TestRequestsThatCanNeverRun(t *testing.T) {
	t.Parallel()
	p := quickPlan(1, 2, 1, 6)
	c := newCluster(t, p)
	h := &history{}
	tooManySlots := call{team: "trail", queue: "match", id: "huge", slots: workerSlots + 1, run: time.Millisecond}
	x := c.send(h, c.entries[0], tooManySlots)
	assert.Check(t, x.kind == jaybarrow.KindNeverRunnable && x.effect == jaybarrow.EffectNotRun, "%+v", x)
	refused := make(chan callResult, 1)
	go func() {
		aboveLimit := call{team: "trail", queue: "match", id: "above-limit", slots: 7, run: time.Millisecond, within: 3 * time.Second}
		refused <- c.send(h, c.entries[0], aboveLimit)
	}()
	for _, x := range c.sendRounds(h, "small", 6, 10) {
		assert.Check(t, x.kind == "", "%s: %s %s", x.request, x.kind, x.message)
		assert.Check(t, x.endedAt.Sub(x.startedAt) < 3*time.Second, "%s took %s", x.request, x.endedAt.Sub(x.startedAt))
	}
	x = <-refused
	assert.Check(t, x.effect == jaybarrow.EffectNotRun, "%+v", x)
	assertInvariants(t, c, h)
}

// Guards against cancelled requests that keep their slots or permits, whichever entry host receives the cancellation.
func TestWaveOfCancellations(t *testing.T) {
	t.Parallel()
	cancelWaves(t, newCluster(t, quickPlan(2, 1, 2, 16)), 3)
}

// Guards against cancellations that are lost while the ids of their requests are claimed: the store answers so slowly that the
// claims take longer than the start of the other requests.
func TestWaveOfCancellationsDuringClaims(t *testing.T) {
	t.Parallel()
	c := newCluster(t, quickPlan(2, 1, 2, 16))
	for _, p := range c.storeProxies {
		assert.NilError(t, p.Set(faultproxy.Faults{Down: faultproxy.DirectionFaults{DelayMs: 200}}))
	}
	cancelWaves(t, c, 1)
}

// cancelWaves sends waves of requests, cancels each wave while its first requests run, and asserts that every request is answered
// as cancelled and its slots are free again.
func cancelWaves(t *testing.T, c *cluster, waves int) {
	t.Helper()
	h := &history{}
	for wave := range waves {
		var calls []call
		for i := range 40 {
			calls = append(calls, call{team: "trail", queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("c-%d-%d", wave, i)), nonIdempotent: i%2 == 0, run: waitTimeout, within: 2 * waitTimeout})
		}
		done := make(chan []callResult, 1)
		go func() { done <- c.sendAll(h, c.entries[0], calls) }()
		c.awaitRunning("fewer than 12 tasks run", func(running []worker.Entry) bool { return len(running) >= 12 })
		cancelledAt := time.Now()
		for i, in := range calls {
			go func() {
				_ = client.New(c.callers, c.entries[i%2].callers, c.keys["trail"]).Cancel(context.Background(), in.id)
			}()
		}
		for _, x := range <-done {
			assert.Check(t, x.kind == jaybarrow.KindCancelled, "%s: %s %s", x.request, x.kind, x.message)
		}
		for _, x := range c.sendRounds(h, fmt.Sprintf("after-%d", wave), 12, 2) {
			assert.Check(t, x.kind == "", "%s: %s %s", x.request, x.kind, x.message)
		}
		assert.Check(t, time.Since(cancelledAt) < jaybarrow.TaskLease, "slots were free only after %s", time.Since(cancelledAt))
	}
	assertInvariants(t, c, h)
}

// Guards against requests that are refused or delayed despite free slots because their declared run times are ten times too long
// or too short.
func TestWrongDeclaredRunTimes(t *testing.T) {
	t.Parallel()
	c := newCluster(t, quickPlan(1, 2, 2, 12))
	h := &history{}
	load := c.startLoad(h, 10, func(caller, _ int) *entryHost { return c.entries[caller%2] }, func(caller, n int) call {
		run := 50 * time.Millisecond
		return call{
			team: "trail", queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("r-%d-%d", caller, n)), run: run,
			declared: []time.Duration{run / 10, run * 10}[n%2], within: 5 * time.Second,
		}
	})
	time.Sleep(5 * time.Second)
	load.stop()
	for _, x := range h.list() {
		assert.Check(t, x.kind == "", "%s: %s %s", x.request, x.kind, x.message)
	}
	assertInvariants(t, c, h)
}
