package mover

import (
	"cmp"
	"slices"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/balance"
	"github.com/jaybarrow/jaybarrow/internal/drain"
)

// snapshot is the input of one round's decisions.
type snapshot struct {
	samples []balance.Sample // one for each pool, in the order of fleet.Pools
	fleet   balance.Fleet
}

// busyLenders returns the spare pools that have waiting work.
func (s snapshot) busyLenders() []jaybarrow.PoolID {
	var busy []jaybarrow.PoolID
	for i, sample := range s.samples {
		if s.fleet.Pools[i].Spare && sample.Waiting > 0 {
			busy = append(busy, sample.Pool)
		}
	}
	return busy
}

// snapshot reads the state of the fleet and the loads from the local copies.
func (m *Mover) snapshot() snapshot {
	var s snapshot
	views := m.views()
	draining := m.addMoves(&s.fleet)
	pendingHosts := m.pendingHosts()
	capacity, accepting := make(map[jaybarrow.PoolID]jaybarrow.Slots), make(map[jaybarrow.PoolID]jaybarrow.Slots)
	m.deps.Directory.Hosts.Each(func(id jaybarrow.HostID, h jaybarrow.Host) {
		if h.DataCentre != m.deps.DataCentre {
			return
		}
		returning, drains := draining[id]
		host := balance.Host{ID: id, Pool: h.Pool, Slots: h.Capacity.Slots, Rebooting: returning, RebootPending: pendingHosts[id]}
		host.Accepting = !drains && !m.down(id)
		if host.Accepting {
			accepting[h.Pool] += h.Capacity.Slots
		}
		if host.Accepting || host.Rebooting {
			capacity[h.Pool] += h.Capacity.Slots
		}
		s.fleet.Hosts = append(s.fleet.Hosts, host)
	})
	loads := m.deps.Loads()
	for _, v := range views {
		s.fleet.Pools = append(s.fleet.Pools, m.poolState(v))
		s.samples = append(s.samples, m.sampleLoad(v.Pool.ID, capacity[v.Pool.ID], accepting[v.Pool.ID], loads))
	}
	return s
}

// views returns each pool with its hosts in all data centres, in the order of the pool ids.
func (m *Mover) views() []drain.View {
	byID := make(map[jaybarrow.PoolID]*drain.View)
	m.deps.Directory.Pools.Each(func(id jaybarrow.PoolID, p jaybarrow.Pool) { byID[id] = &drain.View{Pool: p} })
	m.deps.Directory.Hosts.Each(func(id jaybarrow.HostID, h jaybarrow.Host) {
		if v, ok := byID[h.Pool]; ok {
			v.Hosts = append(v.Hosts, drain.Host{ID: id, Rack: h.Rack, DataCentre: h.DataCentre, Down: m.down(id)})
		}
	})
	views := make([]drain.View, 0, len(byID))
	for _, v := range byID {
		views = append(views, *v)
	}
	slices.SortFunc(views, func(a, b drain.View) int { return cmp.Compare(a.Pool.ID, b.Pool.ID) })
	return views
}

// down reports whether the platform's list has the host as anything but live.
func (m *Mover) down(id jaybarrow.HostID) bool {
	return m.deps.Conditions.Condition(string(id)) != jaybarrow.HostLive
}

// poolState returns the pool's size, budget and number of unavailable hosts, including those whose move has begun but is missing
// from the local copy of the drains.
func (m *Mover) poolState(v drain.View) balance.Pool {
	record, _ := m.deps.Directory.Drains.Get(v.Pool.ID)
	unavailable := drain.Unavailable(record, v, "")
	for _, b := range m.movesBegun {
		if _, recorded := record.Drains[b.Host]; b.From == v.Pool.ID && !recorded {
			unavailable++
		}
	}
	return balance.Pool{
		ID: v.Pool.ID, Spare: v.Pool.Spare, MaxUnavailable: v.Pool.MaxUnavailable, Unavailable: unavailable, Hosts: len(v.Hosts),
	}
}

// addMoves adds the moves under way to the fleet. It returns the draining hosts with whether each returns to its pool without
// an operator, which a host on hold does not. A move that this entry host began is taken from movesBegun until the local copy
// of the records has reached its revision.
func (m *Mover) addMoves(fleet *balance.Fleet) map[jaybarrow.HostID]bool {
	applied := m.deps.Directory.Applied()
	m.movesBegun = slices.DeleteFunc(m.movesBegun, func(b begunMove) bool { return applied >= b.revision })
	draining := make(map[jaybarrow.HostID]bool)
	for _, b := range m.movesBegun {
		draining[b.Host] = false
		fleet.Moves = append(fleet.Moves, balance.ActiveMove{From: b.From, To: b.To})
	}
	m.deps.Directory.Drains.Each(func(pool jaybarrow.PoolID, record jaybarrow.PoolDrains) {
		for id, d := range record.Drains {
			draining[id] = d.Purpose == jaybarrow.PurposeReboot
			if d.Purpose == jaybarrow.PurposeMove {
				fleet.Moves = append(fleet.Moves, balance.ActiveMove{From: pool, To: d.MoveTo})
			}
		}
	})
	return draining
}

// pendingHosts returns the hosts that a wave will drain later.
func (m *Mover) pendingHosts() map[jaybarrow.HostID]bool {
	pendingHosts := make(map[jaybarrow.HostID]bool)
	m.deps.Directory.Drains.Each(func(_ jaybarrow.PoolID, record jaybarrow.PoolDrains) {
		for _, id := range record.Pending {
			pendingHosts[id] = true
		}
	})
	return pendingHosts
}

// sampleLoad sums the loads that the entry hosts report for the pool. While the pool's scheduler changes, two of them report one.
func (m *Mover) sampleLoad(id jaybarrow.PoolID, capacity, accepting jaybarrow.Slots, loads []Load) balance.Sample {
	s := balance.Sample{Pool: id, Capacity: capacity}
	freeSlots := make(map[jaybarrow.DataCentreID]jaybarrow.Slots)
	missed := int64(0)
	for _, l := range loads {
		if l.Pool != id {
			continue
		}
		minFree, known := freeSlots[l.DataCentre]
		if !known || l.FreeSlots < minFree {
			freeSlots[l.DataCentre] = l.FreeSlots
		}
		if l.DataCentre == m.deps.DataCentre {
			s.Running += jaybarrow.Slots(l.Running)
			s.Waiting += jaybarrow.Slots(l.Waiting)
			missed += l.Missed
		} else {
			freeSlots[l.DataCentre] -= jaybarrow.Slots(l.Waiting)
		}
	}
	for dataCentre, slots := range freeSlots {
		if dataCentre != m.deps.DataCentre {
			s.RemoteFree += max(slots, 0)
		}
	}
	// Loads count tasks, so the slots in use are taken from the free slots, which account for tasks with several slots.
	if minFree, known := freeSlots[m.deps.DataCentre]; known {
		s.Running = max(s.Running, accepting-minFree)
	}
	s.Missed = max(missed-m.missed[id], 0)
	m.missed[id] = missed
	return s
}
