package entry

import (
	"github.com/jaybarrow/jaybarrow/internal/command/fleet"
	"github.com/jaybarrow/jaybarrow/internal/directory"
	"github.com/jaybarrow/jaybarrow/internal/httpapi"
	"github.com/jaybarrow/jaybarrow/internal/identity"
	"github.com/jaybarrow/jaybarrow/internal/journal"
	"github.com/jaybarrow/jaybarrow/internal/metrics"
	"github.com/jaybarrow/jaybarrow/internal/query/explain"
	fleetquery "github.com/jaybarrow/jaybarrow/internal/query/fleet"
	"github.com/jaybarrow/jaybarrow/internal/query/status"
)

const (
	// journalEntries and maxTeams bound the memory for explanations and measurements; the expected fleet has 250 teams.
	journalEntries = 16384
	maxTeams       = 512
)

// commands returns the operators' commands over the store.
func commands(deps Deps) httpapi.Commands {
	records := fleet.NewRecords(deps.Clock, deps.Store)
	putTeam := fleet.NewPutTeam(records, identity.NewChangeID)
	c := httpapi.Commands{
		PutTeam:     putTeam,
		DeleteTeam:  fleet.NewDeleteTeam(records),
		SetLimit:    fleet.NewSetLimit(records, identity.NewChangeID),
		SetShare:    fleet.NewSetShare(records),
		AddKey:      fleet.NewAddKey(records, identity.NewSecret),
		WithdrawKey: fleet.NewWithdrawKey(records),
		PutPool:     fleet.NewPutPool(records),
		DeletePool:  fleet.NewDeletePool(records),
		PutQueue:    fleet.NewPutQueue(records, putTeam),
		DeleteQueue: fleet.NewDeleteQueue(records),
		PutHost:     fleet.NewPutHost(records),
		DeleteHost:  fleet.NewDeleteHost(records, identity.NewChangeID),
	}
	if deps.Maintenance != nil {
		c.BeginDrain = fleet.NewBeginDrain(records, deps.Maintenance)
		c.EndDrain = fleet.NewEndDrain(deps.Maintenance)
		c.BeginWave = fleet.NewBeginWave(deps.Maintenance)
	}
	return c
}

// queries returns the operators' queries over the local copy of the records.
func queries(deps Deps, d *directory.Directory) httpapi.Queries {
	meter := metrics.New(deps.Clock, maxTeams)
	q := httpapi.Queries{
		Drains:        fleetquery.NewDrains(d),
		EntryHosts:    fleetquery.NewEntryHosts(d),
		Configuration: status.NewConfiguration(deps.Clock, d, alone{deps, d}),
		Measures:      status.NewMeasures(d, nil, meter),
		Explain:       explain.New(journal.New(deps.Clock, journalEntries)),
		Vars:          meter.Vars,
	}
	q.Teams, q.Team = fleetquery.NewTeams(d, nil)
	q.Keys, q.Key = fleetquery.NewKeys(d)
	q.Pools, q.Pool = fleetquery.NewPools(d)
	q.Queues, q.Queue = fleetquery.NewQueues(d)
	q.Hosts, q.Host = fleetquery.NewHosts(d, nil, nil)
	return q
}

// alone is the membership of an entry host without peers.
type alone struct {
	deps      Deps
	directory *directory.Directory
}

// Members returns this entry host.
func (a alone) Members() []status.Member {
	return []status.Member{{
		ID: a.deps.ID, DataCentre: a.deps.DataCentre, AppliedRevision: a.directory.Applied(), LastHeard: a.deps.Clock.Now(), Ready: true,
	}}
}
