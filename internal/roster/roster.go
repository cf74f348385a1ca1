package roster

import (
	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// Roster combines the host records, the drains and the platform's list for one data centre.
type Roster struct {
	directory  *directory.Directory
	dataCentre jaybarrow.DataCentreID
}

// New returns a Roster of the hosts in the data centre.
func New(d *directory.Directory, dataCentre jaybarrow.DataCentreID) *Roster {
	return &Roster{directory: d, dataCentre: dataCentre}
}

// PoolHosts returns the pool's hosts in this data centre and whether each accepts work.
func (r *Roster) PoolHosts(pool jaybarrow.PoolID) []schedule.HostView {
	drains, _ := r.directory.Drains.Get(pool)
	var views []schedule.HostView
	r.directory.Hosts.Each(func(id jaybarrow.HostID, h jaybarrow.Host) {
		if h.Pool != pool || h.DataCentre != r.dataCentre {
			return
		}
		_, draining := drains.Drains[id]
		views = append(views, schedule.HostView{ID: id, Capacity: h.Capacity, Accepting: !draining})
	})
	return views
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
