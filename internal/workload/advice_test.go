package workload_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// Guards against starts without a ticket or with an expired one, on a queue whose adviser allows only some workers.
func TestTicketsAreAskedForAndUsed(t *testing.T) {
	h := newHarness(t)
	h.advice = &jaybarrow.AdviceSettings{Valid: 3 * time.Second}
	h.addWorker("w1")
	h.addWorker("w2")
	h.addJob("j", tasks(2, 1000))
	out := h.plan()
	assert.Equal(t, len(out.Starts), 0)
	assert.Equal(t, len(out.AdviceRequests), 1)
	assert.DeepEqual(t, out.AdviceRequests[0].Workers, []jaybarrow.WorkerID{"w1", "w2"})
	assert.Equal(t, len(h.plan().AdviceRequests), 0, "one request at a time")
	h.pool.HandleAdvice(out.AdviceRequests[0], jaybarrow.Advice{Tickets: map[jaybarrow.WorkerID]jaybarrow.Ticket{"w2": "t"}, Valid: 3 * time.Second}, h.now, h.now)
	s := h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, len(s), 2)
	for _, start := range s {
		assert.Equal(t, start.Worker.ID, jaybarrow.WorkerID("w2"))
		assert.Equal(t, start.Order.Ticket, jaybarrow.Ticket("t"))
	}
	h.advance(4 * time.Second)
	h.report("w1", nil)
	h.report("w2", nil, h.endReport(s[0], jaybarrow.EndStopped), h.endReport(s[1], jaybarrow.EndStopped))
	out = h.plan()
	assert.Equal(t, len(out.Starts), 0, "the ticket has expired")
	assert.Equal(t, len(out.AdviceRequests), 1)
}

// newAdvised returns a harness with workers w00, w01 and so on, and an adviser whose tickets are valid for 3 s.
func newAdvised(t *testing.T, workers int) *harness {
	h := newHarness(t)
	h.advice = &jaybarrow.AdviceSettings{Valid: 3 * time.Second}
	for n := range workers {
		h.addWorker(jaybarrow.WorkerID(fmt.Sprintf("w%02d", n)))
	}
	return h
}

// advise answers a request of an adviser that allows only some workers.
func (h *harness) advise(q workload.AdviceRequest, allowed ...jaybarrow.WorkerID) {
	advice := jaybarrow.Advice{Tickets: make(map[jaybarrow.WorkerID]jaybarrow.Ticket), Valid: h.advice.Valid}
	for _, id := range q.Workers {
		if slices.Contains(allowed, id) {
			advice.Tickets[id] = "t"
		}
	}
	h.pool.HandleAdvice(q, advice, h.now, h.now)
}

// Guards against a job that is never started because its adviser is asked about the workers with the most free CPU again and again, and
// allows only others.
func TestTheAdviserIsAskedAboutAllWorkersInTurn(t *testing.T) {
	h := newAdvised(t, 80)
	h.addJob("full", tasks(1, 5000))
	q := h.plan().AdviceRequests[0]
	h.advise(q, q.Workers...)
	busy := h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, len(busy), 1)
	allowed := busy[0].Worker.ID // the worker with the least free CPU
	h.addJob("j", tasks(1, 1000))
	asked := make(map[jaybarrow.WorkerID]int)
	for range 3 {
		out := h.plan()
		assert.Equal(t, len(out.Starts), 0)
		assert.Equal(t, len(out.AdviceRequests), 1)
		for _, id := range out.AdviceRequests[0].Workers {
			asked[id]++
		}
		h.advise(out.AdviceRequests[0], allowed)
	}
	s := h.plan().Starts
	assert.Equal(t, len(s), 1)
	assert.Equal(t, s[0].Worker.ID, allowed)
	assert.Equal(t, len(asked), 80)
	for id, n := range asked {
		assert.Equal(t, n, 1, "requests that name %s", id)
	}
}

// Guards against a job that waits although its adviser would allow a worker: the only one with a ticket is full, or a refusal was of an instance of
// a worker that has ended, or every worker has been refused and the policy has changed since.
func TestTheAdviserIsAskedAgain(t *testing.T) {
	t.Run("the allowed worker is full", func(t *testing.T) {
		h := newAdvised(t, 40)
		h.addJob("j", tasks(11, 1000))
		q := h.plan().AdviceRequests[0]
		h.advise(q, q.Workers[0])
		out := h.plan()
		assert.Equal(t, len(out.Starts), 10)
		assert.Equal(t, len(out.AdviceRequests), 1)
		assert.Equal(t, len(out.AdviceRequests[0].Workers), 10)
	})
	t.Run("a worker has started again", func(t *testing.T) {
		h := newAdvised(t, 1)
		h.addJob("j", tasks(1, 1000))
		h.advise(h.plan().AdviceRequests[0])
		assert.Equal(t, len(h.plan().AdviceRequests), 0)
		h.reportInstance("w00", secondBorn, 5, nil)
		assert.Equal(t, len(h.plan().AdviceRequests), 1)
	})
	t.Run("all were refused", func(t *testing.T) {
		h := newAdvised(t, 1)
		h.addJob("j", tasks(1, 1000))
		h.advise(h.plan().AdviceRequests[0])
		requests := 0
		for started := h.now; h.now.Sub(started) < 15*time.Second; h.advance(100 * time.Millisecond) {
			h.report("w00", nil)
			for _, q := range h.plan().AdviceRequests {
				requests++
				h.advise(q)
			}
		}
		assert.Equal(t, requests, 1, "in 15 s")
	})
	t.Run("no answer", func(t *testing.T) {
		h := newAdvised(t, 1)
		h.addJob("j", tasks(1, 1000))
		assert.Equal(t, len(h.plan().AdviceRequests), 1)
		assert.Equal(t, len(h.plan().AdviceRequests), 0)
		h.advance(time.Second)
		h.report("w00", nil)
		assert.Equal(t, len(h.plan().AdviceRequests), 1)
	})
}

// Guards against a lasting task that never gets room in a pool full of short tasks, because its adviser is asked only about workers that have
// room already.
func TestTheAdviserIsAskedWhereALastingTaskWouldGetRoom(t *testing.T) {
	h := newAdvised(t, 1)
	h.addJob("full", tasks(1, 9500))
	h.advise(h.plan().AdviceRequests[0], "w00")
	full := h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, len(full), 1)
	h.addJob("long", lasting(1))
	out := h.plan()
	assert.Equal(t, len(out.AdviceRequests), 1)
	h.advise(out.AdviceRequests[0], "w00")
	h.report("w00", nil, h.endReport(full[0], jaybarrow.EndDone))
	assert.Equal(t, len(h.planAndStart(jaybarrow.StartDone)), 1)
}
