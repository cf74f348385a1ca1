package fleetkeeper

import (
	"maps"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/fleetplan"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// observe samples the need of each pool.
func (k *Keeper) observe(now time.Time) {
	loads := k.deps.Pools.Loads(now)
	k.state.lock.Lock()
	defer k.state.lock.Unlock()
	for id, l := range loads {
		n := k.state.needs[id]
		if n == nil {
			n = fleetplan.NewNeedHistory(k.deps.Settings.Plan)
			k.state.needs[id] = n
		}
		n.Add(now, k.hostsFor(id, l))
	}
}

// hostsFor returns how many hosts of the pool's usual size the load needs.
func (k *Keeper) hostsFor(id jaybarrow.PoolID, l workload.Load) float64 {
	size := k.size(id)
	plan := k.deps.Settings.Plan
	all := l.Used.Plus(l.Waiting)
	return max(hosts(all, size)+plan.LateWorkFraction*hosts(l.Late, size), hosts(l.Lasting.Plus(l.Offered), size)) / plan.TargetUtilization
}

// labelNeeds returns how many hosts of the pool's usual size the work needs that only hosts with a label may run.
func (k *Keeper) labelNeeds(id jaybarrow.PoolID, work map[jaybarrow.Label]jaybarrow.Resources) map[jaybarrow.Label]float64 {
	size := k.size(id)
	out := make(map[jaybarrow.Label]float64, len(work))
	for label, r := range work {
		out[label] = hosts(r, size) / k.deps.Settings.Plan.TargetUtilization
	}
	return out
}

// labelsOf counts the hosts by label.
func labelsOf(all []jaybarrow.FleetHost) map[jaybarrow.Label]int {
	out := make(map[jaybarrow.Label]int)
	for _, h := range all {
		for _, label := range h.Labels {
			out[label]++
		}
	}
	return out
}

// hosts returns how many hosts of a size the resources fill.
func hosts(r, size jaybarrow.Resources) float64 {
	return max(part(r.CPU, size.CPU), part(r.Memory, size.Memory), part(r.Accelerators, size.Accelerators))
}

func part[T ~int | ~int64](used, capacity T) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}

// size returns the capacity of a host of the pool, or of any host.
func (k *Keeper) size(id jaybarrow.PoolID) jaybarrow.Resources {
	var any jaybarrow.Resources
	for _, h := range k.state.hosts {
		if h.Capacity.CPU == 0 {
			continue
		}
		if h.Pool == id {
			return h.Capacity
		}
		any = h.Capacity
	}
	return any
}

// view returns the state to decide on. With taking over, the orders of the previous leader still count.
func (k *Keeper) view(now time.Time, takingOver bool) fleetplan.State {
	loads := k.deps.Pools.Loads(now)
	workers := make(map[jaybarrow.WorkerID]workload.WorkerLoad)
	for _, l := range loads {
		for _, w := range l.Workers {
			workers[w.ID] = w
		}
	}
	k.state.lock.Lock()
	defer k.state.lock.Unlock()
	var out fleetplan.State
	joining := make(map[jaybarrow.PoolID][]jaybarrow.FleetHost)
	known := make(map[jaybarrow.PoolID]bool)
	for _, h := range k.state.hosts {
		w, reports := workers[h.Worker]
		o := k.state.orders[h.ID]
		known[h.Pool] = true
		if o != nil && o.to != "" {
			joining[o.to] = append(joining[o.to], h)
		} else if o == nil && (h.State == jaybarrow.FleetHostMoving || h.State == jaybarrow.FleetHostUp && !reports) && !k.spare(h.Pool) {
			joining[h.Pool] = append(joining[h.Pool], h)
		}
		out.Hosts = append(out.Hosts, fleetplan.Host{
			FleetHost: h, Known: reports, Usable: w.Usable, Reserved: w.Reserved, Ordered: o != nil, Runs: w.Runs, Lasting: w.Lasting,
			MayHaveBeenOrdered: takingOver && k.unsettled(h.ID, w, now),
		})
	}
	for id := range loads {
		known[id] = true
	}
	// A pool that has no hosts at the moment can still receive some.
	if c := k.deps.Catalog.Configuration(); c != nil {
		for _, p := range c.Pools {
			known[p.ID] = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(known)) {
		p := fleetplan.Pool{ID: id, Spare: k.spare(id), Joining: len(joining[id])}
		p.Labels, p.LabelsJoining = k.labelNeeds(id, loads[id].Labels), labelsOf(joining[id])
		if n := k.state.needs[id]; n != nil {
			n.SetForecast(&p, now)
		}
		out.Pools = append(out.Pools, p)
	}
	for _, id := range slices.Sorted(maps.Keys(k.state.waves)) {
		out.Waves = append(out.Waves, k.waveView(k.state.waves[id], now)...)
	}
	return out
}

// unsettled reports whether a previous leader may have given an order for the host within TakeoverDelay. An order ends the host's worker
// at once and takes at least MinOrderDuration, so that it is ruled out by an old worker that reports, and by a host that has been up for the
// rest of TakeoverDelay. The state's lock is held.
func (k *Keeper) unsettled(id jaybarrow.HostID, w workload.WorkerLoad, now time.Time) bool {
	s := k.deps.Settings
	if w.Usable && w.StartedMs > 0 && now.Sub(time.UnixMilli(w.StartedMs)) > s.TakeoverDelay+s.ClockSkew {
		return false
	}
	up, seen := k.state.up[id]
	return !seen || now.Sub(up) < s.TakeoverDelay-s.MinOrderDuration
}

// waveView returns the wave unless it has ended.
func (k *Keeper) waveView(w *wave, now time.Time) []fleetplan.Wave {
	if !w.loaded {
		return nil
	}
	v := fleetplan.Wave{Wave: w.Wave, TimeLeft: w.Since.Add(w.Within).Sub(now)}
	for _, id := range w.Hosts {
		o := k.state.orders[id]
		switch {
		case o != nil && o.wave == w.ID:
			v.InMaintenance++
		case !w.done[id]:
			v.Pending = append(v.Pending, id)
		}
	}
	if len(v.Pending) == 0 {
		return nil
	}
	return []fleetplan.Wave{v}
}
