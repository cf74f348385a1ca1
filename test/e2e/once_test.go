package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/faultproxy"
	"github.com/jaybarrow/jaybarrow/internal/standin/store"
	"github.com/jaybarrow/jaybarrow/internal/standin/worker"
)

// stage is how far a request has come when its entry host is killed.
type stage string

const (
	beforeStart stage = "before" // the start is on its way and reaches the worker after the kill
	whileRuns   stage = "during"
	afterEnd    stage = "after" // the task has ended, its answer is on its way
)

// Guards against a non-idempotent request that runs twice when its entry host is killed and its caller repeats it elsewhere,
// and against a refusal that says "not run" of a request that ran; with the store up, down and losing answers.
func TestKilledEntryHostRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		faults store.Faults
		want   jaybarrow.ErrorKind // of a repeat
	}{
		{"store up", store.Faults{}, jaybarrow.KindDuplicateRequest},
		{"store down", store.Faults{Outage: store.OutageRefuse}, jaybarrow.KindClaimUnavailable},
		{"store losing answers", store.Faults{LostAnswers: store.LostAnswers{All: true}}, jaybarrow.KindDuplicateRequest},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, quickPlan(2, 2, 1, 12))
			h := &history{}
			for _, at := range []stage{beforeStart, whileRuns, afterEnd} {
				first := c.killAt(h, at)
				c.faults(test.faults)
				for _, e := range c.entries[1:] {
					repeat := c.send(h, e, call{team: "trail", queue: "match", id: first.request, nonIdempotent: true, run: 10 * time.Millisecond})
					assert.Check(t, repeat.kind == test.want, "%s: repeat through %s: %+v", at, e.id, repeat)
					assert.Check(t, repeat.effect == test.want.Info().Effect, "%s: %+v", at, repeat)
					fresh := call{team: "trail", queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("fresh-%s-%s", at, e.id)), nonIdempotent: true, run: 10 * time.Millisecond}
					told := c.send(h, e, fresh)
					if test.want == jaybarrow.KindClaimUnavailable {
						assert.Check(t, told.kind == test.want, "%s: fresh: %+v", at, told)
					} else {
						assert.Check(t, told.kind == "", "%s: fresh: %+v", at, told)
					}
				}
				c.faults(store.Faults{})
				c.startEntry(c.entries[0])
				c.awaitEntry(c.entries[0])
				again := c.send(h, c.entries[0], call{team: "trail", queue: "match", id: first.request, nonIdempotent: true, run: 10 * time.Millisecond})
				assert.Check(t, again.kind == jaybarrow.KindDuplicateRequest, "%s: repeat after the restart: %+v", at, again)
			}
			checkEveryAnswer(t, c, h)
		})
	}
}

// killAt sends a non-idempotent request through the first entry host, kills that at the stage, and returns what the caller
// was told.
func (c *cluster) killAt(h *history, at stage) told {
	c.t.Helper()
	id := jaybarrow.RequestID("killed-" + string(at))
	run := 3 * time.Second
	if at != whileRuns {
		run = 10 * time.Millisecond
	}
	frozen := map[stage]faultproxy.Faults{
		beforeStart: {Up: faultproxy.DirectionFaults{Frozen: true}}, afterEnd: {Down: faultproxy.DirectionFaults{Frozen: true}},
	}[at]
	for i := range 4 { // every scheduler of the first data centre learns the worker's clock, so that a start needs one message
		c.send(h, c.entries[0], call{team: "trail", queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("warm-%s-%d", at, i)), run: time.Millisecond})
	}
	for _, w := range c.workers {
		assert.NilError(c.t, w.proxy.Set(frozen))
	}
	answer := make(chan told, 1)
	go func() {
		answer <- c.send(h, c.entries[0], call{team: "trail", queue: "match", id: id, nonIdempotent: true, run: run})
	}()
	switch at {
	case beforeStart:
		time.Sleep(300 * time.Millisecond) // the claim and the start are sent; whether they are does not change what must hold
	case whileRuns:
		c.awaitRequest(id)
	case afterEnd:
		poll.WaitOn(c.t, func(poll.LogT) poll.Result {
			for _, e := range ledgers(c.ledgers()).started()[requestKey{"trail", id}] {
				if e.EndedNs != 0 {
					return poll.Success()
				}
			}
			return poll.Continue("request %s has not ended", id)
		}, poll.WithTimeout(patience))
	}
	c.entries[0].kill()
	x := <-answer
	for _, w := range c.workers {
		assert.NilError(c.t, w.proxy.Set(noFaults))
	}
	assert.Equal(c.t, x.kind, jaybarrow.KindPeerLost, "the caller sees a broken connection: %+v", x)
	return x
}

// Guards against a forwarded request that runs twice, or is told not to have run, when the scheduler's entry host is killed
// while it holds the request or runs it; an idempotent one is answered by another scheduler.
func TestKilledSchedulerOfForwardedRequests(t *testing.T) {
	t.Parallel()
	for _, held := range []bool{false, true} {
		for _, nonIdempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("held %v, non-idempotent %v", held, nonIdempotent), func(t *testing.T) {
				t.Parallel()
				killScheduler(t, held, nonIdempotent)
			})
		}
	}
}

func killScheduler(t *testing.T, held, nonIdempotent bool) {
	c := newCluster(t, quickPlan(1, 3, 1, 24))
	h := &history{}
	scheduler, other := c.schedulerOf(h)
	in := call{team: "trail", queue: "match", id: "forwarded", nonIdempotent: nonIdempotent, run: 2 * time.Second}
	var blockers sync.WaitGroup
	if held { // every slot of the only worker is in use, so the request waits at its scheduler
		for i := range workerSlots {
			blocker := call{team: "trail", queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("blocker-%d", i)), nonIdempotent: true, run: 5 * time.Second}
			blockers.Go(func() { c.send(h, other, blocker) })
		}
		c.awaitRunning("the slots are not in use", func(running []worker.Entry) bool { return len(running) == workerSlots })
	}
	answer := make(chan told, 1)
	go func() { answer <- c.send(h, other, in) }()
	if held {
		time.Sleep(300 * time.Millisecond) // long enough to be forwarded; the task must not have run before the kill
	} else {
		c.awaitRequest(in.id)
	}
	scheduler.kill()
	x := <-answer
	c.startEntry(scheduler)
	c.awaitEntry(scheduler)
	if nonIdempotent {
		assert.Check(t, x.kind == jaybarrow.KindPeerLost && x.effect == jaybarrow.EffectMayHaveRun, "%+v", x)
		repeat := c.send(h, other, in)
		assert.Check(t, repeat.kind == jaybarrow.KindDuplicateRequest, "%+v", repeat)
	} else {
		assert.Check(t, x.kind == "", "%+v", x)
	}
	blockers.Wait()
	checkEveryAnswer(t, c, h)
}

// schedulerOf returns the entry host that schedules the only pool, and another one.
func (c *cluster) schedulerOf(h *history) (scheduler, other *entryHost) {
	c.t.Helper()
	x := c.send(h, c.entries[0], call{team: "trail", queue: "match", id: "probe", run: time.Millisecond})
	runs := ledgers(c.ledgers()).started()[requestKey{"trail", "probe"}]
	assert.Assert(c.t, x.kind == "" && len(runs) == 1, "%+v", x)
	scheduler, other = c.entry(runs[0].Entry), c.entries[0]
	if scheduler == other {
		other = c.entries[1]
	}
	return scheduler, other
}
