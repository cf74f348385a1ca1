package pool

import (
	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/shard"
)

// permitDemand reports how many slots of each team's work wait for permits, summed over the pools.
type permitDemand struct {
	permits jaybarrow.Permits
	teams   *shard.Map[jaybarrow.TeamID, map[jaybarrow.PoolID]jaybarrow.Slots]
}

func newPermitDemand(permits jaybarrow.Permits) *permitDemand {
	return &permitDemand{permits: permits, teams: shard.New[jaybarrow.TeamID, map[jaybarrow.PoolID]jaybarrow.Slots]()}
}

// set replaces the pool's part of the team's sum. It reports the sum while it holds the team's lock, so that no older sum is
// reported after a newer one.
func (d *permitDemand) set(pool jaybarrow.PoolID, team jaybarrow.TeamID, slots jaybarrow.Slots) {
	d.teams.Update(team, func(pools map[jaybarrow.PoolID]jaybarrow.Slots, present bool) (map[jaybarrow.PoolID]jaybarrow.Slots, bool) {
		if !present {
			pools = make(map[jaybarrow.PoolID]jaybarrow.Slots)
		}
		pools[pool] = slots
		if slots == 0 {
			delete(pools, pool)
		}
		var sum jaybarrow.Slots
		for _, n := range pools {
			sum += n
		}
		d.permits.SetWaiting(team, sum)
		return pools, len(pools) > 0
	})
}
