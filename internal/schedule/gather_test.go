package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// wideJob returns a slow item that needs several slots on one host.
func wideJob(team, id string, slots jaybarrow.Slots) jaybarrow.Item {
	it := item(team, id, jaybarrow.ClassSlow, time.Hour, time.Second)
	it.Slots, it.Demand = slots, jaybarrow.Demand{Slots: slots}
	return it
}

// startSeconds keeps two hosts of four slots busy with one-slot tasks of one second that end one after the other, and returns the
// second in which each of the multi-slot jobs started; the jobs arrive in second 1.
func startSeconds(t *testing.T, gatherAfter float64, acquire func(jaybarrow.TeamID, jaybarrow.Slots) bool, jobs []jaybarrow.Item) map[jaybarrow.RequestID]int {
	t.Helper()
	const perSecond = 8 // one-slot tasks that arrive and end per second; equal to the number of slots
	p := newPool(schedule.Settings{MaxWaiting: 1000, GatherAfter: gatherAfter}, 2, 4)
	ends := map[int][]schedule.Start{}
	started := map[jaybarrow.RequestID]int{}
	for n := range 60 * perSecond {
		now := epoch.Add(time.Duration(n) * time.Second / perSecond)
		arrivals := []jaybarrow.Item{item("small", fmt.Sprint(n), jaybarrow.ClassSlow, time.Hour, time.Second)}
		if n == perSecond {
			arrivals = append(jobs, arrivals...)
			for i := range perSecond { // a backlog, so that each freed slot is used immediately
				arrivals = append(arrivals, item("small", fmt.Sprint("backlog", i), jaybarrow.ClassSlow, time.Hour, time.Second))
			}
		}
		for _, it := range arrivals {
			it.Arrived = now
			_, err := p.Enqueue(now, it, 0)
			assert.NilError(t, err)
		}
		for _, start := range ends[n] {
			p.Finished(now, start.Attempt, time.Second)
		}
		in := schedule.Inputs{Acquire: acquire}
		for start, ok := p.Next(now, in); ok; start, ok = p.Next(now, in) {
			ends[n+perSecond] = append(ends[n+perSecond], start)
			if start.Item.Slots > 1 {
				started[start.Item.ID] = n / perSecond
			}
		}
	}
	return started
}

// Guards against a multi-slot job that waits for as long as one-slot work keeps the pool busy, and against a job that fits no host,
// or a team without permits, that blocks the other multi-slot jobs.
func TestWideJobsStartWithinABound(t *testing.T) {
	permits := func(team jaybarrow.TeamID, _ jaybarrow.Slots) bool { return team != "limited" }
	cases := []struct {
		name   string
		after  float64
		jobs   []jaybarrow.Item
		latest map[jaybarrow.RequestID]int // second of the start
	}{
		{"gathering is off", 0, []jaybarrow.Item{wideJob("a", "w", 4)}, nil},
		{"gathered", 4, []jaybarrow.Item{wideJob("a", "w", 4)}, map[jaybarrow.RequestID]int{"w": 7}},
		{"two teams", 4, []jaybarrow.Item{wideJob("a", "w", 4), wideJob("b", "v", 4)}, map[jaybarrow.RequestID]int{"w": 9, "v": 9}},
		{"behind a job that fits no host", 4, []jaybarrow.Item{wideJob("a", "never", 5), wideJob("a", "w", 4)}, map[jaybarrow.RequestID]int{"w": 7}},
		{"behind a team without permits", 4, []jaybarrow.Item{wideJob("limited", "l", 4), wideJob("a", "w", 4)}, map[jaybarrow.RequestID]int{"w": 9}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			started := startSeconds(t, c.after, permits, c.jobs)
			assert.Equal(t, len(started), len(c.latest), "%v", started)
			for id, latest := range c.latest {
				assert.Assert(t, started[id] <= latest, "%s started in second %d, want at most %d", id, started[id], latest)
			}
		})
	}
}
