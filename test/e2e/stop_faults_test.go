package e2e

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/store"
)

// stopPlan has workers only in the first of two data centres, so that the second forwards every request.
func stopPlan(entriesPerDC int) plan {
	return plan{
		dataCentres: 2, entriesPerDC: entriesPerDC, workersPerPool: 2, workerDataCentres: 1, pools: []jaybarrow.PoolID{"desk"},
		teams:  map[jaybarrow.TeamID]jaybarrow.Slots{"trail": 64},
		queues: []jaybarrow.Queue{{ID: "render", Pool: "desk", Class: jaybarrow.ClassSlow, TargetMs: 600000}},
	}
}

// longTask is longer than a stopping entry host's linger time, its handover and a task lease.
const longTask = jaybarrow.TaskLease + 2*time.Second

// startCalls starts n callers that send one call each, through the entry hosts in turn. wait returns after the last result.
func (c *cluster) startCalls(h *history, n int, through []*entryHost, next func(i int) call) (wait func()) {
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() { c.send(h, through[i%len(through)], next(i)) })
	}
	return group.Wait
}

// awaitLoad waits until a scheduler of the pool reports both waiting and running requests, and returns its entry host.
func (c *cluster) awaitLoad(pool jaybarrow.PoolID) *entryHost {
	c.t.Helper()
	var scheduler *entryHost
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		for _, e := range c.entries {
			loads, _ := c.operator(e).Loads(context.Background())
			for _, l := range loads {
				if l.Entry == e.id && l.Pool == pool && l.Waiting > 0 && l.Running > 0 {
					scheduler = e
					return poll.Success()
				}
			}
		}
		return poll.Continue("no scheduler has both waiting and running requests")
	}, poll.WithTimeout(waitTimeout))
	return scheduler
}

// Guards against a graceful shutdown that interrupts or refuses accepted requests when no ready successor exists: the only entry
// host of the data centre stops, both of two stop at once, or the pool's scheduler stops during a store outage. Requests are
// queued on the stopping scheduler, forwarded from another data centre, and running for longer than the handover takes. Requests
// that arrive before the load balancer has noticed the shutdown count as accepted.
func TestStopWithoutReadySuccessor(t *testing.T) {
	cases := []struct {
		name    string
		entries int
		stops   func(c *cluster, scheduler *entryHost) []*entryHost
		outage  bool
	}{
		{"only entry host", 1, func(_ *cluster, scheduler *entryHost) []*entryHost { return []*entryHost{scheduler} }, false},
		{"both entry hosts at once", 2, func(c *cluster, _ *entryHost) []*entryHost { return c.entries[:2] }, false},
		{"store down", 2, func(_ *cluster, scheduler *entryHost) []*entryHost { return []*entryHost{scheduler} }, true},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, stopPlan(x.entries))
			h := &history{}
			makeCall := func(prefix string) func(i int) call {
				return func(i int) call {
					run := 500 * time.Millisecond
					if i%8 == 0 {
						run = longTask
					}
					return call{
						team: "trail", queue: "render", id: jaybarrow.RequestID(fmt.Sprintf("%s-%d", prefix, i)),
						nonIdempotent: !x.outage && i%3 == 0, run: run,
					}
				}
			}
			accepted := c.startCalls(h, 48, c.entries, makeCall("before"))
			scheduler := c.awaitLoad("desk")
			if x.outage {
				c.faults(store.Faults{Outage: store.OutageRefuse})
			}
			stopping := x.stops(c, scheduler)
			var stops sync.WaitGroup
			for _, e := range stopping {
				stops.Go(func() {
					assert.Check(t, e.stop(waitTimeout) == 0, "%s: exit code %d; log:\n%s", e.id, e.cmd.ProcessState.ExitCode(), e.log())
				})
			}
			time.Sleep(200 * time.Millisecond)
			late := c.startCalls(h, 8, stopping, makeCall("late"))
			stops.Wait()
			accepted()
			late()
			for _, r := range h.list() {
				assert.Check(t, r.kind == "", "%s through %s: %s %s", r.request, r.entry, r.kind, r.message)
			}
			assert.NilError(t, checkInvariants(c.ledgers(), h.list(), c.plan.teams))
		})
	}
}

// Guards against a shutdown that does not end early on a second SIGTERM or after the grace time, and against an exit code that
// hides the interrupted requests.
func TestStopEndsEarlyOnSecondSignalOrGraceTime(t *testing.T) {
	cases := []struct {
		name, extraSettings string
		secondSignal        bool
	}{
		{"second signal", "", true},
		{"grace time expired", "[shutdown]\ngraceMs = 1500\n", false},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			p := stopPlan(1)
			p.extraSettings = x.extraSettings
			c := newCluster(t, p)
			h := &history{}
			wait := c.startCalls(h, 32, c.entries[:1], func(i int) call {
				return call{team: "trail", queue: "render", id: jaybarrow.RequestID(fmt.Sprintf("r-%d", i)), nonIdempotent: true, run: 30 * time.Second}
			})
			e := c.awaitLoad("desk")
			stopStarted := time.Now()
			e.signal(syscall.SIGTERM)
			if x.secondSignal {
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if response, err := c.callers.Get("http://" + string(e.callers) + "/healthz"); err == nil {
						_ = response.Body.Close()
						if response.StatusCode == 503 {
							return poll.Success()
						}
					}
					return poll.Continue("the first signal has no effect yet")
				}, poll.WithTimeout(waitTimeout))
				e.signal(syscall.SIGTERM)
			}
			<-e.exited
			assert.Equal(t, e.cmd.ProcessState.ExitCode(), 1, "%s", e.log())
			assert.Assert(t, time.Since(stopStarted) < 20*time.Second, "the shutdown waited for the tasks")
			wait()
			assert.NilError(t, checkInvariants(c.ledgers(), h.list(), c.plan.teams))
		})
	}
}
