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
		late  bool // whether the urgent job cannot be in time any more
		first jaybarrow.JobID
	}{
		{"in time", false, "urgent"},
		{"late", true, "usual"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.urgency = map[jaybarrow.QueueID]int{"match": 1, "phone": 0}
			urgent := &jaybarrow.Job{
				ID: "urgent", Queue: "phone", Pool: "desk", Team: "trail", Steps: []jaybarrow.Step{tasks(1, 8000)}, AcceptedMs: b.now.UnixMilli(),
			}
			if c.late {
				urgent.AcceptedMs -= time.Hour.Milliseconds()
			}
			b.add("usual", tasks(1, 8000))
			b.wait(time.Millisecond)
			b.pool.AddJob(urgent, nil, b.now)
			b.worker("w1")
			starts := b.start(jaybarrow.StartDone)
			assert.Equal(t, len(starts), 1)
			assert.Equal(t, starts[0].Task.Job, c.first)
		})
	}
}

// Guards against a team that fills a pool with jobs that came first, beyond its share, while another waits.
func TestTeamsWithinTheirShareComeFirst(t *testing.T) {
	cases := []struct {
		name   string
		shares map[jaybarrow.TeamID]jaybarrow.Share
		first  jaybarrow.TeamID // of the job that gets the room that becomes free
	}{
		{"equal shares", map[jaybarrow.TeamID]jaybarrow.Share{"trail": 1, "club": 1}, "club"},
		{"the first team owns nearly all", map[jaybarrow.TeamID]jaybarrow.Share{"trail": 99, "club": 1}, "trail"},
		{"no shares", nil, "trail"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.shares = c.shares
			b.worker("w1")
			for n := range 5 {
				b.add(jaybarrow.JobID(fmt.Sprint("trail-", n)), tasks(1, 3000))
			}
			// More than half of the pool stays with the first team; its next job came before the other team's.
			starts := b.start(jaybarrow.StartDone)
			assert.Equal(t, len(starts), 3)
			b.pool.AddJob(&jaybarrow.Job{
				ID: "club-0", Queue: "match", Pool: "desk", Team: "club", Steps: []jaybarrow.Step{tasks(1, 3000)}, AcceptedMs: b.now.UnixMilli(),
			}, nil, b.now)
			b.report("w1", running(starts[1:], "w1", 10), b.end(starts[0], jaybarrow.EndDone))
			next := b.start(jaybarrow.StartDone)
			assert.Equal(t, len(next), 1)
			want := jaybarrow.JobID("trail-3")
			if c.first == "club" {
				want = "club-0"
			}
			assert.Equal(t, next[0].Task.Job, want)
		})
	}
}

// Guards against a team above its limit, and against a limit that is lost when tasks end.
func TestATeamStaysWithinItsLimit(t *testing.T) {
	b := newBench(t)
	b.limit = jaybarrow.Resources{CPU: 2500}
	b.worker("w1")
	b.add("j", tasks(4, 1000))
	first := b.start(jaybarrow.StartDone)
	assert.Equal(t, len(first), 2)
	assert.Equal(t, len(b.start(jaybarrow.StartDone)), 0)
	b.report("w1", running(first[1:], "w1", 50), b.end(first[0], jaybarrow.EndDone))
	assert.Equal(t, len(b.start(jaybarrow.StartDone)), 1)
}

// Guards against placements that a step forbids.
func TestPlacementKeepsToTheStep(t *testing.T) {
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
		{"most on one worker", spread, map[jaybarrow.WorkerID]int{"w1": 1, "w2": 1}},
		{"room", tasks(5, 6000), map[jaybarrow.WorkerID]int{"w1": 1, "w2": 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.worker("w1", "slow")
			b.worker("w2", "fast")
			b.add("j", c.step)
			got := make(map[jaybarrow.WorkerID]int)
			for _, s := range b.start(jaybarrow.StartDone) {
				got[s.Worker.ID]++
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// Guards against a gang that starts in part and waits for room that does not come.
func TestAGangStartsWholeUnderOneRunOrNotAtAll(t *testing.T) {
	b := newBench(t)
	b.worker("w1")
	gang := tasks(3, 4000)
	gang.Gang = true
	b.add("j", gang)
	assert.Equal(t, len(b.start(jaybarrow.StartDone)), 0)
	assert.Equal(t, b.used, jaybarrow.Resources{})
	assert.Equal(t, b.pool.Waiting("match"), 1)
	b.worker("w2")
	s := b.start(jaybarrow.StartDone)
	assert.Equal(t, len(s), 3)
	for _, member := range s {
		assert.Equal(t, member.Run, s[0].Run)
	}
	// One end of a gang that is done stands for all of them.
	b.report(s[0].Worker.ID, nil, b.end(s[0], jaybarrow.EndDone))
	b.plan()
	assert.Equal(t, b.finished["j"], jaybarrow.JobCompleted)
}

// Guards against new tasks on a worker that is about to leave, and against lasting tasks that leave with it.
func TestADrainingWorkerIsLeft(t *testing.T) {
	b := newBench(t)
	b.worker("w1")
	b.add("j", lasting(1))
	s := b.start(jaybarrow.StartDone)
	b.pool.SetWorker(jaybarrow.Worker{
		ID: "w1", Pool: "desk", Address: "192.0.2.1:80", State: jaybarrow.WorkerDraining, Capacity: jaybarrow.Resources{CPU: 10_000, Memory: 10_000},
	}, b.now)
	out := b.plan()
	assert.Equal(t, len(out.Stops), 1)
	b.report("w1", nil, b.end(s[0], jaybarrow.EndStopped))
	assert.Equal(t, len(b.plan().Starts), 0)
	b.worker("w2")
	assert.Equal(t, len(b.plan().Starts), 1)
}

// Guards against a worker that spoils everything it starts and goes on receiving tasks.
func TestAWorkerThatSpoilsTasksRests(t *testing.T) {
	b := newBench(t)
	b.worker("w1")
	b.add("a", tasks(1, 1000))
	b.add("b", tasks(1, 1000))
	s := b.start(jaybarrow.StartDone)
	assert.Equal(t, len(s), 2)
	b.report("w1", nil, b.end(s[0], jaybarrow.EndFailed), b.end(s[1], jaybarrow.EndFailed))
	assert.Equal(t, len(b.plan().Starts), 0)
	b.wait(3 * time.Second)
	b.report("w1", nil)
	assert.Equal(t, len(b.plan().Starts), 2)
}
