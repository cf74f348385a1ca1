package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/command/fleet"
	"github.com/jaybarrow/jaybarrow/internal/httpapi"
	"github.com/jaybarrow/jaybarrow/internal/identity"
	"github.com/jaybarrow/jaybarrow/internal/member"
	"github.com/jaybarrow/jaybarrow/internal/query/explain"
	fleetquery "github.com/jaybarrow/jaybarrow/internal/query/fleet"
	"github.com/jaybarrow/jaybarrow/internal/query/status"
	"github.com/jaybarrow/jaybarrow/internal/settings"
)

// commands returns the operators' commands.
func (e *Entry) commands() httpapi.Commands {
	records := fleet.NewRecords(e.deps.Clock, e.records)
	putTeam := fleet.NewPutTeam(records, identity.NewChangeID)
	return httpapi.Commands{
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
		BeginDrain:  fleet.NewBeginDrain(records, e.maintenance),
		EndDrain:    fleet.NewEndDrain(e.maintenance),
		BeginWave:   fleet.NewBeginWave(e.maintenance),
	}
}

// queries returns the operators' queries over the local copy of the records.
func (e *Entry) queries() httpapi.Queries {
	d := e.directory
	q := httpapi.Queries{
		Drains:        fleetquery.NewDrains(d),
		EntryHosts:    fleetquery.NewEntryHosts(d),
		Configuration: status.NewConfiguration(e.deps.Clock, d, fleetView{e}),
		Loads:         status.NewLoads(fleetView{e}),
		Measures:      status.NewMeasures(d, fleetView{e}, e.meter),
		Explain:       explain.New(e.journal),
		Vars:          e.meter.Vars,
	}
	q.Teams, q.Team = fleetquery.NewTeams(d, fleetView{e})
	q.Keys, q.Key = fleetquery.NewKeys(d)
	q.Pools, q.Pool = fleetquery.NewPools(d)
	q.Queues, q.Queue = fleetquery.NewQueues(d)
	q.Hosts, q.Host = fleetquery.NewHosts(d, e.conditions, fleetView{e})
	return q
}

// fleetView provides the queries with this entry host's view of the fleet.
type fleetView struct{ entry *Entry }

// Members returns the entry hosts that must have applied a change before it is in force: this one, each registered one, and
// each that may still accept keyed work although its registration has ended.
func (v fleetView) Members() []status.Member {
	self := v.entry.self()
	members := []status.Member{toMember(self)}
	v.entry.directory.Entries.Each(func(id jaybarrow.EntryID, h jaybarrow.EntryHost) {
		if id == self.ID {
			return
		}
		s, ok := v.entry.members.Get(id)
		if !ok {
			s = member.State{ID: id, DataCentre: h.DataCentre}
		}
		members = append(members, toMember(s))
	})
	for _, s := range v.unregistered() {
		members = append(members, toMember(s))
	}
	slices.SortFunc(members, func(a, b status.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return members
}

// unregistered returns the entry hosts that may have been cut off for longer than the lease of their registration and still
// serve keyed work, where the settings allow that. These are all known ones that are neither registered, nor leaving, nor
// gone according to the platform's host list.
func (v fleetView) unregistered() []member.State {
	if v.entry.deps.Settings.Keys.WhenCutOff != settings.CutOffServe {
		return nil
	}
	return slices.DeleteFunc(v.entry.members.Known(), func(s member.State) bool {
		_, registered := v.entry.directory.Entries.Get(s.ID)
		return registered || s.Leaving || v.entry.conditions.Condition(string(s.ID)) == jaybarrow.HostGone
	})
}

func toMember(s member.State) status.Member {
	return status.Member{
		ID: s.ID, DataCentre: s.DataCentre, AppliedRevision: s.Applied, LastHeard: s.ReportedAt, Ready: s.Ready,
	}
}

// Loads returns the last known load of each pool in each data centre.
func (v fleetView) Loads() []status.Load {
	var loads []status.Load
	for _, s := range append(v.entry.members.LiveStates(v.entry.deps.Clock.Now()), v.entry.self()) {
		for pool, load := range s.Loads {
			loads = append(loads, status.Load{
				Pool: pool, DataCentre: s.DataCentre, Entry: s.ID,
				Waiting: load.Waiting, Running: load.Running, FreeSlots: load.FreeSlots,
			})
		}
	}
	slices.SortFunc(loads, func(a, b status.Load) int {
		return strings.Compare(string(a.Pool)+"/"+string(a.Entry), string(b.Pool)+"/"+string(b.Entry))
	})
	return loads
}

// InUse returns the team's permits in use on this entry host.
func (v fleetView) InUse(team jaybarrow.TeamID) jaybarrow.Slots {
	for _, p := range v.entry.permits.Snapshot() {
		if p.Team == team {
			return p.InUse
		}
	}
	return 0
}

// Ejected reports whether this entry host gives the host no work because of the outcomes of its tasks.
func (v fleetView) Ejected(host jaybarrow.HostID) bool {
	h, ok := v.entry.directory.Hosts.Get(host)
	return ok && !v.entry.health.Accepting(h.Pool, host)
}

// Moves returns the number of ended moves between pools.
func (v fleetView) Moves() int {
	moves := int64(0)
	v.entry.directory.Drains.Each(func(_ jaybarrow.PoolID, record jaybarrow.PoolDrains) { moves += record.Moves })
	return int(moves)
}

// LastRollOut returns the duration of the wave that ended last. It returns false before the first wave has ended.
func (v fleetView) LastRollOut() (time.Duration, bool) {
	var last jaybarrow.PoolDrains
	v.entry.directory.Drains.Each(func(_ jaybarrow.PoolID, record jaybarrow.PoolDrains) {
		if record.WaveEndedMs > last.WaveEndedMs {
			last = record
		}
	})
	return time.Duration(last.WaveEndedMs-last.WaveStartedMs) * time.Millisecond, last.WaveEndedMs != 0
}
