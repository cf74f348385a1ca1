package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
)

// Guards against hosts that are requested only after a backlog has built up, and against hosts requested for a single job or an
// old one.
func TestOfferedLoadFollowsTheRateOfArrivals(t *testing.T) {
	h := newHarness(t)
	offered := func() jaybarrow.Millicores { return h.pool.Load(h.now).Offered.CPU }
	h.addJob("a", tasks(2, 1000))
	assert.Equal(t, offered(), jaybarrow.Millicores(0))
	h.addJob("b", tasks(2, 1000))
	one := offered()
	assert.Assert(t, one > 0)
	h.addJob("c", tasks(2, 1000))
	assert.Assert(t, offered() >= 2*one-1 && offered() <= 2*one+1, "%d after three jobs, %d after two", offered(), one)
	h.advance(time.Second)
	assert.Equal(t, offered(), jaybarrow.Millicores(0))
}

// Guards against hosts for work that is late in any case, at the expense of work that can still meet its target.
func TestWaitingWorkIsSplitByWhetherItCanMeetItsTarget(t *testing.T) {
	h := newHarness(t)
	h.addJob("a", tasks(2, 1000))
	load := h.pool.Load(h.now)
	assert.Equal(t, load.Waiting.CPU, jaybarrow.Millicores(2000))
	assert.Equal(t, load.Late.CPU, jaybarrow.Millicores(0))
	h.advance(time.Hour)
	load = h.pool.Load(h.now)
	assert.Equal(t, load.Waiting.CPU, jaybarrow.Millicores(0))
	assert.Equal(t, load.Late.CPU, jaybarrow.Millicores(2000))
}

// Guards against idle workers that count as unreachable before their report is due, and against tasks for workers whose report is
// overdue.
func TestWorkersAreUsableUntilTheirReportIsOverdue(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	_, order, ok := h.pool.HoldOrder("w1", true, h.now)
	assert.Assert(t, ok)
	h.advance(order.Wait)
	usable := func() bool { return h.pool.Load(h.now).Workers[0].Usable }
	assert.Assert(t, usable(), "the report of an idle worker is not due before %v", order.Wait)
	h.advance(h.settings.ReportGrace + time.Millisecond)
	assert.Assert(t, !usable())
	h.addJob("j", tasks(1, 1000))
	assert.Equal(t, len(h.plan().Starts), 0)
}

// Guards against work that requires a label and waits because no host with that label is requested.
func TestLoadReportsDemandByRequiredLabel(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", "fast")
	step := tasks(2, 6000)
	step.Requires = "fast"
	h.addJob("a", step)
	assert.Equal(t, h.pool.Load(h.now).Labels["fast"].CPU, jaybarrow.Millicores(12_000))
	assert.Equal(t, len(h.planAndStart(jaybarrow.StartDone)), 1)
	load := h.pool.Load(h.now)
	assert.Equal(t, load.Labels["fast"].CPU, jaybarrow.Millicores(12_000), "one task runs and one waits")
	assert.Equal(t, len(load.Labels), 1)
}
