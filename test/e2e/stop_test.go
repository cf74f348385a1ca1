package e2e

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
)

// load is a group of callers that send calls until it is stopped.
type load struct {
	group   sync.WaitGroup
	stopped atomic.Bool
}

// failedCallPause keeps a caller whose calls are refused immediately from sending them in a busy loop.
const failedCallPause = 20 * time.Millisecond

// startLoad starts callers that each send one call after the other, through the entry host that chooseEntry returns.
func (c *cluster) startLoad(h *history, callers int, chooseEntry func(caller, n int) *entryHost, next func(caller, n int) call) *load {
	l := &load{}
	for i := range callers {
		l.group.Go(func() {
			for n := 0; !l.stopped.Load(); n++ {
				if c.send(h, chooseEntry(i, n), next(i, n)).kind != "" {
					time.Sleep(failedCallPause)
				}
			}
		})
	}
	return l
}

// stop stops the callers and waits for the results of their last calls.
func (l *load) stop() {
	l.stopped.Store(true)
	l.group.Wait()
}

// Guards against a graceful shutdown that interrupts, refuses or loses an accepted request. Entry hosts are restarted one by
// one, and then two at a time, under load through all of them.
func TestRollingRestartInterruptsNoRequest(t *testing.T) {
	p := standardPlan()
	p.entriesPerDC = 3
	p.dataCentres = 2
	c := newCluster(t, p)
	h := &history{}
	var stopping [6]atomic.Bool // the platform's load balancer sends no new requests to a stopping entry host
	chooseEntry := func(caller, n int) *entryHost {
		for i := caller + n; ; i++ {
			if !stopping[i%6].Load() {
				return c.entries[i%6]
			}
		}
	}
	load := c.startLoad(h, 24, chooseEntry, func(caller, n int) call {
		return call{
			team: []jaybarrow.TeamID{"trail", "clubs", "quotes", "tally"}[caller%4], queue: []jaybarrow.QueueID{"match", "render"}[n%2],
			id: jaybarrow.RequestID(fmt.Sprintf("r-%d-%d", caller, n)), nonIdempotent: n%3 == 0, run: 100 * time.Millisecond,
		}
	})
	restart := func(numbers ...int) {
		var group sync.WaitGroup
		for _, i := range numbers {
			group.Go(func() {
				stopping[i].Store(true)
				assert.Check(t, c.entries[i].stop(waitTimeout) == 0, "%s: %s", c.entries[i].id, c.entries[i].log())
				c.startEntry(c.entries[i])
				c.awaitEntryReady(c.entries[i])
				stopping[i].Store(false)
			})
		}
		group.Wait()
	}
	for _, i := range []int{0, 3} {
		restart(i)
	}
	restart(1, 4)
	restart(2, 1)
	load.stop()
	for _, x := range h.list() {
		assert.Check(t, x.kind == "", "%s %s through %s: %s %s", x.team, x.request, x.entry, x.kind, x.message)
	}
	assert.NilError(t, checkInvariants(c.ledgers(), h.list(), c.plan.teams))
}
