package roster

import (
	"slices"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// SetBusyPools tells which pools have waiting work of their own; their hosts are lent to no other pool until they are not named any
// more. Work that already runs on a lent host goes on.
func (r *Roster) SetBusyPools(pools []jaybarrow.PoolID) {
	pools = slices.Sorted(slices.Values(pools))
	r.mutex.Lock()
	changed := !slices.Equal(r.busy, pools)
	r.busy = pools
	r.mutex.Unlock()
	if changed {
		r.news.Signal()
	}
}

func (r *Roster) lends(pool jaybarrow.PoolID) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !slices.Contains(r.busy, pool)
}

// borrowed returns the accepting hosts of the spare pools that lend to the pool; a spare pool borrows from nobody, so that two
// spare pools do not lend each other the same slots.
func (r *Roster) borrowed(pool jaybarrow.PoolID, draining map[jaybarrow.HostID]bool) []schedule.HostView {
	if p, ok := r.directory.Pools.Get(pool); !ok || p.Spare {
		return nil
	}
	var borrowed []schedule.HostView
	r.directory.Pools.Each(func(id jaybarrow.PoolID, p jaybarrow.Pool) {
		if !p.Spare || !r.lends(id) {
			return
		}
		for _, v := range r.views(id, draining) {
			if v.Accepting {
				v.Borrowed = true
				borrowed = append(borrowed, v)
			}
		}
	})
	return borrowed
}
