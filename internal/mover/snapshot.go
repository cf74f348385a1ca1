package mover

import (
	"cmp"
	"slices"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/balance"
	"github.com/jaybarrow/jaybarrow/internal/drain"
)

// snapshot is what one round knows of the fleet.
type snapshot struct {
	samples []balance.Sample
	fleet   balance.Fleet
}

// busyLenders returns the spare pools of which waiting work is known.
func (s snapshot) busyLenders() []jaybarrow.PoolID {
	var busy []jaybarrow.PoolID
	for i, sample := range s.samples {
		if s.fleet.Pools[i].Spare && sample.Waiting > 0 {
			busy = append(busy, sample.Pool)
		}
	}
	return busy
}

func (m *Mover) snapshot() snapshot {
	var s snapshot
	views := m.views()
	draining := m.underWay(&s.fleet)
	pending := m.pending()
	capacity, accepting := make(map[jaybarrow.PoolID]jaybarrow.Slots), make(map[jaybarrow.PoolID]jaybarrow.Slots)
	m.deps.Directory.Hosts.Each(func(id jaybarrow.HostID, h jaybarrow.Host) {
		if h.DataCentre != m.deps.DataCentre {
			return
		}
		returning, drains := draining[id]
		host := balance.Host{ID: id, Pool: h.Pool, Slots: h.Capacity.Slots, Rebooting: returning, RebootPending: pending[id]}
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
		s.fleet.Pools = append(s.fleet.Pools, m.pool(v))
		s.samples = append(s.samples, m.sample(v.Pool.ID, capacity[v.Pool.ID], accepting[v.Pool.ID], loads))
	}
	return s
}

// views returns each pool with its hosts in all data centres, in the order of the ids.
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

func (m *Mover) down(id jaybarrow.HostID) bool {
	return m.deps.Conditions.Condition(string(id)) != jaybarrow.HostLive
}

func (m *Mover) pool(v drain.View) balance.Pool {
	record, _ := m.deps.Directory.Drains.Get(v.Pool.ID)
	unavailable := drain.Unavailable(record, v, "")
	for _, b := range m.begun {
		if _, shown := record.Drains[b.Host]; b.From == v.Pool.ID && !shown {
			unavailable++
		}
	}
	return balance.Pool{
		ID: v.Pool.ID, Spare: v.Pool.Spare, MaxUnavailable: v.Pool.MaxUnavailable, Unavailable: unavailable, Hosts: len(v.Hosts),
	}
}

// underWay fills in the moves that have begun, and returns the hosts that drain and whether each returns to its pool by itself;
// a host on hold does not. A move that this entry host began counts until the local copy of the records has reached it.
func (m *Mover) underWay(fleet *balance.Fleet) map[jaybarrow.HostID]bool {
	applied := m.deps.Directory.Applied()
	m.begun = slices.DeleteFunc(m.begun, func(b begunMove) bool { return applied >= b.revision })
	draining := make(map[jaybarrow.HostID]bool)
	for _, b := range m.begun {
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

// pending returns the hosts that a wave has not begun to drain.
func (m *Mover) pending() map[jaybarrow.HostID]bool {
	pending := make(map[jaybarrow.HostID]bool)
	m.deps.Directory.Drains.Each(func(_ jaybarrow.PoolID, record jaybarrow.PoolDrains) {
		for _, id := range record.Pending {
			pending[id] = true
		}
	})
	return pending
}

// sample sums the loads that the entry hosts told of the pool; while the pool's scheduler changes there are two.
func (m *Mover) sample(id jaybarrow.PoolID, capacity, accepting jaybarrow.Slots, loads []Load) balance.Sample {
	s := balance.Sample{Pool: id, Capacity: capacity}
	free := make(map[jaybarrow.DataCentreID]jaybarrow.Slots)
	missed := int64(0)
	for _, l := range loads {
		if l.Pool != id {
			continue
		}
		least, known := free[l.DataCentre]
		if !known || l.FreeSlots < least {
			free[l.DataCentre] = l.FreeSlots
		}
		if l.DataCentre == m.deps.DataCentre {
			s.Running += jaybarrow.Slots(l.Running)
			s.Waiting += jaybarrow.Slots(l.Waiting)
			missed += l.Missed
		} else {
			free[l.DataCentre] -= jaybarrow.Slots(l.Waiting)
		}
	}
	for dataCentre, slots := range free {
		if dataCentre != m.deps.DataCentre {
			s.RemoteFree += max(slots, 0)
		}
	}
	// Loads count tasks; tasks of several slots show in the slots that are not free.
	if least, known := free[m.deps.DataCentre]; known {
		s.Running = max(s.Running, accepting-least)
	}
	s.Missed = max(missed-m.missed[id], 0)
	m.missed[id] = missed
	return s
}
