package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
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
	h.pool.HandleAdvice(out.AdviceRequests[0], jaybarrow.Advice{Tickets: map[jaybarrow.WorkerID]jaybarrow.Ticket{"w2": "t"}, Valid: 3 * time.Second}, h.now)
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
