package workload_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/admission"
)

// Guards against an order of the waiting jobs that does not agree with admission: a job of a team within its share is admitted because those of
// the limited team are placed after it, though they were accepted before, and though its own team uses more than its share for a moment.
func TestADividedPoolPlacesTheJobsOfLimitedTeamsLast(t *testing.T) {
	for _, divided := range []bool{false, true} {
		t.Run(fmt.Sprint("divided ", divided), func(t *testing.T) {
			h := newHarness(t)
			h.shares = map[jaybarrow.TeamID]jaybarrow.Share{"large": 9, "small": 1}
			h.addWorker("w1")
			h.addJobOf("small", "s-0", tasks(1, 5000))
			running := h.planAndStart(jaybarrow.StartDone)
			assert.Equal(t, len(running), 1)
			for n := range 40 {
				h.addJobOf("large", jaybarrow.JobID(fmt.Sprintf("l-%02d", n)), tasks(1, 5000))
			}
			if divided {
				// What runs counts as the largest job of the team, which is not held against it.
				load, teams := h.pool.TeamBacklogs(0, h.now)
				teams["small"].Share, teams["small"].LargestPeak, teams["large"].Share = 1, admission.AmountsOf(jaybarrow.Resources{CPU: 5000}), 9
				d := admission.Divide(load, teams, 1)
				assert.Assert(t, d.Limited("large") && !d.Limited("small"))
				h.pool.SetDivision(0, &d)
			}
			h.advance(200 * time.Millisecond)
			h.addJobOf("small", "s-1", tasks(1, 5000))
			h.advance(1020 * time.Millisecond) // it must begin within 0.45 s to be in time, and the others within 0.25 s
			h.report("w1", runReports(running, "w1", 50))
			starts := h.planAndStart(jaybarrow.StartDone)
			assert.Equal(t, len(starts), 1)
			want := jaybarrow.JobID("l-00")
			if divided {
				want = "s-1"
			}
			assert.Equal(t, starts[0].Task.Job, want)
		})
	}
}

// Guards against runs of an evacuated data centre that count against their team although the capacity there is not divided: the team would be
// limited by what it cannot give back, and the jobs that it has for the rest of the pool would come last.
func TestRunsOfAnEvacuatedDataCentreDoNotCountInADivision(t *testing.T) {
	h := newHarness(t)
	h.shares = map[jaybarrow.TeamID]jaybarrow.Share{"a": 1, "b": 1}
	h.addWorkerIn("z1", "w1", 0)
	h.addJobOf("a", "a-0", tasks(1, 9000))
	assert.Equal(t, len(h.planAndStart(jaybarrow.StartDone)), 1)
	h.evacuate("z1")
	h.addWorkerIn("z2", "w2", 0)
	h.addJobOf("a", "a-1", tasks(1, 9000))
	h.addJobOf("b", "b-0", tasks(1, 9000))
	for n := range 40 {
		h.addJobOf("b", jaybarrow.JobID(fmt.Sprintf("b-%02d", n+1)), tasks(1, 9000))
	}
	load, teams := h.pool.TeamBacklogs(0, h.now)
	assert.Equal(t, load.Capacity.CPU, jaybarrow.Millicores(10_000))
	assert.Equal(t, teams["a"].Used, jaybarrow.Resources{})
	d := admission.Divide(load, map[jaybarrow.TeamID]*admission.TeamLoad{
		"a": {Share: 1, Waiting: jaybarrow.Work{CPU: 100_000}}, "b": {Share: 1, Waiting: jaybarrow.Work{CPU: 100_000}},
	}, 1)
	assert.Assert(t, d.Limited("a") && d.Limited("b"))
	h.pool.SetDivision(0, &d)
	starts := h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Task.Job, jaybarrow.JobID("a-1"), "within its part of what remains")
}

// Load pattern: two queues of different priority in one pool, of which one is asked for more than the other by a team. Guards against jobs that are
// ordered by the division of another priority than the one by which they were admitted.
func TestJobsAreOrderedByTheDivisionOfTheirPriority(t *testing.T) {
	divide := func(limited, other jaybarrow.TeamID) *admission.Division {
		d := admission.Divide(admission.Load{
			Capacity: jaybarrow.Resources{CPU: 10_000}, Waiting: jaybarrow.Work{CPU: 100_000}, InTime: jaybarrow.Work{CPU: 100_000},
		}, map[jaybarrow.TeamID]*admission.TeamLoad{limited: {Share: 1, Waiting: jaybarrow.Work{CPU: 99_000}}, other: {Share: 1, Waiting: jaybarrow.Work{CPU: 1000}}}, 1)
		assert.Assert(t, d.Limited(limited) && !d.Limited(other))
		return &d
	}
	for _, reversed := range []bool{false, true} {
		h := newHarness(t)
		h.shares = map[jaybarrow.TeamID]jaybarrow.Share{"a": 1, "b": 1}
		h.priorities = map[jaybarrow.QueueID]int{"match": 0, "later": 1}
		h.addWorker("w1")
		for _, id := range []jaybarrow.JobID{"a-0", "b-0", "a-1", "b-1"} {
			queue := jaybarrow.QueueID("match")
			if id[2] == '1' {
				queue = "later"
			}
			h.pool.AddJob(&jaybarrow.Job{
				ID: id, Queue: queue, Pool: "desk", Team: jaybarrow.TeamID(id[:1]), Spec: "s", Steps: []jaybarrow.Step{tasks(1, 9000)}, AcceptedMs: h.now.UnixMilli(),
			}, nil, h.now)
		}
		h.advance(1200 * time.Millisecond) // the jobs have 0.3 s of slack left
		h.report("w1", nil)
		urgent, later := divide("a", "b"), divide("b", "a")
		if reversed {
			h.pool.SetDivision(1, later)
			h.pool.SetDivision(0, urgent)
		} else {
			h.pool.SetDivision(0, urgent)
			h.pool.SetDivision(1, later)
		}
		var order []jaybarrow.JobID
		for range 4 {
			starts := h.planAndStart(jaybarrow.StartDone)
			assert.Equal(t, len(starts), 1)
			order = append(order, starts[0].Task.Job)
			h.report("w1", nil, h.endReport(starts[0], jaybarrow.EndDone))
		}
		assert.DeepEqual(t, order, []jaybarrow.JobID{"b-0", "a-0", "a-1", "b-1"})
	}
}
