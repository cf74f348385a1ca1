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

// stage is the progress of a request when its entry host is killed.
type stage string

const (
	beforeStart  stage = "before" // the start message was sent and reaches the worker after the kill
	whileRunning stage = "during"
	afterEnd     stage = "after" // the task has ended and its answer was sent
)

// Guards against a non-idempotent request that runs twice when its entry host is killed and the caller repeats it through
// another one, and against an error that reports a request as not run although it ran. The store is up, down, or its answers
// are lost.
func TestKilledEntryHostRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		faults store.Faults
		want   jaybarrow.ErrorKind // error kind of a repeated request
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
			for _, at := range []stage{beforeStart, whileRunning, afterEnd} {
				killed := c.killAt(h, at)
				c.faults(test.faults)
				for _, e := range c.entries[1:] {
					repeat := c.send(h, e, call{team: "trail", queue: "match", id: killed.request, nonIdempotent: true, run: 10 * time.Millisecond})
					assert.Check(t, repeat.kind == test.want, "%s: repeat through %s: %+v", at, e.id, repeat)
					assert.Check(t, repeat.effect == test.want.Info().Effect, "%s: effect of the repeat: %+v", at, repeat)
					newRequest := call{team: "trail", queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("fresh-%s-%s", at, e.id)), nonIdempotent: true, run: 10 * time.Millisecond}
					newResult := c.send(h, e, newRequest)
					if test.want == jaybarrow.KindClaimUnavailable {
						assert.Check(t, newResult.kind == test.want, "%s: new request: %+v", at, newResult)
					} else {
						assert.Check(t, newResult.kind == "", "%s: new request: %+v", at, newResult)
					}
				}
				c.faults(store.Faults{})
				c.startEntry(c.entries[0])
				c.awaitEntryReady(c.entries[0])
				repeatAfterRestart := c.send(h, c.entries[0], call{team: "trail", queue: "match", id: killed.request, nonIdempotent: true, run: 10 * time.Millisecond})
				assert.Check(t, repeatAfterRestart.kind == jaybarrow.KindDuplicateRequest, "%s: repeat after the restart: %+v", at, repeatAfterRestart)
			}
			assertInvariants(t, c, h)
		})
	}
}

// killAt sends a non-idempotent request through the first entry host, kills the entry host at the stage, and returns the result
// of the call.
func (c *cluster) killAt(h *history, at stage) callResult {
	c.t.Helper()
	id := jaybarrow.RequestID("killed-" + string(at))
	run := 3 * time.Second
	if at != whileRunning {
		run = 10 * time.Millisecond
	}
	frozen := map[stage]faultproxy.Faults{
		beforeStart: {Up: faultproxy.DirectionFaults{Frozen: true}}, afterEnd: {Down: faultproxy.DirectionFaults{Frozen: true}},
	}[at]
	for i := range 4 { // every scheduler of the first data centre reads the worker's clock, so that a start needs only one message
		c.send(h, c.entries[0], call{team: "trail", queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("warm-%s-%d", at, i)), run: time.Millisecond})
	}
	for _, w := range c.workers {
		assert.NilError(c.t, w.proxy.Set(frozen))
	}
	answer := make(chan callResult, 1)
	go func() {
		answer <- c.send(h, c.entries[0], call{team: "trail", queue: "match", id: id, nonIdempotent: true, run: run})
	}()
	switch at {
	case beforeStart:
		time.Sleep(300 * time.Millisecond) // normally long enough to send the claim and the start; the assertions hold either way
	case whileRunning:
		c.awaitRequest(id)
	case afterEnd:
		poll.WaitOn(c.t, func(poll.LogT) poll.Result {
			for _, e := range ledgers(c.ledgers()).started()[requestKey{"trail", id}] {
				if e.EndedNs != 0 {
					return poll.Success()
				}
			}
			return poll.Continue("request %s has not ended", id)
		}, poll.WithTimeout(waitTimeout))
	}
	c.entries[0].kill()
	x := <-answer
	for _, w := range c.workers {
		assert.NilError(c.t, w.proxy.Set(noFaults))
	}
	assert.Equal(c.t, x.kind, jaybarrow.KindPeerLost, "the caller must see a broken connection: %+v", x)
	return x
}

// Guards against a forwarded non-idempotent request that runs twice or is reported as not run when the scheduler's entry host is
// killed while the request is queued or running, and against an idempotent one that another scheduler does not answer.
func TestKilledSchedulerOfForwardedRequests(t *testing.T) {
	t.Parallel()
	for _, queued := range []bool{false, true} {
		for _, nonIdempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("queued %v, non-idempotent %v", queued, nonIdempotent), func(t *testing.T) {
				t.Parallel()
				killScheduler(t, queued, nonIdempotent)
			})
		}
	}
}

func killScheduler(t *testing.T, queued, nonIdempotent bool) {
	c := newCluster(t, quickPlan(1, 3, 1, 24))
	h := &history{}
	scheduler, other := c.schedulerOf(h)
	in := call{team: "trail", queue: "match", id: "forwarded", nonIdempotent: nonIdempotent, run: 2 * time.Second}
	var blockers sync.WaitGroup
	if queued { // every slot of the only worker is in use, so the request is queued at its scheduler
		for i := range workerSlots {
			blocker := call{team: "trail", queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("blocker-%d", i)), nonIdempotent: true, run: 5 * time.Second}
			blockers.Go(func() { c.send(h, other, blocker) })
		}
		c.awaitRunning("not every slot is in use", func(running []worker.Entry) bool { return len(running) == workerSlots })
	}
	answer := make(chan callResult, 1)
	go func() { answer <- c.send(h, other, in) }()
	if queued {
		time.Sleep(300 * time.Millisecond) // long enough for the request to be forwarded; its task must not start before the kill
	} else {
		c.awaitRequest(in.id)
	}
	scheduler.kill()
	x := <-answer
	c.startEntry(scheduler)
	c.awaitEntryReady(scheduler)
	if nonIdempotent {
		assert.Check(t, x.kind == jaybarrow.KindPeerLost && x.effect == jaybarrow.EffectMayHaveRun, "%+v", x)
		repeat := c.send(h, other, in)
		assert.Check(t, repeat.kind == jaybarrow.KindDuplicateRequest, "%+v", repeat)
	} else {
		assert.Check(t, x.kind == "", "%+v", x)
	}
	blockers.Wait()
	assertInvariants(t, c, h)
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
