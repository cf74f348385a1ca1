package roster

import (
	"slices"
	"sync"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// Health says whether a worker's recent outcomes allow more work.
type Health interface {
	// Accepting reports whether the host may be given work; it is false while the host is ejected.
	Accepting(pool jaybarrow.PoolID, host jaybarrow.HostID) bool
}

// Roster combines the host records, the drains, the platform's list and the workers' health for one data centre.
type Roster struct {
	directory  *directory.Directory
	conditions jaybarrow.HostConditions
	health     Health
	dataCentre jaybarrow.DataCentreID

	mutex sync.Mutex
	built *index
}

// New returns a Roster of the hosts in the data centre.
func New(d *directory.Directory, conditions jaybarrow.HostConditions, health Health, dataCentre jaybarrow.DataCentreID) *Roster {
	return &Roster{directory: d, conditions: conditions, health: health, dataCentre: dataCentre}
}

// index groups the host records by pool, so that a request does not look at every host of the fleet.
type index struct {
	outdated <-chan struct{}
	pools    map[jaybarrow.PoolID]*poolIndex
}

type poolIndex struct {
	hosts       []jaybarrow.Host
	dataCentres []jaybarrow.DataCentreID
}

// pool returns the pool's part of the index, built again after a change of the host records.
func (r *Roster) pool(id jaybarrow.PoolID) *poolIndex {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.built != nil {
		select {
		case <-r.built.outdated:
			r.built = nil
		default:
		}
	}
	if r.built == nil {
		r.built = build(r.directory)
	}
	if p, ok := r.built.pools[id]; ok {
		return p
	}
	return &poolIndex{}
}

func build(d *directory.Directory) *index {
	x := &index{outdated: d.Hosts.Changed(), pools: make(map[jaybarrow.PoolID]*poolIndex)}
	d.Hosts.Each(func(_ jaybarrow.HostID, h jaybarrow.Host) {
		p := x.pools[h.Pool]
		if p == nil {
			p = &poolIndex{}
			x.pools[h.Pool] = p
		}
		p.hosts = append(p.hosts, h)
		if !slices.Contains(p.dataCentres, h.DataCentre) {
			p.dataCentres = append(p.dataCentres, h.DataCentre)
		}
	})
	return x
}

// PoolHosts returns the pool's hosts in this data centre and whether each accepts work. A drain counts whatever pool it is
// recorded with, since a host that moves keeps its drain in the old pool until it has returned.
func (r *Roster) PoolHosts(pool jaybarrow.PoolID) []schedule.HostView {
	draining := r.draining()
	var views []schedule.HostView
	for _, h := range r.pool(pool).hosts {
		if h.DataCentre != r.dataCentre {
			continue
		}
		live := r.conditions.Condition(string(h.ID)) == jaybarrow.HostLive
		accepting := live && !draining[h.ID] && r.health.Accepting(pool, h.ID)
		views = append(views, schedule.HostView{ID: h.ID, Capacity: h.Capacity, Accepting: accepting})
	}
	return views
}

func (r *Roster) draining() map[jaybarrow.HostID]bool {
	draining := make(map[jaybarrow.HostID]bool)
	r.directory.Drains.Each(func(_ jaybarrow.PoolID, record jaybarrow.PoolDrains) {
		for id := range record.Drains {
			draining[id] = true
		}
	})
	return draining
}

// DataCentres returns the data centres in which the pool has hosts.
func (r *Roster) DataCentres(pool jaybarrow.PoolID) []jaybarrow.DataCentreID {
	return r.pool(pool).dataCentres
}

// Fits reports whether some host of the pool, in any data centre, could ever meet the demand.
func (r *Roster) Fits(pool jaybarrow.PoolID, demand jaybarrow.Demand) bool {
	return slices.ContainsFunc(r.pool(pool).hosts, func(h jaybarrow.Host) bool { return demand.FitsIn(h.Capacity) })
}

// Host returns the host's record.
func (r *Roster) Host(id jaybarrow.HostID) (jaybarrow.Host, bool) { return r.directory.Hosts.Get(id) }

// Share returns the team's share, and 1 for a team without a record.
func (r *Roster) Share(team jaybarrow.TeamID) jaybarrow.Share {
	if t, ok := r.directory.Teams.Get(team); ok && t.Share > 0 {
		return t.Share
	}
	return 1
}

// Changed returns a channel for each table whose change may change the roster.
func (r *Roster) Changed() (hosts, drains <-chan struct{}) {
	return r.directory.Hosts.Changed(), r.directory.Drains.Changed()
}
