package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
)

// Guards against starts without a ticket, with one of an earlier life of the worker or with one that has run out, on a queue
// whose policy allows some workers only.
func TestTicketsAreAskedForAndUsed(t *testing.T) {
	b := newBench(t)
	b.advice = &jaybarrow.AdviceSettings{Valid: 3 * time.Second}
	b.worker("w1")
	b.worker("w2")
	b.add("j", tasks(2, 1000))
	out := b.plan()
	assert.Equal(t, len(out.Starts), 0)
	assert.Equal(t, len(out.AdviceRequests), 1)
	assert.DeepEqual(t, out.AdviceRequests[0].Workers, []jaybarrow.WorkerID{"w1", "w2"})
	assert.Equal(t, len(b.plan().AdviceRequests), 0, "one question at a time")
	b.pool.HandleAdvice(out.AdviceRequests[0], jaybarrow.Advice{Tickets: map[jaybarrow.WorkerID]jaybarrow.Ticket{"w2": "t"}, Valid: 3 * time.Second}, b.now)
	s := b.start(jaybarrow.StartDone)
	assert.Equal(t, len(s), 2)
	for _, start := range s {
		assert.Equal(t, start.Worker.ID, jaybarrow.WorkerID("w2"))
		assert.Equal(t, start.Order.Ticket, jaybarrow.Ticket("t"))
	}
	b.wait(4 * time.Second)
	b.report("w1", nil)
	b.report("w2", nil, b.end(s[0], jaybarrow.EndStopped), b.end(s[1], jaybarrow.EndStopped))
	out = b.plan()
	assert.Equal(t, len(out.Starts), 0, "the ticket has run out")
	assert.Equal(t, len(out.AdviceRequests), 1)
}
