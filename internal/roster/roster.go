package roster

import (
	"slices"
	"sync"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
	"github.com/jaybarrow/jaybarrow/internal/notify"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// Health decides from the outcomes of recent tasks which hosts are ejected.
type Health interface {
	// Accepting reports whether the host may get a task; it is false while the host is ejected and no trial is due.
	Accepting(pool jaybarrow.PoolID, host jaybarrow.HostID) bool
	// Changed returns a channel that is closed when a host is ejected or readmitted, or the first trial after an ejection is due.
	Changed() <-chan struct{}
	// SetPool replaces the pool's hosts in this data centre and the count of those that are unavailable for reasons other than
	// an ejection.
	SetPool(pool jaybarrow.PoolID, hosts []jaybarrow.HostID, unavailable int)
}

// Roster combines the host records, the drains, the platform's list of hosts and the workers' health for one data centre.
type Roster struct {
	directory  *directory.Directory
	conditions jaybarrow.HostConditions
	health     Health
	dataCentre jaybarrow.DataCentreID
	changes    *notify.Notifier
	group      *rungroup.Group
	stop       chan struct{}
	once       sync.Once

	mutex       sync.Mutex
	cachedIndex *index
	busyPools   []jaybarrow.PoolID // pools with waiting work of their own, sorted; they lend no hosts
}

// New returns a running Roster of the hosts in the data centre. A failure of its background part is reported to onFault.
func New(d *directory.Directory, conditions jaybarrow.HostConditions, health Health, dataCentre jaybarrow.DataCentreID, onFault rungroup.Handler) *Roster {
	r := &Roster{
		directory: d, conditions: conditions, health: health, dataCentre: dataCentre,
		changes: notify.New(), stop: make(chan struct{}), group: rungroup.New(onFault),
	}
	r.group.Go("roster", func() {
		for {
			hostsChanged, drainsChanged, conditionsChanged, healthChanged := d.Hosts.Changed(), d.Drains.Changed(), conditions.Changed(), health.Changed()
			poolsChanged := d.Pools.Changed()
			// The channels do not report changes from before they were taken, so update before waiting.
			r.updateHealth()
			r.changes.Signal()
			select {
			case <-r.stop:
				return
			case <-hostsChanged:
			case <-poolsChanged:
			case <-drainsChanged:
			case <-conditionsChanged:
			case <-healthChanged:
			}
		}
	})
	return r
}

// Close stops the announcement of changes and the updates of Health.
func (r *Roster) Close() {
	r.once.Do(func() { close(r.stop) })
	r.group.Wait()
}

// Changed returns a channel that is closed when the hosts of a pool, or whether one accepts work, may have changed.
func (r *Roster) Changed() <-chan struct{} { return r.changes.Changed() }

// index groups the host records by pool, so that a request does not iterate over all hosts of the fleet.
type index struct {
	outdated <-chan struct{} // closed when the host records have changed since the index was built
	pools    map[jaybarrow.PoolID]*poolIndex
}

type poolIndex struct {
	hosts       []jaybarrow.Host
	dataCentres []jaybarrow.DataCentreID
}

// pool returns the pool's part of the index, which is empty for a pool without hosts.
func (r *Roster) pool(id jaybarrow.PoolID) *poolIndex {
	if p, ok := r.index().pools[id]; ok {
		return p
	}
	return &poolIndex{}
}

// index returns the cached index, and rebuilds it after a change of the host records.
func (r *Roster) index() *index {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.cachedIndex != nil {
		select {
		case <-r.cachedIndex.outdated:
			r.cachedIndex = nil
		default:
		}
	}
	if r.cachedIndex == nil {
		r.cachedIndex = buildIndex(r.directory)
	}
	return r.cachedIndex
}

func buildIndex(d *directory.Directory) *index {
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

// PoolHosts returns the pool's hosts in this data centre with whether each accepts work, and the accepting hosts that spare pools
// lend it. A drain of a host counts in whichever pool it is recorded, since a host that moves keeps its drain in the old pool
// until it has returned to service.
func (r *Roster) PoolHosts(pool jaybarrow.PoolID) []schedule.HostView {
	draining := r.draining()
	return append(r.hostViews(pool, draining), r.borrowed(pool, draining)...)
}

// hostViews returns the pool's own hosts in this data centre; one accepts work if it is live, not draining and not ejected.
func (r *Roster) hostViews(pool jaybarrow.PoolID, draining map[jaybarrow.HostID]bool) []schedule.HostView {
	var hostViews []schedule.HostView
	for _, h := range r.pool(pool).hosts {
		if h.DataCentre != r.dataCentre {
			continue
		}
		live := r.conditions.Condition(string(h.ID)) == jaybarrow.HostLive
		accepting := live && !draining[h.ID] && r.health.Accepting(pool, h.ID)
		hostViews = append(hostViews, schedule.HostView{ID: h.ID, Capacity: h.Capacity, Accepting: accepting})
	}
	return hostViews
}

// updateHealth gives Health the hosts of each pool in this data centre and the count of those that are draining or not live.
func (r *Roster) updateHealth() {
	draining := r.draining()
	for id, p := range r.index().pools {
		var hosts []jaybarrow.HostID
		unavailable := 0
		for _, h := range p.hosts {
			if h.DataCentre != r.dataCentre {
				continue
			}
			hosts = append(hosts, h.ID)
			if draining[h.ID] || r.conditions.Condition(string(h.ID)) != jaybarrow.HostLive {
				unavailable++
			}
		}
		r.health.SetPool(id, hosts, unavailable)
	}
}

// draining returns the hosts that have a drain in any pool.
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

// Fits reports whether the demand fits in the capacity of any host of the pool in any data centre.
func (r *Roster) Fits(pool jaybarrow.PoolID, demand jaybarrow.Demand) bool {
	return slices.ContainsFunc(r.pool(pool).hosts, func(h jaybarrow.Host) bool { return demand.FitsIn(h.Capacity) })
}

// Host returns the host's record, or false when it has none.
func (r *Roster) Host(id jaybarrow.HostID) (jaybarrow.Host, bool) { return r.directory.Hosts.Get(id) }

// Share returns the team's share, or 1 for a team without a record or a positive share.
func (r *Roster) Share(team jaybarrow.TeamID) jaybarrow.Share {
	if t, ok := r.directory.Teams.Get(team); ok && t.Share > 0 {
		return t.Share
	}
	return 1
}
