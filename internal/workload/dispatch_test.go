package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
)

// Load pattern: jobs of several short steps while each start waits 0.3 s for the store. A job that can be in time by its run times alone must not
// come before one that will be, and without such a delay it must.
func TestTheDispatchOfEachStepLeftCountsInTheOrder(t *testing.T) {
	first := func(delay time.Duration) jaybarrow.JobID {
		h := newHarness(t)
		h.addWorker("w1")
		h.pool.SetDispatchDelay(delay)
		chain := []jaybarrow.Step{tasks(1, 10_000), tasks(1, 10_000), tasks(1, 10_000)}
		chain[1].After, chain[2].After = []jaybarrow.StepIndex{0}, []jaybarrow.StepIndex{1}
		// Its target is 4 s after its acceptance and its tasks run for 1.5 s in all.
		h.addJob("chain", chain...)
		for added := h.now; h.now.Sub(added) < 2100*time.Millisecond; {
			h.advance(100 * time.Millisecond)
			h.report("w1", nil)
		}
		h.addJob("single", tasks(1, 10_000))
		starts := h.plan().Starts
		assert.Equal(t, len(starts), 1)
		return starts[0].Task.Job
	}
	assert.Equal(t, first(0), jaybarrow.JobID("chain"))
	assert.Equal(t, first(300*time.Millisecond), jaybarrow.JobID("single"))
}

// Guards against hosts that are not requested since the jobs count as late by the store's delay, which hosts do not change.
func TestTheDispatchDoesNotLowerTheDemandForHosts(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	h.pool.SetDispatchDelay(900 * time.Millisecond)
	chain := []jaybarrow.Step{tasks(1, 2000), tasks(1, 2000), tasks(1, 2000)}
	chain[1].After, chain[2].After = []jaybarrow.StepIndex{0}, []jaybarrow.StepIndex{1}
	h.addJob("chain", chain...)
	h.advance(2 * time.Second)
	assert.Equal(t, h.pool.Load(h.now).Late.CPU, jaybarrow.Millicores(0))
	assert.Equal(t, h.pool.Backlog(0, h.now).InTime.CPU, 0.0)
}
