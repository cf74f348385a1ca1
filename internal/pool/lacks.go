package pool

import (
	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/shard"
)

// lacks adds up, over the pools, the slots of each team's work that wait for permits, and reports the sums.
type lacks struct {
	permits jaybarrow.Permits
	teams   *shard.Map[jaybarrow.TeamID, map[jaybarrow.PoolID]jaybarrow.Slots]
}

func newLacks(permits jaybarrow.Permits) *lacks {
	return &lacks{permits: permits, teams: shard.New[jaybarrow.TeamID, map[jaybarrow.PoolID]jaybarrow.Slots]()}
}

// set replaces the pool's part of the team's sum. The sum is reported under the team's lock, so that the last report is the
// newest.
func (l *lacks) set(pool jaybarrow.PoolID, team jaybarrow.TeamID, slots jaybarrow.Slots) {
	l.teams.Update(team, func(pools map[jaybarrow.PoolID]jaybarrow.Slots, present bool) (map[jaybarrow.PoolID]jaybarrow.Slots, bool) {
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
		l.permits.SetWaiting(team, sum)
		return pools, len(pools) > 0
	})
}
