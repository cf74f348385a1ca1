package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/faultproxy"
	"github.com/jaybarrow/jaybarrow/internal/standin/worker"
)

// fullLoad keeps every slot of the team's limit wanted through all entry hosts.
func (c *cluster) fullLoad(h *history, callers int, run time.Duration) *load {
	return c.startLoad(h, callers, func(caller, _ int) *entryHost { return c.entries[caller%len(c.entries)] }, func(caller, n int) call {
		return call{
			team: "trail", queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("load-%d-%d", caller, n)),
			nonIdempotent: n%4 == 0, run: run, within: patience,
		}
	})
}

// Guards against a lowered limit that is reported in force while more runs, and against an answer to the operator that hides
// who still holds too much.
func TestLoweredLimitUnderFullLoad(t *testing.T) {
	t.Parallel()
	const before, after = 24, 5
	c := newCluster(t, quickPlan(3, 1, 2, before))
	h := &history{}
	load := c.fullLoad(h, 45, 400*time.Millisecond)
	full := func(running []worker.Entry) bool { return len(running) >= before-2 }
	c.awaitRunning("the limit is not in use", full)
	_, revision, _, err := c.limitOf(c.entries[1], "trail")
	assert.NilError(t, err)
	lowered, err := c.operator(c.entries[1]).SetLimit(context.Background(), "trail", after, revision)
	assert.NilError(t, err)
	assert.Assert(t, !lowered.InForce && len(lowered.Pending) > 0, "%+v", lowered)
	told := c.awaitLimit(c.entries[1], "trail", after)
	time.Sleep(3 * time.Second)
	_, revision, _, err = c.limitOf(c.entries[2], "trail")
	assert.NilError(t, err)
	raising := time.Now()
	_, err = c.operator(c.entries[2]).SetLimit(context.Background(), "trail", before, revision)
	assert.NilError(t, err)
	c.awaitRunning("the raised limit is not in use", full)
	load.stop()
	ran := ledgers(c.ledgers())
	assert.NilError(t, checkLimitBetween(ran, "trail", after, told.UnixNano(), raising.UnixNano()))
	checkEveryAnswer(t, c, h)
}

// Guards against permits of an ended entry host that are used again while its tasks may run, and against permits that never
// come back although the platform says that the host is gone.
func TestPermitsOfGoneEntryHost(t *testing.T) {
	t.Parallel()
	const limit = 8
	c := newCluster(t, quickPlan(2, 1, 2, limit))
	h := &history{}
	gone := c.entries[0]
	for i := range limit {
		go c.send(h, gone, call{team: "trail", queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("gone-%d", i)), nonIdempotent: true, run: patience})
	}
	held := jaybarrow.Slots(0)
	c.awaitRunning("the entry host runs too little", func(running []worker.Entry) bool {
		held = 0
		for _, e := range running {
			if e.Entry == gone.id {
				held += e.Slots
			}
		}
		return held > limit/2
	})
	killed := time.Now()
	gone.kill()
	c.condition(string(gone.id), jaybarrow.HostGone)
	load := c.startLoad(h, 2*limit, func(int, int) *entryHost { return c.entries[1] }, func(caller, n int) call {
		return call{team: "trail", queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("load-%d-%d", caller, n)), run: 200 * time.Millisecond, within: patience}
	})
	others := func(running []worker.Entry) bool { return len(running) >= limit }
	time.Sleep(jaybarrow.TaskLease + 2*time.Second) // until every task of the ended host has been stopped by its lease
	c.awaitRunning("the permits of the ended host are not used", others)
	load.stop()
	ran := ledgers(c.ledgers())
	rest := make(ledgers)
	for host, entries := range ran {
		for _, e := range entries {
			if e.Entry != gone.id {
				rest[host] = append(rest[host], e)
			}
		}
	}
	usable := jaybarrow.LeaseEnd(killed)
	assert.NilError(t, checkLimitBetween(rest, "trail", limit-held, killed.UnixNano(), usable.UnixNano()), "before %s after the kill", usable.Sub(killed))
	checkEveryAnswer(t, c, h)
}

// Guards against a permit that is used again while a task, whose answer was lost, still runs.
func TestPermitOfLostAnswer(t *testing.T) {
	t.Parallel()
	cases := map[string]func(*workerHost){
		"answers dropped": func(w *workerHost) {
			assert.Check(w.t, w.proxy.Set(faultproxy.Faults{DropAnswers: faultproxy.DropAll}) == nil)
		},
		"open connections frozen": func(w *workerHost) { freezeOpen(w.proxy) },
		"connections cut":         func(w *workerHost) { w.proxy.Cut() },
		"worker unreachable": func(w *workerHost) {
			assert.Check(w.t, w.proxy.Set(cutFaults) == nil)
			w.proxy.Cut()
		},
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, quickPlan(1, 2, 2, 1))
			h := &history{}
			first := make(chan told, 1)
			go func() {
				first <- c.send(h, c.entries[0], call{team: "trail", queue: "match", id: "first", nonIdempotent: true, run: 4 * time.Second})
			}()
			task := c.awaitRequest("first")
			for _, w := range c.workers {
				if _, runs := lineOf(c, w, task.Task); runs {
					disturb(w)
				}
			}
			for i, x := range c.sendAll(h, c.entries[1], []call{
				{team: "trail", queue: "match", id: "second", run: 20 * time.Millisecond},
				{team: "trail", queue: "match", id: "third", nonIdempotent: true, run: 20 * time.Millisecond},
			}) {
				assert.Check(t, x.kind == "", "call %d: %+v", i, x)
			}
			<-first
			checkEveryAnswer(t, c, h)
		})
	}
}
