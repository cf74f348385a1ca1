package roster

import (
	"slices"
	"sync"

	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
	"github.com/jaybarrow/jaybarrow/internal/notify"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// Health says whether a worker's recent outcomes allow more work.
type Health interface {
	// Accepting reports whether the host may be given work; it is false while the host is ejected.
	Accepting(pool jaybarrow.PoolID, host jaybarrow.HostID) bool
	// Changed returns a channel that is closed when a host is ejected or may be tried again.
	Changed() <-chan struct{}
	// SetPool tells the pool's hosts here, and how many of them are unavailable for other reasons than their outcomes.
	SetPool(pool jaybarrow.PoolID, hosts []jaybarrow.HostID, unavailable int)
}

// Roster combines the host records, the drains, the platform's list and the workers' health for one data centre.
type Roster struct {
	directory  *directory.Directory
	conditions jaybarrow.HostConditions
	health     Health
	dataCentre jaybarrow.DataCentreID
	news       *notify.Notifier
	group      conc.WaitGroup
	stop       chan struct{}
	once       sync.Once

	mutex sync.Mutex
	built *index
	busy  []jaybarrow.PoolID // pools with waiting work of their own, sorted; they lend no hosts
}

// New returns a running Roster of the hosts in the data centre.
func New(d *directory.Directory, conditions jaybarrow.HostConditions, health Health, dataCentre jaybarrow.DataCentreID) *Roster {
	r := &Roster{
		directory: d, conditions: conditions, health: health, dataCentre: dataCentre,
		news: notify.New(), stop: make(chan struct{}),
	}
	r.group.Go(func() {
		for {
			hosts, drains, listed, healthy := d.Hosts.Changed(), d.Drains.Changed(), conditions.Changed(), health.Changed()
			pools := d.Pools.Changed()
			// What changed before the channels were taken is not announced by them.
			r.tellHealth()
			r.news.Signal()
			select {
			case <-r.stop:
				return
			case <-hosts:
			case <-pools:
			case <-drains:
			case <-listed:
			case <-healthy:
			}
		}
	})
	return r
}

// Close stops announcing changes.
func (r *Roster) Close() {
	r.once.Do(func() { close(r.stop) })
	r.group.Wait()
}

// Changed returns a channel that is closed at the next change of the hosts or of whether they accept work.
func (r *Roster) Changed() <-chan struct{} { return r.news.Changed() }

// index groups the host records by pool, so that a request does not look at every host of the fleet.
type index struct {
	outdated <-chan struct{}
	pools    map[jaybarrow.PoolID]*poolIndex
}

type poolIndex struct {
	hosts       []jaybarrow.Host
	dataCentres []jaybarrow.DataCentreID
}

// pool returns the pool's part of the index.
func (r *Roster) pool(id jaybarrow.PoolID) *poolIndex {
	if p, ok := r.index().pools[id]; ok {
		return p
	}
	return &poolIndex{}
}

// index returns the index, built again after a change of the host records.
func (r *Roster) index() *index {
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
	return r.built
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

// PoolHosts returns the pool's hosts in this data centre and whether each accepts work, and the accepting hosts that spare
// pools lend it. A drain counts whatever pool it is recorded with, since a host that moves keeps its drain in the old pool
// until it has returned.
func (r *Roster) PoolHosts(pool jaybarrow.PoolID) []schedule.HostView {
	draining := r.draining()
	return append(r.views(pool, draining), r.borrowed(pool, draining)...)
}

func (r *Roster) views(pool jaybarrow.PoolID, draining map[jaybarrow.HostID]bool) []schedule.HostView {
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

// tellHealth tells the workers' health which hosts each pool has here and how many cannot take work anyway.
func (r *Roster) tellHealth() {
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
