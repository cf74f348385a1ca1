package httpapi

import (
	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/command"
	"github.com/jaybarrow/jaybarrow/internal/command/fleet"
	"github.com/jaybarrow/jaybarrow/internal/limit"
	"github.com/jaybarrow/jaybarrow/internal/query"
	"github.com/jaybarrow/jaybarrow/internal/query/explain"
	fleetquery "github.com/jaybarrow/jaybarrow/internal/query/fleet"
	"github.com/jaybarrow/jaybarrow/internal/query/status"
)

// Commands are the handlers of the operators' commands; a nil handler gets no route.
type Commands struct {
	PutTeam     command.Handler[fleet.PutTeam, fleet.Changed]
	DeleteTeam  command.Handler[fleet.DeleteTeam, fleet.Changed]
	SetLimit    command.Handler[fleet.SetLimit, limit.State]
	SetShare    command.Handler[fleet.SetShare, fleet.Changed]
	AddKey      command.Handler[fleet.AddKey, fleet.KeyAdded]
	WithdrawKey command.Handler[fleet.WithdrawKey, fleet.Changed]
	PutPool     command.Handler[fleet.PutPool, fleet.Changed]
	DeletePool  command.Handler[fleet.DeletePool, fleet.Changed]
	PutQueue    command.Handler[fleet.PutQueue, fleet.Changed]
	DeleteQueue command.Handler[fleet.DeleteQueue, fleet.Changed]
	PutHost     command.Handler[fleet.PutHost, fleet.Changed]
	DeleteHost  command.Handler[fleet.DeleteHost, fleet.Changed]
	BeginDrain  command.Handler[fleet.BeginDrain, fleet.Changed]
	EndDrain    command.Handler[fleet.EndDrain, fleet.Changed]
	BeginWave   command.Handler[fleet.BeginWave, fleet.Changed]
}

// Queries are the handlers of the operators' queries; a nil handler gets no route.
type Queries struct {
	Teams         query.Handler[fleetquery.AllRecords, []fleetquery.Team]
	Team          query.Handler[jaybarrow.TeamID, fleetquery.Team]
	Keys          query.Handler[fleetquery.AllRecords, []fleetquery.Key]
	Key           query.Handler[jaybarrow.KeyHash, fleetquery.Key]
	Pools         query.Handler[fleetquery.AllRecords, []fleetquery.Pool]
	Pool          query.Handler[jaybarrow.PoolID, fleetquery.Pool]
	Queues        query.Handler[fleetquery.AllRecords, []fleetquery.Queue]
	Queue         query.Handler[jaybarrow.QueueID, fleetquery.Queue]
	Hosts         query.Handler[fleetquery.AllRecords, []fleetquery.Host]
	Host          query.Handler[jaybarrow.HostID, fleetquery.Host]
	Drains        query.Handler[fleetquery.AllRecords, []fleetquery.Drains]
	EntryHosts    query.Handler[fleetquery.AllRecords, []fleetquery.EntryHost]
	Configuration query.Handler[status.Configuration, status.ConfigurationStatus]
	Loads         query.Handler[status.AllLoads, []status.Load]
	Measures      query.Handler[status.AllMeasures, status.Measures]
	Explain       query.Handler[jaybarrow.Subject, explain.Explanation]
	Vars          func() []byte // metrics as JSON
}
