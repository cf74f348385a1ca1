package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// Guards against using a borrowed host while one of the pool's own hosts has room, against slow work that occupies the spare hosts,
// and against placing work on a borrowed host that drains.
func TestBorrowedHostsComeLast(t *testing.T) {
	cases := []struct {
		name      string
		class     jaybarrow.Class
		target    time.Duration
		items     int
		accepting bool // whether the borrowed host accepts tasks
		own       int  // starts on the pool's own host, which has two slots
		borrowed  int  // starts on the borrowed host, which has two slots
	}{
		{"own host has room", jaybarrow.ClassQuick, time.Minute, 2, true, 2, 0},
		{"more quick work than own slots", jaybarrow.ClassQuick, time.Minute, 3, true, 2, 1},
		{"more work than both hosts have room for", jaybarrow.ClassQuick, time.Minute, 9, true, 2, 2},
		{"slow work with time left", jaybarrow.ClassSlow, time.Hour, 3, true, 2, 0},
		{"slow work that has to start now", jaybarrow.ClassSlow, time.Second, 3, true, 2, 1},
		{"the borrowed host drains", jaybarrow.ClassQuick, time.Minute, 3, false, 2, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newPool(schedule.Settings{MaxWaiting: 100}, 1, 2)
			p.SetHosts([]schedule.HostView{
				{ID: "a-spare", Capacity: jaybarrow.Demand{Slots: 2}, Accepting: c.accepting, Borrowed: true},
				{ID: "h0", Capacity: jaybarrow.Demand{Slots: 2}, Accepting: true},
			})
			for i := range c.items {
				_, err := p.Enqueue(epoch, item("a", fmt.Sprint(i), c.class, c.target, time.Second), 0)
				assert.NilError(t, err)
			}
			used := map[jaybarrow.HostID]int{}
			for i, start := range startAll(p, epoch) {
				assert.Assert(t, i >= c.own || start.Host == "h0", "the spare host was used before the own one was full")
				used[start.Host]++
			}
			assert.Equal(t, used["h0"], c.own)
			assert.Equal(t, used["a-spare"], c.borrowed)
			assert.Equal(t, p.Load(epoch).FreeSlots, jaybarrow.Slots(2-c.own))
		})
	}
}

// Guards against refusing quick work because of its deadline while a borrowed host could run it.
func TestAdmissionCountsBorrowedHosts(t *testing.T) {
	p := newPool(schedule.Settings{MaxWaiting: 100, Admission: true}, 1, 1)
	_, err := p.Enqueue(epoch, item("a", "1", jaybarrow.ClassQuick, time.Minute, time.Minute), time.Minute)
	assert.NilError(t, err)
	assert.Equal(t, len(startAll(p, epoch)), 1)
	quick := item("a", "2", jaybarrow.ClassQuick, 2*time.Second, time.Second)
	_, err = p.Enqueue(epoch, quick, time.Second)
	assert.Assert(t, jaybarrow.IsKind(err, jaybarrow.KindDeadlineUnattainable), "%v", err)
	assert.Equal(t, p.Load(epoch).Missed, int64(1))
	p.SetHosts([]schedule.HostView{
		{ID: "h0", Capacity: jaybarrow.Demand{Slots: 1}, Accepting: true},
		{ID: "spare", Capacity: jaybarrow.Demand{Slots: 1}, Accepting: true, Borrowed: true},
	})
	_, err = p.Enqueue(epoch, quick, time.Second)
	assert.NilError(t, err)
}
