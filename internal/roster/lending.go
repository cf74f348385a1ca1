package roster

import (
	"slices"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// SetBusyPools replaces the set of pools that have waiting work of their own and therefore lend no hosts. Work that already runs
// on a lent host is not stopped.
func (r *Roster) SetBusyPools(pools []jaybarrow.PoolID) {
	pools = slices.Sorted(slices.Values(pools))
	r.mutex.Lock()
	changed := !slices.Equal(r.busyPools, pools)
	r.busyPools = pools
	r.mutex.Unlock()
	if changed {
		r.changes.Signal()
	}
}

// lends reports whether the pool may lend hosts, because it has no waiting work of its own.
func (r *Roster) lends(pool jaybarrow.PoolID) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !slices.Contains(r.busyPools, pool)
}

// borrowed returns the accepting hosts of the spare pools that lend to the pool. A spare pool borrows none, so that two spare
// pools do not count each other's slots as their own.
func (r *Roster) borrowed(pool jaybarrow.PoolID, draining map[jaybarrow.HostID]bool) []schedule.HostView {
	if p, ok := r.directory.Pools.Get(pool); !ok || p.Spare {
		return nil
	}
	var borrowed []schedule.HostView
	r.directory.Pools.Each(func(id jaybarrow.PoolID, p jaybarrow.Pool) {
		if !p.Spare || !r.lends(id) {
			return
		}
		for _, v := range r.hostViews(id, draining) {
			if v.Accepting {
				v.Borrowed = true
				borrowed = append(borrowed, v)
			}
		}
	})
	return borrowed
}
