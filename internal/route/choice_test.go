package route_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow/internal/route"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// Guards against requests that are forwarded without need, or kept while another data centre has free slots.
func TestChoose(t *testing.T) {
	load := func(free, waiting int) schedule.Load {
		return schedule.Load{FreeSlots: 0, Waiting: waiting - free}
	}
	cases := []struct {
		name    string
		options []route.Option
		want    int
	}{
		{"local free", []route.Option{{LoadKnown: true, Load: load(20, 0)}, {Local: true, LoadKnown: true, Load: load(1, 0)}}, 1},
		{"local full, other free", []route.Option{{Local: true, LoadKnown: true, Load: load(0, 3)}, {LoadKnown: true, Load: load(5, 0)}}, 1},
		{"local full, most free slots", []route.Option{{Local: true, LoadKnown: true}, {LoadKnown: true, Load: load(2, 0)}, {LoadKnown: true, Load: load(5, 0)}}, 2},
		{"all full", []route.Option{{LoadKnown: true, Load: load(0, 1)}, {Local: true, LoadKnown: true, Load: load(0, 4)}}, 1},
		{"all full, many more requests wait in the local one", []route.Option{{LoadKnown: true, Load: load(0, 1)}, {Local: true, LoadKnown: true, Load: load(0, 40)}}, 0},
		{"no local option", []route.Option{{LoadKnown: true, Load: load(0, 9)}, {LoadKnown: true, Load: load(0, 2)}}, 1},
		{"local full, load of the other unknown", []route.Option{{LoadKnown: false}, {Local: true, LoadKnown: true, Load: load(0, 1)}}, 0},
		{"local full, load of the other unknown, requests already forwarded there", []route.Option{{LoadKnown: false, Pending: 3}, {Local: true, LoadKnown: true, Load: load(0, 1)}}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, route.Choose(c.options), c.want)
		})
	}
}
