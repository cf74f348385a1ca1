package fleetkeeper_test

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/fleetkeeper"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// Load pattern: jobs are refused at several times what the pool runs, and none of them is accepted yet. Hosts must be moved for them at once, also
// where the pool is full, and none without refused work.
func TestHostsAreMovedForRefusedWork(t *testing.T) {
	moved := func(l workload.Load) int {
		n := 0
		synctest.Test(t, func(t *testing.T) {
			settings := fleetkeeper.DefaultSettings()
			var hosts []jaybarrow.FleetHost
			for _, id := range []jaybarrow.HostID{"a", "b", "c", "d", "e", "f", "g", "h"} {
				hosts = append(hosts, hostIn("reserve", id))
			}
			k := newKeeper(settings, hosts, newPools(map[jaybarrow.PoolID]workload.Load{"desk": l}), waves(nil))
			advance(2 * settings.TakeoverDelay)
			k.Close()
			n = k.fleet.movedTo("desk")
		})
		return n
	}
	refused := jaybarrow.Resources{CPU: 2700}
	idle, full, offered := workload.Load{}, workload.Load{Used: jaybarrow.Resources{CPU: 1800}}, workload.Load{Offered: jaybarrow.Resources{CPU: 1800}}
	for _, l := range []workload.Load{idle, full, offered} {
		without := moved(l)
		l.Refused = refused
		assert.Assert(t, moved(l) >= without+3, "%d hosts are moved, %d without refused work", moved(l), without)
	}
}
