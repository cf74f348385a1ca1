package workload_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
)

// startsOf returns how many of the next plan's starts are of the job.
func (h *harness) startsOf(id jaybarrow.JobID) int {
	h.Helper()
	n := 0
	for _, s := range h.planAndStart(jaybarrow.StartDone) {
		if s.Task.Job == id {
			n++
		}
	}
	return n
}

// Guards against workers that are kept free for lasting tasks although more room would not let them start: work of other teams would never be
// started while they wait.
func TestNoRoomIsHeldForTasksThatWaitForSomethingElse(t *testing.T) {
	cases := map[string]func(h *harness){
		"the limit of their team": func(h *harness) {
			h.limits["mills"] = jaybarrow.Resources{CPU: 1500}
		},
		"a limit that has sunk below what their team uses": func(h *harness) {
			h.addJobOf("mills", "early", lasting(2))
			h.planAndStart(jaybarrow.StartDone)
			h.limits["mills"] = jaybarrow.Resources{CPU: 500}
		},
		"workers without a task of their step": func(h *harness) {
			h.addJobOf("mills", "spread", lasting(9))
			h.planAndStart(jaybarrow.StartDone)
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			for n := range 4 {
				h.addWorker(jaybarrow.WorkerID(fmt.Sprintf("w%d", n)))
			}
			prepare(h)
			for n := range 12 {
				h.addJobOf("mills", jaybarrow.JobID(fmt.Sprintf("m%02d", n)), lasting(1))
			}
			h.planAndStart(jaybarrow.StartDone)
			h.addJobOf("crews", "quick", tasks(4, 1000))
			assert.Equal(t, h.startsOf("quick"), 4)
		})
	}
}

// Guards against a worker that is kept free for a lasting task on a queue whose adviser has not allowed it there.
func TestNoRoomIsHeldWhereATaskHasNoTicket(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	h.addJob("quick", tasks(1, 4000))
	assert.Equal(t, h.startsOf("quick"), 1)
	h.advices = map[jaybarrow.QueueID]*jaybarrow.AdviceSettings{"advised": {Valid: 3 * time.Second}}
	long := lasting(1)
	long.Demand.CPU = 7000
	h.pool.AddJob(&jaybarrow.Job{
		ID: "long", Queue: "advised", Pool: "desk", Team: "trail", Steps: []jaybarrow.Step{long}, AcceptedMs: h.now.UnixMilli(),
	}, nil, h.now)
	h.planAndStart(jaybarrow.StartDone)
	h.addJob("next", tasks(1, 1000))
	assert.Equal(t, h.startsOf("next"), 1)
}

// Guards against a pool that starts nothing because each of its workers is kept free for another lasting task, while tasks that run for long
// leave none of them enough room.
func TestRoomIsHeldOnHalfOfThePoolAtMost(t *testing.T) {
	h := newHarness(t)
	for n := range 4 {
		h.addWorker(jaybarrow.WorkerID(fmt.Sprintf("w%d", n)))
	}
	slow := tasks(4, 3000)
	slow.MaxPerWorker = 1
	h.addJob("slow", slow)
	assert.Equal(t, h.startsOf("slow"), 4)
	for n := range 4 {
		long := lasting(1)
		long.Demand.CPU = 8000
		h.addJob(jaybarrow.JobID(fmt.Sprintf("l%d", n)), long)
	}
	h.planAndStart(jaybarrow.StartDone)
	h.addJob("quick", tasks(2, 1000))
	assert.Equal(t, h.startsOf("quick"), 2)
}

// Guards against a log line with each plan: room may be held and given up many times a second.
func TestHeldRoomIsReportedOnceASecondAtMost(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	h.addWorker("w2")
	for n := range 40 {
		long := lasting(1)
		long.Demand.CPU = 7000
		job := jaybarrow.JobID(fmt.Sprintf("l%d", n))
		h.addJob("full"+job, tasks(2, 9000))
		running := h.planAndStart(jaybarrow.StartDone)
		h.addJob(job, long)
		h.plan()
		h.pool.Cancel(job, h.now)
		for _, r := range running {
			h.report(r.Worker.ID, nil, h.endReport(r, jaybarrow.EndDone))
		}
		h.plan()
	}
	elapsed := h.now.Sub(time.UnixMilli(1_000_000))
	assert.Assert(t, h.roomReports >= 2, "%d reports", h.roomReports)
	assert.Assert(t, time.Duration(h.roomReports-1)*time.Second <= elapsed, "%d reports in %v", h.roomReports, elapsed)
}
