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

// Guards against an entry that no worker answers for and that changes which teams are above their share: its capacity is no capacity
// of the pool. The team of a has 4 of 5 parts of the only worker and a share of a half.
func TestOnlyWorkersThatReportCountForShares(t *testing.T) {
	firstTeam := func(odd *jaybarrow.Worker) jaybarrow.TeamID {
		h := newHarness(t)
		h.shares = map[jaybarrow.TeamID]jaybarrow.Share{"rich": 1, "poor": 1}
		h.addWorker("w1")
		add := func(id jaybarrow.JobID, team jaybarrow.TeamID, n int) {
			h.pool.AddJob(&jaybarrow.Job{ID: id, Queue: "match", Pool: "desk", Team: team, Spec: "s", Steps: []jaybarrow.Step{tasks(n, 2000)}, AcceptedMs: h.now.UnixMilli()}, nil, h.now)
		}
		add("a", "rich", 4)
		assert.Equal(t, len(h.planAndStart(jaybarrow.StartDone)), 4)
		if odd != nil {
			h.pool.SetWorker(*odd, h.now)
		}
		add("b", "rich", 1)
		h.advance(time.Millisecond)
		add("c", "poor", 1)
		starts := h.planAndStart(jaybarrow.StartDone)
		assert.Equal(t, len(starts), 1)
		if starts[0].Task.Job == "b" {
			return "rich"
		}
		return "poor"
	}
	entry := jaybarrow.Worker{ID: "odd", Pool: "desk", Address: "192.0.2.9:80", State: jaybarrow.WorkerReady}
	assert.Equal(t, firstTeam(nil), jaybarrow.TeamID("poor"))
	entry.Capacity = jaybarrow.Resources{CPU: 1_000_000_000, Memory: 1_000_000_000}
	assert.Equal(t, firstTeam(&entry), jaybarrow.TeamID("poor"), "beside the largest accepted capacity")
	entry.Capacity = jaybarrow.Resources{CPU: 1<<63 - 1, Memory: 1<<63 - 1}
	assert.Equal(t, firstTeam(&entry), jaybarrow.TeamID("poor"), "beside a capacity whose sum overflows")
}

// Guards against jobs that count as late, and come after others, while their target allows for the adviser's time.
func TestTheTargetAllowsForTheAdvisersTime(t *testing.T) {
	h := newHarness(t)
	h.advice = &jaybarrow.AdviceSettings{Decide: time.Second, Each: 100 * time.Millisecond, Valid: 3 * time.Second}
	h.addJob("a", tasks(2, 1000)) // its chain takes 4.5 s, with a request that names 30 workers
	h.advance(3 * time.Second)
	assert.Equal(t, h.pool.Load(h.now).Late.CPU, jaybarrow.Millicores(0))
	h.advance(3 * time.Second)
	assert.Equal(t, h.pool.Load(h.now).Late.CPU, jaybarrow.Millicores(2000))
}
