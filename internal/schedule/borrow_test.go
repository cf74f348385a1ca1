package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// Guards against borrowing while an own host has room, against slow work that occupies the spare hosts, and against work on a
// lender that drains.
func TestBorrowedHostsComeLast(t *testing.T) {
	cases := []struct {
		name      string
		class     jaybarrow.Class
		target    time.Duration
		items     int
		accepting bool // of the borrowed host
		own       int  // starts on the own host, which has two slots
		borrowed  int
	}{
		{"own host has room", jaybarrow.ClassQuick, time.Minute, 2, true, 2, 0},
		{"quick work above the own slots", jaybarrow.ClassQuick, time.Minute, 3, true, 2, 1},
		{"more than both hold", jaybarrow.ClassQuick, time.Minute, 9, true, 2, 2},
		{"slow work with time left", jaybarrow.ClassSlow, time.Hour, 3, true, 2, 0},
		{"slow work that has to start now", jaybarrow.ClassSlow, time.Second, 3, true, 2, 1},
		{"lender drains", jaybarrow.ClassQuick, time.Minute, 3, false, 2, 0},
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

// Guards against refusing quick work for its deadline while a borrowed host could take it.
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
