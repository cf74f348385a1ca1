package order_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/order/fairshare"
	"github.com/jaybarrow/jaybarrow/internal/order/fifo"
	"github.com/jaybarrow/jaybarrow/internal/order/roundrobin"
)

var (
	epoch  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	orders = map[string]func() jaybarrow.Order{
		"fairshare":  func() jaybarrow.Order { return fairshare.New() },
		"roundrobin": func() jaybarrow.Order { return roundrobin.New() },
		"fifo":       func() jaybarrow.Order { return fifo.New() },
	}
)

func drawItem(t *rapid.T, id int, now time.Time) jaybarrow.Item {
	slots := jaybarrow.Slots(rapid.IntRange(1, 3).Draw(t, "slots"))
	item := jaybarrow.Item{
		ID: jaybarrow.RequestID(fmt.Sprint("r", id)), Team: jaybarrow.TeamID(fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "team"))),
		Class: rapid.SampledFrom([]jaybarrow.Class{jaybarrow.ClassQuick, jaybarrow.ClassSlow}).Draw(t, "class"),
		Slots: slots, Demand: jaybarrow.Demand{Slots: slots}, Share: jaybarrow.Share(rapid.IntRange(1, 3).Draw(t, "share")), Arrived: now,
		Target:   now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "target")) * time.Second),
		Estimate: time.Duration(rapid.IntRange(0, 20).Draw(t, "estimate")) * time.Second,
	}
	if rapid.Bool().Draw(t, "bounded") {
		item.Deadline = item.Target
	}
	return item
}

// Guards against items that are lost, started twice, or started after their removal or expiry, and against calling accepts twice
// for one team and demand.
func TestEveryItemLeavesOnce(t *testing.T) {
	for name, newOrder := range orders {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				o, now := newOrder(), epoch
				waiting := make(map[jaybarrow.RequestID]jaybarrow.Item)
				var running []jaybarrow.Item
				for id := range rapid.IntRange(1, 80).Draw(t, "steps") {
					switch rapid.IntRange(0, 5).Draw(t, "action") {
					case 0, 1:
						item := drawItem(t, id, now)
						waiting[item.ID] = item
						o.Push(now, item)
					case 2:
						if item, ok := next(t, o, now); ok {
							_, known := waiting[item.ID]
							assert.Assert(t, known, "%s was not waiting", item.ID)
							delete(waiting, item.ID)
							o.Started(now, item)
							running = append(running, item)
						}
					case 3:
						victim := jaybarrow.RequestID(fmt.Sprint("r", rapid.IntRange(0, id).Draw(t, "victim")))
						_, known := waiting[victim]
						_, removed := o.Remove(victim)
						assert.Equal(t, removed, known)
						delete(waiting, victim)
					case 4:
						now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second)
						expire(t, o, now, waiting)
					case 5:
						if len(running) > 0 {
							o.Finished(now, running[0], now.Sub(epoch))
							running = running[1:]
						}
					}
					assert.Equal(t, o.Len(), len(waiting))
				}
				for range waiting {
					_, ok := o.Next(now, func(jaybarrow.Item) bool { return true })
					assert.Assert(t, ok, "Next did not return a waiting item")
				}
			})
		})
	}
}

func next(t *rapid.T, o jaybarrow.Order, now time.Time) (jaybarrow.Item, bool) {
	type teamDemand struct {
		team   jaybarrow.TeamID
		demand jaybarrow.Demand
	}
	offered := make(map[teamDemand]bool)
	blocked := jaybarrow.TeamID(fmt.Sprint("t", rapid.IntRange(0, 4).Draw(t, "blocked")))
	room := jaybarrow.Slots(rapid.IntRange(0, 3).Draw(t, "room"))
	before, runnable := o.Len(), false
	item, ok := o.Next(now, func(it jaybarrow.Item) bool {
		key := teamDemand{it.Team, it.Demand}
		assert.Assert(t, !offered[key], "%v was offered twice", key)
		offered[key] = true
		runnable = it.Team != blocked && it.Slots <= room
		return runnable
	})
	assert.Equal(t, ok, runnable)
	if ok {
		assert.Equal(t, o.Len(), before-1)
	}
	return item, ok
}

func expire(t *rapid.T, o jaybarrow.Order, now time.Time, waiting map[jaybarrow.RequestID]jaybarrow.Item) {
	for _, item := range o.Expired(now) {
		_, known := waiting[item.ID]
		assert.Assert(t, known && !item.Deadline.After(now), "%s expired early or twice", item.ID)
		delete(waiting, item.ID)
	}
	earliest := time.Time{}
	for id, item := range waiting {
		assert.Assert(t, item.Deadline.IsZero() || item.Deadline.After(now), "%s did not expire", id)
		if !item.Deadline.IsZero() && (earliest.IsZero() || item.Deadline.Before(earliest)) {
			earliest = item.Deadline
		}
	}
	deadline, ok := o.NextDeadline()
	assert.Equal(t, ok, !earliest.IsZero())
	assert.Assert(t, deadline.Equal(earliest), "next deadline %v, want %v", deadline, earliest)
}

// Guards against baseline orders that do not follow the policy they are named after, and against an item that loses its place when
// it is queued again.
func TestBaselineOrders(t *testing.T) {
	cases := []struct {
		name  string
		order func() jaybarrow.Order
		want  string
	}{
		{"fifo in arrival order", orders["fifo"], "[a1 a2 a3 b1 b2]"},
		{"round robin between teams", orders["roundrobin"], "[a1 b1 a2 b2 a3]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := c.order()
			for i, id := range []string{"a1", "a2", "a3", "b1", "b2"} {
				o.Push(epoch, jaybarrow.Item{ID: jaybarrow.RequestID(id), Team: jaybarrow.TeamID(id[:1]), Arrived: epoch.Add(time.Duration(i))})
			}
			second, _ := o.Remove("a2")
			o.Push(epoch, second)
			var got []jaybarrow.RequestID
			for item, ok := o.Next(epoch, acceptAll); ok; item, ok = o.Next(epoch, acceptAll) {
				got = append(got, item.ID)
			}
			assert.Equal(t, fmt.Sprint(got), c.want)
		})
	}
}

func acceptAll(jaybarrow.Item) bool { return true }
