package workload_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
)

// Guards against urgent queues that wait behind others, and against late jobs that are served before those in time.
func TestUrgentQueuesComeFirstAmongJobsInTime(t *testing.T) {
	cases := []struct {
		name  string
		late  bool // whether the urgent job can no longer meet its target
		first jaybarrow.JobID
	}{
		{"in time", false, "urgent"},
		{"late", true, "usual"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.priorities = map[jaybarrow.QueueID]int{"match": 1, "phone": 0}
			urgent := &jaybarrow.Job{
				ID: "urgent", Queue: "phone", Pool: "desk", Team: "trail", Steps: []jaybarrow.Step{tasks(1, 8000)}, AcceptedMs: h.now.UnixMilli(),
			}
			if c.late {
				urgent.AcceptedMs -= time.Hour.Milliseconds()
			}
			h.addJob("usual", tasks(1, 8000))
			h.advance(time.Millisecond)
			h.pool.AddJob(urgent, nil, h.now)
			h.addWorker("w1")
			starts := h.planAndStart(jaybarrow.StartDone)
			assert.Equal(t, len(starts), 1)
			assert.Equal(t, starts[0].Task.Job, c.first)
		})
	}
}

// Guards against a team that fills a pool beyond its share with earlier jobs while another team waits.
func TestTeamsWithinTheirShareComeFirst(t *testing.T) {
	cases := []struct {
		name   string
		shares map[jaybarrow.TeamID]jaybarrow.Share
		first  jaybarrow.TeamID // team of the job that gets the freed capacity
	}{
		{"equal shares", map[jaybarrow.TeamID]jaybarrow.Share{"trail": 1, "club": 1}, "club"},
		{"the first team has nearly all shares", map[jaybarrow.TeamID]jaybarrow.Share{"trail": 99, "club": 1}, "trail"},
		{"no shares", nil, "trail"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.shares = c.shares
			h.addWorker("w1")
			for n := range 5 {
				h.addJob(jaybarrow.JobID(fmt.Sprint("trail-", n)), tasks(1, 3000))
			}
			// The first team keeps more than half of the pool, and its next job was accepted before the other team's.
			starts := h.planAndStart(jaybarrow.StartDone)
			assert.Equal(t, len(starts), 3)
			h.pool.AddJob(&jaybarrow.Job{
				ID: "club-0", Queue: "match", Pool: "desk", Team: "club", Steps: []jaybarrow.Step{tasks(1, 3000)}, AcceptedMs: h.now.UnixMilli(),
			}, nil, h.now)
			h.report("w1", runReports(starts[1:], "w1", 10), h.endReport(starts[0], jaybarrow.EndDone))
			next := h.planAndStart(jaybarrow.StartDone)
			assert.Equal(t, len(next), 1)
			want := jaybarrow.JobID("trail-3")
			if c.first == "club" {
				want = "club-0"
			}
			assert.Equal(t, next[0].Task.Job, want)
		})
	}
}

// Guards against a team above its limit, and against usage that is not released when a task ends.
func TestATeamStaysWithinItsLimit(t *testing.T) {
	h := newHarness(t)
	h.limit = jaybarrow.Resources{CPU: 2500}
	h.addWorker("w1")
	h.addJob("j", tasks(4, 1000))
	first := h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, len(first), 2)
	assert.Equal(t, len(h.planAndStart(jaybarrow.StartDone)), 0)
	h.report("w1", runReports(first[1:], "w1", 50), h.endReport(first[0], jaybarrow.EndDone))
	assert.Equal(t, len(h.planAndStart(jaybarrow.StartDone)), 1)
}

// Guards against placements that violate the constraints of a step.
func TestPlacementMeetsTheConstraintsOfAStep(t *testing.T) {
	labelled := tasks(2, 1000)
	labelled.Requires = "fast"
	spread := tasks(3, 1000)
	spread.MaxPerWorker = 1
	cases := []struct {
		name string
		step jaybarrow.Step
		want map[jaybarrow.WorkerID]int
	}{
		{"label", labelled, map[jaybarrow.WorkerID]int{"w2": 2}},
		{"limit per worker", spread, map[jaybarrow.WorkerID]int{"w1": 1, "w2": 1}},
		{"room", tasks(5, 6000), map[jaybarrow.WorkerID]int{"w1": 1, "w2": 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.addWorker("w1", "slow")
			h.addWorker("w2", "fast")
			h.addJob("j", c.step)
			got := make(map[jaybarrow.WorkerID]int)
			for _, s := range h.planAndStart(jaybarrow.StartDone) {
				got[s.Worker.ID]++
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// Guards against a gang that starts in part and waits for room that never comes.
func TestAGangStartsWholeUnderOneRunOrNotAtAll(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	gang := tasks(3, 4000)
	gang.Gang = true
	h.addJob("j", gang)
	assert.Equal(t, len(h.planAndStart(jaybarrow.StartDone)), 0)
	assert.Equal(t, h.used, jaybarrow.Resources{})
	assert.Equal(t, h.pool.Waiting("match"), 1)
	h.addWorker("w2")
	s := h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, len(s), 3)
	for _, member := range s {
		assert.Equal(t, member.Run, s[0].Run)
	}
	// A single done end completes all tasks of a gang.
	h.report(s[0].Worker.ID, nil, h.endReport(s[0], jaybarrow.EndDone))
	h.plan()
	assert.Equal(t, h.finished["j"], jaybarrow.JobCompleted)
}

// Guards against new tasks on a draining worker, and against lasting tasks that stay on it until it shuts down.
func TestLastingTasksMoveOffADrainingWorker(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	h.addJob("j", lasting(1))
	s := h.planAndStart(jaybarrow.StartDone)
	h.pool.SetWorker(jaybarrow.Worker{
		ID: "w1", Pool: "desk", Address: "192.0.2.1:80", State: jaybarrow.WorkerDraining, Capacity: jaybarrow.Resources{CPU: 10_000, Memory: 10_000},
	}, h.now)
	out := h.plan()
	assert.Equal(t, len(out.Stops), 1)
	h.report("w1", nil, h.endReport(s[0], jaybarrow.EndStopped))
	assert.Equal(t, len(h.plan().Starts), 0)
	h.addWorker("w2")
	assert.Equal(t, len(h.plan().Starts), 1)
}

// Guards against a worker that fails every task and still receives new ones.
func TestAWorkerThatFailsItsTasksIsEjected(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	h.addJob("a", tasks(1, 1000))
	h.addJob("b", tasks(1, 1000))
	s := h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, len(s), 2)
	h.report("w1", nil, h.endReport(s[0], jaybarrow.EndFailed), h.endReport(s[1], jaybarrow.EndFailed))
	assert.Equal(t, len(h.plan().Starts), 0)
	h.advance(3 * time.Second)
	h.report("w1", nil)
	assert.Equal(t, len(h.plan().Starts), 2)
}

// Load pattern: a pool full of short tasks, where a lasting task waits and needs more than one of them frees. Short tasks must not take
// what is freed there again and again.
func TestALastingTaskGetsRoomInAFullPool(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	h.addWorker("w2")
	h.addJob("quick", tasks(100, 2000))
	running := h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, len(running), 10, "the pool is full")
	long := lasting(1)
	long.Demand.CPU = 7000
	h.addJob("long", long)
	var started bool
	for range 12 {
		// The oldest run ends, and the worker reports it with the others.
		oldest := running[0]
		running = running[1:]
		id := oldest.Worker.ID
		h.report(id, runReports(running, id, 50), h.endReport(oldest, jaybarrow.EndDone))
		for _, s := range h.planAndStart(jaybarrow.StartDone) {
			started = started || s.Task.Job == "long"
			running = append(running, s)
		}
	}
	assert.Assert(t, started)
}

// Guards against order by chance where only some of the starts can be sent: those of the job that comes first must be first.
func TestStartsKeepTheOrderOfTheirJobs(t *testing.T) {
	h := newHarness(t)
	for n := range 5 {
		h.addWorker(jaybarrow.WorkerID(fmt.Sprintf("w%d", n)))
	}
	for n := range 5 {
		h.addJob(jaybarrow.JobID(fmt.Sprintf("j%d", n)), tasks(4, 1000))
		h.advance(time.Millisecond)
	}
	starts := h.plan().Starts
	assert.Equal(t, len(starts), 20)
	for n, s := range starts {
		assert.Equal(t, s.Task.Job, jaybarrow.JobID(fmt.Sprintf("j%d", n/4)))
	}
}

// Load pattern: more work than start orders can be sent for. What is not sent soon must stay in its queue, where more urgent work can
// still come before it.
func TestNoMoreIsPlacedThanCanBeSent(t *testing.T) {
	h := newHarness(t)
	for n := range 10 {
		h.addWorker(jaybarrow.WorkerID(fmt.Sprintf("w%d", n)))
	}
	h.addJob("usual", tasks(50, 1000))
	h.pool.LimitOrders(8, 8)
	assert.Equal(t, len(h.planAndStart(jaybarrow.StartDone)), 8)
	h.addJob("long", lasting(4))
	starts := h.planAndStart(jaybarrow.StartDone)
	assert.Equal(t, len(starts), 8)
	for _, s := range starts[:4] {
		assert.Equal(t, s.Task.Job, jaybarrow.JobID("long"))
	}
}

// Load pattern: stops that are not answered, since the link or the worker is overloaded. They must be repeated, but ever more rarely.
func TestUnansweredStopsAreRepeatedMoreRarely(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1")
	h.addJob("j", tasks(1, 1000))
	starts := h.planAndStart(jaybarrow.StartDone)
	assert.Assert(t, h.pool.Cancel("j", h.now))
	var sent []time.Time
	for h.now.Before(time.UnixMilli(1_000_000).Add(4 * time.Second)) {
		h.report("w1", runReports(starts, "w1", 50))
		if len(h.plan().Stops) > 0 {
			sent = append(sent, h.now)
		}
	}
	assert.Assert(t, len(sent) >= 3 && len(sent) <= 5, "%d stops in 4 s", len(sent))
	for n := 2; n < len(sent); n++ {
		assert.Assert(t, sent[n].Sub(sent[n-1]) > sent[n-1].Sub(sent[n-2])*3/2, "%v", sent)
	}
}
