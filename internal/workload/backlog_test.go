package workload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
)

// Guards against jobs that are refused right after a leader has taken over, because none of the pool's workers has reported to it yet: with 429
// and an hour's wait, while the first reports were on their way.
func TestWorkersThatHaveNotReportedYetCountAsCapacity(t *testing.T) {
	h := newHarness(t)
	h.registerWorker("w1")
	assert.Equal(t, h.pool.Backlog(0, h.now).Capacity.CPU, jaybarrow.Millicores(10_000))
	h.missReport("w1")
	assert.Equal(t, h.pool.Backlog(0, h.now).Capacity.CPU, jaybarrow.Millicores(10_000), "one missed report may be the leader's own delay")
	h.missReport("w1")
	assert.Equal(t, h.pool.Backlog(0, h.now).Capacity.CPU, jaybarrow.Millicores(0), "the worker does not answer")
}

// Guards against jobs that are refused because the reports of the pool's workers are late for a moment: without a worker no wait is short enough.
func TestALateReportLeavesTheCapacityAsItIs(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(h *harness)
		want    jaybarrow.Millicores
	}{
		{"on time", func(*harness) {}, 10_000},
		{"late", func(h *harness) { h.advance(4 * time.Second) }, 10_000},
		{"one missed", func(h *harness) { h.missReport("w1") }, 10_000},
		{"two missed", func(h *harness) { h.missReport("w1"); h.missReport("w1") }, 0},
		{"removed", func(h *harness) { h.pool.DropWorker("w1") }, 0},
		{"reserved", func(h *harness) { h.drain("w1", "") }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("w1")
			h.addJob("j", tasks(1, 1000))
			c.prepare(h)
			assert.Equal(t, h.pool.Backlog(0, h.now).Capacity.CPU, c.want)
		})
	}
}

// Guards against urgent jobs that are refused for want of room that less urgent ones wait for: those are placed after them.
func TestLessUrgentJobsDoNotCountBeforeAnUrgentOne(t *testing.T) {
	h := newHarness(t)
	h.priorities = map[jaybarrow.QueueID]int{"match": 0, "later": 2}
	h.addWorker("w1")
	h.addJob("urgent", tasks(3, 1000))
	h.pool.AddJob(&jaybarrow.Job{ID: "patient", Queue: "later", Pool: "desk", Team: "trail", Steps: []jaybarrow.Step{tasks(5, 1000)}, AcceptedMs: h.now.UnixMilli()}, nil, h.now)
	assert.Equal(t, h.pool.Backlog(0, h.now).InTimeTasks, 3)
	assert.Equal(t, h.pool.Backlog(2, h.now).InTimeTasks, 8)
	assert.Equal(t, h.pool.Backlog(0, h.now).Tasks, 8)
}
