package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/order/fairshare"
	"github.com/jaybarrow/jaybarrow/internal/placement/leastloaded"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

var (
	epoch            = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	unlimitedPermits = schedule.Inputs{Acquire: func(jaybarrow.TeamID, jaybarrow.Slots) bool { return true }}
)

func newPool(settings schedule.Settings, hosts int, slots jaybarrow.Slots) *schedule.Pool {
	p := schedule.New(settings, fairshare.New(), leastloaded.New())
	var views []schedule.HostView
	for i := range hosts {
		views = append(views, schedule.HostView{
			ID: jaybarrow.HostID(fmt.Sprint("h", i)), Capacity: jaybarrow.Demand{Slots: slots}, Accepting: true,
		})
	}
	p.SetHosts(views)
	return p
}

func item(team, id string, class jaybarrow.Class, target, estimate time.Duration) jaybarrow.Item {
	it := jaybarrow.Item{
		ID: jaybarrow.RequestID(id), Team: jaybarrow.TeamID(team), Class: class, Slots: 1, Demand: jaybarrow.Demand{Slots: 1}, Share: 1,
		Arrived: epoch, Target: epoch.Add(target), Estimate: estimate,
	}
	if class == jaybarrow.ClassQuick {
		it.Deadline = it.Target
	}
	return it
}

func startAll(p *schedule.Pool, now time.Time) (starts []schedule.Start) {
	for start, ok := p.Next(now, unlimitedPermits); ok; start, ok = p.Next(now, unlimitedPermits) {
		starts = append(starts, start)
	}
	return starts
}

// Guards against refusing a request that can be answered in time, and against accepting one that cannot.
func TestAdmission(t *testing.T) {
	cases := []struct {
		name        string
		waiting     int           // one-second quick items of the same team that arrive before the new item
		target      time.Duration // target of the new item, which runs one second
		expectedRun time.Duration
		refused     bool
	}{
		{"a slot is free", 0, 500 * time.Millisecond, time.Second, false},
		{"two seconds of work ahead, four left", 4, 4 * time.Second, time.Second, false},
		{"ten seconds of work ahead, four left", 20, 4 * time.Second, time.Second, true},
		{"unknown run time", 20, 4 * time.Second, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newPool(schedule.Settings{MaxWaiting: 100, Admission: true}, 1, 2)
			for i := range c.waiting {
				_, err := p.Enqueue(epoch, item("a", fmt.Sprint(i), jaybarrow.ClassQuick, time.Hour, time.Second), 0)
				assert.NilError(t, err)
			}
			startAll(p, epoch)
			_, err := p.Enqueue(epoch, item("a", "new", jaybarrow.ClassQuick, c.target, time.Second), c.expectedRun)
			assert.Equal(t, jaybarrow.IsKind(err, jaybarrow.KindDeadlineUnattainable), c.refused, "%v", err)
		})
	}
}

// Guards against slow work that takes the slots of quick work between two bursts, against holding the slots forever, and against a
// reserve larger than its bound.
func TestReserveForQuickWork(t *testing.T) {
	cases := []struct {
		name    string
		quick   int           // one-second quick items that arrive in the first two seconds
		after   time.Duration // when the slow work arrives; all quick work has finished
		started int           // slow items that start on the eight slots
	}{
		{"no quick work", 0, 3 * time.Second, 8},
		{"shortly after a load of two slots", 4, 3 * time.Second, 6},
		{"reserve bounded by a quarter of the pool", 16, 3 * time.Second, 6},
		{"long after the quick work", 4, 10 * time.Minute, 8},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newPool(schedule.Settings{MaxWaiting: 100, QuickReserve: 0.25}, 1, 8)
			for i := range c.quick {
				_, err := p.Enqueue(epoch, item("a", fmt.Sprint("q", i), jaybarrow.ClassQuick, time.Minute, time.Second), 0)
				assert.NilError(t, err)
			}
			for starts := startAll(p, epoch); len(starts) > 0; starts = startAll(p, epoch) {
				for _, start := range starts {
					p.Finished(epoch.Add(time.Second), start.Attempt, time.Second)
				}
			}
			now := epoch.Add(c.after)
			for i := range 20 {
				_, err := p.Enqueue(now, item("a", fmt.Sprint("s", i), jaybarrow.ClassSlow, 10*time.Hour, time.Minute), 0)
				assert.NilError(t, err)
			}
			assert.Equal(t, len(startAll(p, now)), c.started)
			wake, ok := p.NextWake(now)
			assert.Equal(t, ok && wake.After(now), c.started < 8, "a wake time is expected only while slots are held")
		})
	}
}

// Guards against slots that are used twice or leak when starts, repeated ends, retries, host backoffs and expiries interleave.
func TestSlotsAreNeverOversubscribed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts, slots = 3, 2
		p, now := newPool(schedule.Settings{MaxWaiting: 20, QuickReserve: 0.25}, hosts, slots), epoch
		running := make(map[jaybarrow.AttemptID]schedule.Start)
		used := make(map[jaybarrow.HostID]jaybarrow.Slots)
		for id := range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				class := rapid.SampledFrom([]jaybarrow.Class{jaybarrow.ClassQuick, jaybarrow.ClassSlow}).Draw(t, "class")
				_, _ = p.Enqueue(now, item(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), fmt.Sprint(id), class, time.Minute, time.Second), 0)
			case 1:
				for _, start := range startAll(p, now) {
					running[start.Attempt] = start
					used[start.Host] += start.Item.Slots
					assert.Assert(t, used[start.Host] <= slots, "%s is oversubscribed", start.Host)
				}
			case 2:
				for attempt, start := range running {
					p.Finished(now, attempt, time.Second)
					p.Finished(now, attempt, time.Second)
					delete(running, attempt)
					used[start.Host] -= start.Item.Slots
					if rapid.Bool().Draw(t, "retry") {
						p.HostRefused(now, start.Host)
						p.Requeue(now, start.Item, []jaybarrow.HostID{start.Host})
					}
					break
				}
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second)
				p.Expired(now)
			}
			assert.Equal(t, p.Load(now).Running, len(running))
		}
		for attempt := range running {
			p.Finished(now, attempt, 0)
		}
		assert.Equal(t, p.Load(now.Add(time.Minute)).FreeSlots, jaybarrow.Slots(hosts*slots))
	})
}

// Guards against a team that occupies every slot because its urgent slow work uses the reserve without counting against it.
func TestUrgentSlowWorkCountsInItsTeamsReserve(t *testing.T) {
	p, now := newPool(schedule.Settings{MaxWaiting: 1000, QuickReserve: 0.25}, 1, 8), epoch
	for _, team := range []string{"a", "b"} {
		for i := range 4 {
			_, err := p.Enqueue(now, item(team, fmt.Sprint(team, "q", i), jaybarrow.ClassQuick, time.Minute, time.Second), 0)
			assert.NilError(t, err)
		}
	}
	for _, start := range startAll(p, now) {
		p.Finished(now, start.Attempt, time.Second)
	}
	now = now.Add(3 * time.Second)
	for i := range 200 {
		_, err := p.Enqueue(now, item("a", fmt.Sprint("a", i), jaybarrow.ClassSlow, 10*time.Hour, time.Minute), 0)
		assert.NilError(t, err)
		_, err = p.Enqueue(now, item("b", fmt.Sprint("b", i), jaybarrow.ClassSlow, 63*time.Second, time.Minute), 0)
		assert.NilError(t, err)
	}
	running, starts := startAll(p, now), map[jaybarrow.TeamID]int{}
	for range 100 {
		p.Finished(now, running[0].Attempt, time.Minute)
		next := startAll(p, now)
		running = append(running[1:], next...)
		for _, start := range next {
			starts[start.Item.Team]++
		}
	}
	assert.Assert(t, starts["a"] > 40 && starts["b"] > 40, "starts: %v", starts)
}

// Guards against a retried item that goes back to the host it was tried on, and against one that blocks its team while it waits for
// another host.
func TestRetriedItemWaitsForAnotherHost(t *testing.T) {
	p := newPool(schedule.Settings{MaxWaiting: 10}, 2, 1)
	for _, id := range []string{"1", "2", "3"} {
		_, err := p.Enqueue(epoch, item("a", id, jaybarrow.ClassSlow, time.Hour, time.Second), 0)
		assert.NilError(t, err)
	}
	first := startAll(p, epoch)
	assert.Equal(t, len(first), 2)
	failed, other := first[0], first[1]
	p.Finished(epoch, failed.Attempt, time.Second)
	p.Requeue(epoch, failed.Item, []jaybarrow.HostID{failed.Host})
	next := startAll(p, epoch)
	assert.Equal(t, len(next), 1)
	assert.Equal(t, next[0].Item.ID, jaybarrow.RequestID("3"))
	assert.Equal(t, p.Load(epoch).Waiting, 1)
	p.Finished(epoch, other.Attempt, time.Second)
	retried := startAll(p, epoch)
	assert.Equal(t, len(retried), 1)
	assert.Equal(t, retried[0].Item.ID, failed.Item.ID)
	assert.Equal(t, retried[0].Host, other.Host)
}
