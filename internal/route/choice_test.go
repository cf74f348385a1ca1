package route_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow/internal/route"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// Guards against work that is forwarded without need, or kept while another data centre is idle.
func TestChoose(t *testing.T) {
	load := func(free, waiting int) schedule.Load {
		return schedule.Load{FreeSlots: 0, Waiting: waiting - free}
	}
	cases := []struct {
		name    string
		options []route.Option
		want    int
	}{
		{"own free", []route.Option{{Known: true, Load: load(20, 0)}, {Own: true, Known: true, Load: load(1, 0)}}, 1},
		{"own full, other free", []route.Option{{Own: true, Known: true, Load: load(0, 3)}, {Known: true, Load: load(5, 0)}}, 1},
		{"own full, most free", []route.Option{{Own: true, Known: true}, {Known: true, Load: load(2, 0)}, {Known: true, Load: load(5, 0)}}, 2},
		{"all full", []route.Option{{Known: true, Load: load(0, 1)}, {Own: true, Known: true, Load: load(0, 4)}}, 1},
		{"all full, much more waits here", []route.Option{{Known: true, Load: load(0, 1)}, {Own: true, Known: true, Load: load(0, 40)}}, 0},
		{"no own part", []route.Option{{Known: true, Load: load(0, 9)}, {Known: true, Load: load(0, 2)}}, 1},
		{"own full, other unknown", []route.Option{{Known: false}, {Own: true, Known: true, Load: load(0, 1)}}, 0},
		{"own full, unknown already used", []route.Option{{Known: false, Pending: 3}, {Own: true, Known: true, Load: load(0, 1)}}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, route.Choose(c.options), c.want)
		})
	}
}
