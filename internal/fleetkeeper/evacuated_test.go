package fleetkeeper_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/fleetkeeper"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// Guards against hosts of an evacuated data centre that count as joining a pool, so that it gets no other ones, that are moved to a pool which needs
// hosts, or that stay idle in a pool instead of the spare one. Without an evacuation the same hosts are enough for the pool.
func TestHostsOfAnEvacuatedDataCentreAreReplaced(t *testing.T) {
	for _, c := range []struct {
		name             string
		evacuated        jaybarrow.DataCentreID
		toDesk, toSpares int
	}{{"evacuated", "z2", 2, 1}, {"not evacuated", "z9", 0, 0}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				in := func(dc jaybarrow.DataCentreID, h jaybarrow.FleetHost) jaybarrow.FleetHost {
					h.DataCentre = dc
					return h
				}
				moving := in("z2", hostIn("desk", "moving"))
				moving.State, moving.Worker = jaybarrow.FleetHostMoving, ""
				load := workload.Load{
					Waiting: jaybarrow.Resources{CPU: 1800}, // two hosts with TargetUtilization
					Workers: []workload.WorkerLoad{{ID: workerOf("idle"), Usable: true, StartedMs: time.Now().Add(-time.Hour).UnixMilli()}},
				}
				settings := fleetkeeper.DefaultSettings()
				k := newKeeperDuring(func(id jaybarrow.DataCentreID) bool { return id == c.evacuated }, settings, []jaybarrow.FleetHost{
					moving, in("z2", hostIn("desk", "idle")), in("z2", hostIn("reserve", "near")),
					in("z1", hostIn("reserve", "far")), in("z1", hostIn("reserve", "farther")),
				}, newPools(map[jaybarrow.PoolID]workload.Load{"desk": load}), waves(nil))
				advance(2 * settings.TakeoverDelay)
				k.Close()
				assert.Equal(t, k.fleet.movedTo("desk"), c.toDesk)
				assert.Equal(t, k.fleet.movedTo("reserve"), c.toSpares)
				_, ordered := k.fleet.firstOrder("near")
				assert.Assert(t, !ordered, "a spare host of the evacuated data centre was moved")
			})
		})
	}
}
