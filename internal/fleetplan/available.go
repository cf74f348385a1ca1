package fleetplan

import "github.com/jaybarrow/jaybarrow"

// Available returns how many hosts each pool can get: those that are joining it, and the idle hosts of all other pools. The pools share
// the idle ones, so that the numbers are an upper bound.
func Available(s State) map[jaybarrow.PoolID]int {
	spare := make(map[jaybarrow.PoolID]bool)
	for _, p := range s.Pools {
		spare[p.ID] = p.Spare
	}
	idle := make(map[jaybarrow.PoolID]int)
	all := 0
	for _, h := range s.Hosts {
		if !h.Evacuated && h.idle(spare[h.Pool]) {
			idle[h.Pool]++
			all++
		}
	}
	out := make(map[jaybarrow.PoolID]int, len(s.Pools))
	for _, p := range s.Pools {
		out[p.ID] = p.Joining + all - idle[p.ID]
	}
	return out
}
