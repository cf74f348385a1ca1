package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
)

// Guards against hosts that are asked for only once work has piled up, and against those that a single job or an old one asks for.
func TestOfferedLoadFollowsTheRateOfArrivals(t *testing.T) {
	b := newBench(t)
	offered := func() jaybarrow.Millicores { return b.pool.Load(b.now).Offered.CPU }
	b.add("a", tasks(2, 1000))
	assert.Equal(t, offered(), jaybarrow.Millicores(0))
	b.add("b", tasks(2, 1000))
	one := offered()
	assert.Assert(t, one > 0)
	b.add("c", tasks(2, 1000))
	assert.Assert(t, offered() >= 2*one-1 && offered() <= 2*one+1, "%d after three jobs, %d after two", offered(), one)
	b.wait(time.Second)
	assert.Equal(t, offered(), jaybarrow.Millicores(0))
}

// Guards against hosts for work that is late whatever is done, in the place of work that can be in time.
func TestWaitingWorkIsSplitByWhetherItCanBeInTime(t *testing.T) {
	b := newBench(t)
	b.add("a", tasks(2, 1000))
	load := b.pool.Load(b.now)
	assert.Equal(t, load.Waiting.CPU, jaybarrow.Millicores(2000))
	assert.Equal(t, load.Late.CPU, jaybarrow.Millicores(0))
	b.wait(time.Hour)
	load = b.pool.Load(b.now)
	assert.Equal(t, load.Waiting.CPU, jaybarrow.Millicores(0))
	assert.Equal(t, load.Late.CPU, jaybarrow.Millicores(2000))
}

// Guards against idle workers that count as silent while their report is not due yet, and against tasks for those that are silent.
func TestWorkersAreSilentOnlyWhenTheirReportIsOverdue(t *testing.T) {
	b := newBench(t)
	b.worker("w1")
	_, order, ok := b.pool.HoldOrder("w1", true, b.now)
	assert.Assert(t, ok)
	b.wait(order.Wait)
	usable := func() bool { return b.pool.Load(b.now).Workers[0].Usable }
	assert.Assert(t, usable(), "the report of an idle worker is not due before %v", order.Wait)
	b.wait(b.settings.Suspect + time.Millisecond)
	assert.Assert(t, !usable())
	b.add("j", tasks(1, 1000))
	assert.Equal(t, len(b.plan().Starts), 0)
}

// Guards against work that waits for a host with a label which nobody asks for.
func TestLoadTellsWhatOnlyWorkersWithALabelMayRun(t *testing.T) {
	b := newBench(t)
	b.worker("w1", "fast")
	step := tasks(2, 6000)
	step.Requires = "fast"
	b.add("a", step)
	assert.Equal(t, b.pool.Load(b.now).Labels["fast"].CPU, jaybarrow.Millicores(12_000))
	assert.Equal(t, len(b.start(jaybarrow.StartDone)), 1)
	load := b.pool.Load(b.now)
	assert.Equal(t, load.Labels["fast"].CPU, jaybarrow.Millicores(12_000), "one task runs and one waits")
	assert.Equal(t, len(load.Labels), 1)
}
