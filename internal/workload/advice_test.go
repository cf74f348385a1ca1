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
	assert.Equal(t, len(h.plan().Starts), 0)
	requests := h.adviceRequests()
	assert.Equal(t, len(requests), 1)
	assert.DeepEqual(t, requests[0].Workers, []jaybarrow.WorkerID{"w1", "w2"})
	h.plan()
	assert.Equal(t, len(h.adviceRequests()), 0, "one request at a time")
	h.pool.HandleAdvice(requests[0], jaybarrow.Advice{Tickets: map[jaybarrow.WorkerID]jaybarrow.Ticket{"w2": "t"}, Valid: 3 * time.Second}, h.now, h.now)
	s := h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, len(s), 2)
	for _, start := range s {
		assert.Equal(t, start.Worker.ID, jaybarrow.WorkerID("w2"))
		assert.Equal(t, start.Order.Ticket, jaybarrow.Ticket("t"))
	}
	h.advance(4 * time.Second)
	h.report("w1", nil)
	h.report("w2", nil, h.endReport(s[0], jaybarrow.EndStopped), h.endReport(s[1], jaybarrow.EndStopped))
	assert.Equal(t, len(h.plan().Starts), 0, "the ticket has expired")
	assert.Equal(t, len(h.adviceRequests()), 1)
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

// adviceRequests returns the requests that may be sent now.
func (h *harness) adviceRequests() []workload.AdviceRequest {
	h.Helper()
	var out []workload.AdviceRequest
	for {
		offers := h.pool.AdviceOffers(h.now, false)
		if len(offers) == 0 {
			return out
		}
		for _, o := range offers {
			q, ok := h.pool.RequestAdvice(o.Step, h.now)
			assert.Assert(h, ok)
			out = append(out, q)
		}
	}
}

// planAdvice plans and returns the only request that may be sent then.
func (h *harness) planAdvice() workload.AdviceRequest {
	h.Helper()
	h.plan()
	requests := h.adviceRequests()
	assert.Equal(h, len(requests), 1)
	return requests[0]
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

// Guards against a job that is never started because its adviser is asked about the same workers again and again, and allows only another one, and
// against many requests for it: 80 workers take three of them, and one more where earlier answers mislead.
func TestTheAdviserIsAskedAboutAllWorkersInTurn(t *testing.T) {
	const workers = 80
	for name, c := range map[string]struct {
		misled bool
		most   int // requests
	}{"nothing is known": {false, 3}, "earlier answers mislead": {true, 4}} {
		t.Run(name, func(t *testing.T) {
			h := newAdvised(t, workers)
			h.advice.Decide, h.advice.Each = 100*time.Millisecond, 8*time.Millisecond
			if c.misled {
				h.addJob("full", tasks(1, 5000))
				q := h.planAdvice()
				h.advise(q, q.Workers...)
				assert.Equal(t, len(h.planAndStart(jaybarrow.StartDone)), 1)
			}
			h.addJob("j", tasks(1, 1000))
			asked, sent := make(map[jaybarrow.WorkerID]int), 0
			var last jaybarrow.WorkerID // is the only one that is allowed
			for len(asked) < workers {
				assert.Equal(t, len(h.plan().Starts), 0)
				requests := h.adviceRequests()
				assert.Equal(t, len(requests), 1)
				sent++
				for _, id := range requests[0].Workers {
					asked[id]++
					last = id
				}
				if len(asked) < workers {
					last = ""
				}
				h.advise(requests[0], last)
			}
			s := h.plan().Starts
			assert.Equal(t, len(s), 1)
			assert.Equal(t, s[0].Worker.ID, last)
			for id, n := range asked {
				assert.Equal(t, n, 1, "requests that name %s", id)
			}
			assert.Assert(t, sent <= c.most, "%d requests", sent)
		})
	}
}

// Guards against a job that waits although its adviser would allow a worker: the only one with a ticket is full, or a refusal was of an instance of
// a worker that has ended, or every worker has been refused and the policy has changed since, or a request has failed.
func TestTheAdviserIsAskedAgain(t *testing.T) {
	t.Run("the allowed worker is full", func(t *testing.T) {
		h := newAdvised(t, 40)
		h.advice.Decide, h.advice.Each = 100*time.Millisecond, 8*time.Millisecond
		h.addJob("j", tasks(11, 1000))
		q := h.planAdvice()
		h.advise(q, q.Workers[0])
		out := h.plan()
		assert.Equal(t, len(out.Starts), 10)
		named := slices.Clone(q.Workers)
		for len(named) < 40 {
			requests := h.adviceRequests()
			assert.Equal(t, len(requests), 1)
			for _, id := range requests[0].Workers {
				assert.Assert(t, !slices.Contains(named, id), "%s is named again", id)
			}
			named = append(named, requests[0].Workers...)
			h.advise(requests[0])
			h.plan()
		}
		assert.Equal(t, len(h.adviceRequests()), 0)
	})
	t.Run("a worker has started again", func(t *testing.T) {
		h := newAdvised(t, 1)
		h.addJob("j", tasks(1, 1000))
		h.advise(h.planAdvice())
		h.plan()
		assert.Equal(t, len(h.adviceRequests()), 0)
		h.reportInstance("w00", secondBorn, 5, nil)
		h.plan()
		assert.Equal(t, len(h.adviceRequests()), 1)
	})
	t.Run("all were refused", func(t *testing.T) {
		h := newAdvised(t, 1)
		h.addJob("j", tasks(1, 1000))
		h.advise(h.planAdvice())
		requests := 0
		for started := h.now; h.now.Sub(started) < 15*time.Second; h.advance(100 * time.Millisecond) {
			h.report("w00", nil)
			h.plan()
			for _, q := range h.adviceRequests() {
				requests++
				h.advise(q)
			}
		}
		assert.Equal(t, requests, 1, "in 15 s")
	})
	t.Run("the request has failed", func(t *testing.T) {
		h := newAdvised(t, 1)
		h.addJob("j", tasks(1, 1000))
		q := h.planAdvice()
		for started := h.now; h.now.Sub(started) < 15*time.Second; h.advance(100 * time.Millisecond) {
			h.report("w00", nil)
			h.plan()
			assert.Equal(t, len(h.adviceRequests()), 0, "the call may still be served")
		}
		h.pool.HandleAdviceFailure(q, h.now)
		h.advance(time.Second)
		h.report("w00", nil)
		h.plan()
		assert.Equal(t, len(h.adviceRequests()), 1)
	})
}

// Guards against a lasting task that never gets room in a pool full of short tasks, because its adviser is asked only about workers that have
// room already.
func TestTheAdviserIsAskedWhereALastingTaskWouldGetRoom(t *testing.T) {
	h := newAdvised(t, 1)
	h.addJob("full", tasks(1, 9500))
	h.advise(h.planAdvice(), "w00")
	full := h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, len(full), 1)
	h.addJob("long", lasting(1))
	h.advise(h.planAdvice(), "w00")
	h.report("w00", nil, h.endReport(full[0], jaybarrow.EndDone))
	assert.Equal(t, len(h.planAndStart(jaybarrow.StartDone)), 1)
}

// Guards against occurrences that start late by the time of their adviser, although it is known when they are due, and against ones that start early.
func TestTheAdviserIsAskedBeforeAnOccurrenceIsDue(t *testing.T) {
	h := newAdvised(t, 4)
	h.advice.Decide, h.advice.Each = 100*time.Millisecond, 8*time.Millisecond
	due := h.now.Add(10 * time.Second)
	h.pool.AddJob(h.schedule("j", due, time.Minute, 3), nil, h.now)
	asked := 0
	for h.now.Before(due) {
		assert.Equal(t, len(h.plan().Starts), 0, "%v early", due.Sub(h.now))
		for _, q := range h.adviceRequests() {
			asked++
			early := due.Sub(h.now)
			assert.Assert(t, early > 200*time.Millisecond && early < time.Second, "asked %v early", early)
			h.advise(q, q.Workers...)
		}
		h.advance(20 * time.Millisecond)
		for n := range 4 {
			h.report(jaybarrow.WorkerID(fmt.Sprintf("w%02d", n)), nil)
		}
	}
	assert.Equal(t, asked, 1)
	assert.Equal(t, len(h.plan().Starts), 1)
}

// newRacked returns newAdvised with 12 workers on 4 racks, of which those with the most free CPU are on different ones.
func newRacked(t *testing.T) *harness {
	h := newAdvised(t, 0)
	h.advice.Decide, h.advice.Each = 100*time.Millisecond, 8*time.Millisecond
	for n := range 12 {
		id := jaybarrow.WorkerID(fmt.Sprintf("w%02d", n))
		h.pool.SetWorker(jaybarrow.Worker{
			ID: id, Pool: "desk", Address: "192.0.2.1:80", State: jaybarrow.WorkerReady, Rack: rackOf(t, id),
			Capacity: jaybarrow.Resources{CPU: jaybarrow.Millicores(10_000 + n), Memory: 10_000},
		}, h.now)
		h.clocks[id] = 1000
		h.report(id, nil)
	}
	return h
}

// rackOf returns the rack of a worker of newRacked.
func rackOf(t *testing.T, id jaybarrow.WorkerID) jaybarrow.RackID {
	var n int
	_, err := fmt.Sscanf(string(id), "w%d", &n)
	assert.NilError(t, err)
	return jaybarrow.RackID(fmt.Sprintf("r%d", n%4))
}

// Guards against a step that is spread over racks, or runs away from its data, because its adviser was asked about other workers.
func TestTheAdviserIsAskedAboutWorkersThatSuit(t *testing.T) {
	namedOn := func(q workload.AdviceRequest) map[jaybarrow.RackID]int {
		out := make(map[jaybarrow.RackID]int)
		for _, id := range q.Workers {
			out[rackOf(t, id)]++
		}
		return out
	}
	t.Run("the rack of the data", func(t *testing.T) {
		h := newRacked(t)
		step := tasks(1, 1000)
		step.DataRack = "r1"
		h.addJob("j", step)
		q := h.planAdvice()
		assert.Equal(t, namedOn(q)["r1"], min(3, len(q.Workers)), "%v", q.Workers)
	})
	t.Run("one rack", func(t *testing.T) {
		h := newRacked(t)
		step := tasks(3, 9000)
		step.SameRack = true
		h.addJob("j", step)
		q := h.planAdvice()
		assert.Assert(t, len(q.Workers) >= 3)
		most := 0
		for _, n := range namedOn(q) {
			most = max(most, n)
		}
		assert.Equal(t, most, 3, "%v", q.Workers)
	})
}

// Guards against a question that is asked again while the call before may still be served, although another one would show as well whether the
// adviser answers.
func TestATrialNamesOtherWorkers(t *testing.T) {
	h := newAdvised(t, 10)
	h.advice.Decide, h.advice.Each = 100*time.Millisecond, 8*time.Millisecond
	h.addJob("j", tasks(1, 1000))
	named := make(map[jaybarrow.WorkerID]bool)
	for _, id := range h.planAdvice().Workers {
		named[id] = true
	}
	for len(named) < 10 {
		offers := h.pool.AdviceOffers(h.now, true)
		assert.Equal(t, len(offers), 1)
		q, ok := h.pool.RequestAdvice(offers[0].Step, h.now)
		assert.Assert(t, ok)
		for _, id := range q.Workers {
			assert.Assert(t, !named[id], "%s is named again", id)
			named[id] = true
		}
	}
}
