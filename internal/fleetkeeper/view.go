package fleetkeeper

import (
	"maps"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/fleetplan"
	"github.com/jaybarrow/jaybarrow/internal/scheduler"
	"github.com/jaybarrow/jaybarrow/internal/workload"
)

// sampleNeeds adds a sample of the number of hosts that each pool needs.
func (k *Keeper) sampleNeeds(now time.Time) {
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

// hostsFor returns how many hosts the load needs: for the used and the waiting resources and a part of the late ones, or for the
// lasting and the offered ones, whichever is more. Refused work adds to both, since neither holds any of it.
func (k *Keeper) hostsFor(id jaybarrow.PoolID, l workload.Load) float64 {
	hostSize := k.hostSize(id)
	plan := k.deps.Settings.Plan
	all := l.Used.Plus(l.Waiting).Plus(l.Refused)
	return max(hostsFilled(all, hostSize)+plan.LateWorkFraction*hostsFilled(l.Late, hostSize), hostsFilled(l.Lasting.Plus(l.Offered).Plus(l.Refused), hostSize)) / plan.TargetUtilization
}

// labelNeeds returns how many hosts with each label the pool needs for the work that requires the label.
func (k *Keeper) labelNeeds(id jaybarrow.PoolID, work map[jaybarrow.Label]jaybarrow.Resources) map[jaybarrow.Label]float64 {
	hostSize := k.hostSize(id)
	out := make(map[jaybarrow.Label]float64, len(work))
	for label, r := range work {
		out[label] = hostsFilled(r, hostSize) / k.deps.Settings.Plan.TargetUtilization
	}
	return out
}

// countLabels counts the hosts by label.
func countLabels(all []jaybarrow.FleetHost) map[jaybarrow.Label]int {
	out := make(map[jaybarrow.Label]int)
	for _, h := range all {
		for _, label := range h.Labels {
			out[label]++
		}
	}
	return out
}

// hostsFilled returns how many hosts of the size the resources fill, by the scarcest resource.
func hostsFilled(r, size jaybarrow.Resources) float64 {
	return max(fraction(r.CPU, size.CPU), fraction(r.Memory, size.Memory), fraction(r.Accelerators, size.Accelerators))
}

// fraction returns the used part of the capacity; 0 when there is no capacity.
func fraction[T ~int | ~int64](used, capacity T) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}

// hostSize returns the capacity of a host of the pool or, if the pool has none, of any host.
func (k *Keeper) hostSize(id jaybarrow.PoolID) jaybarrow.Resources {
	var fallback jaybarrow.Resources
	for _, h := range k.state.hosts {
		if h.Capacity.CPU == 0 {
			continue
		}
		if h.Pool == id {
			return h.Capacity
		}
		fallback = h.Capacity
	}
	return fallback
}

// view returns the input of the next decision. While takingOver, it marks the hosts that the previous leader may have ordered.
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
		w, workerKnown := workers[h.Worker]
		o := k.state.orders[h.ID]
		known[h.Pool] = true
		evacuated := k.deps.Evacuated(h.DataCentre)
		switch {
		case evacuated:
			// It gets no tasks where it arrives, so it joins nothing.
		case o != nil && o.to != "":
			joining[o.to] = append(joining[o.to], h)
		case o == nil && (h.State == jaybarrow.FleetHostMoving || h.State == jaybarrow.FleetHostUp && !workerKnown) && !k.isSpare(h.Pool):
			joining[h.Pool] = append(joining[h.Pool], h)
		}
		out.Hosts = append(out.Hosts, fleetplan.Host{
			FleetHost: h, Known: workerKnown, Usable: w.Usable, Reserved: w.Reserved, Ordered: o != nil, Runs: w.Runs, Lasting: w.Lasting,
			Obstacle: w.Obstacle, Evacuated: evacuated, MayHaveBeenOrdered: takingOver && k.mayHaveBeenOrdered(h.ID, w, now),
		})
	}
	for id := range loads {
		known[id] = true
	}
	// A configured pool without hosts can still receive some.
	if c := k.deps.Catalog.Configuration(); c != nil {
		for _, p := range c.Pools {
			known[p.ID] = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(known)) {
		p := fleetplan.Pool{ID: id, Spare: k.isSpare(id), Joining: len(joining[id])}
		p.Labels, p.LabelsJoining = k.labelNeeds(id, loads[id].Labels), countLabels(joining[id])
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

// coming returns the capacity that each pool can get: hosts that are joining it, and idle ones of other pools.
func (k *Keeper) coming(view fleetplan.State) map[jaybarrow.PoolID]scheduler.Coming {
	out := make(map[jaybarrow.PoolID]scheduler.Coming, len(view.Pools))
	for id, hosts := range fleetplan.Available(view) {
		out[id] = scheduler.Coming{Capacity: k.hostSize(id).Times(hosts), In: k.deps.Settings.Plan.Lookahead}
	}
	return out
}

// mayHaveBeenOrdered reports whether a previous leader may have sent an order for the host within TakeoverDelay. An order ends the
// host's worker immediately and takes at least MinOrderDuration. So there was none if the host's worker is usable and started more
// than TakeoverDelay plus ClockSkew ago, or if the host has been listed as up for TakeoverDelay less MinOrderDuration. The state's
// lock is held.
func (k *Keeper) mayHaveBeenOrdered(id jaybarrow.HostID, w workload.WorkerLoad, now time.Time) bool {
	s := k.deps.Settings
	if w.Usable && w.StartedMs > 0 && now.Sub(time.UnixMilli(w.StartedMs)) > s.TakeoverDelay+s.ClockSkew {
		return false
	}
	upSince, seen := k.state.upSince[id]
	return !seen || now.Sub(upSince) < s.TakeoverDelay-s.MinOrderDuration
}

// waveView returns the wave as the input of a decision; it returns none before the wave is loaded and after it has ended. The state's
// lock is held.
func (k *Keeper) waveView(w *wave, now time.Time) []fleetplan.Wave {
	if !w.loaded {
		return nil
	}
	v := fleetplan.Wave{Wave: w.Wave, TimeLeft: w.ReceivedAt.Add(w.Within).Sub(now)}
	for _, id := range w.Hosts {
		o := k.state.orders[id]
		switch {
		case o != nil && o.wave == w.ID:
			v.InMaintenance++
		case !w.maintenanceBegun[id]:
			v.Pending = append(v.Pending, id)
		}
	}
	if len(v.Pending) == 0 {
		return nil
	}
	return []fleetplan.Wave{v}
}
