package client

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
	commands "github.com/jaybarrow/jaybarrow/internal/command/fleet"
	"github.com/jaybarrow/jaybarrow/internal/limit"
	"github.com/jaybarrow/jaybarrow/internal/query/explain"
	"github.com/jaybarrow/jaybarrow/internal/query/fleet"
	"github.com/jaybarrow/jaybarrow/internal/query/status"
)

// The answers of the operators' calls.
type (
	// Changed carries the revision of a change.
	Changed = commands.Changed
	// KeyAdded carries a new key's secret, which cannot be read again.
	KeyAdded = commands.KeyAdded
	// Limit is a team's limit, whether it is in force and who still holds too much.
	Limit = limit.State
	// Team is a team with its limit.
	Team = fleet.Team
	// Key is a key's hash with its team.
	Key = fleet.Key
	// Pool is a pool with its number of hosts and drains.
	Pool = fleet.Pool
	// Queue is a queue with its revision.
	Queue = fleet.Queue
	// Host is a host with its drain and health.
	Host = fleet.Host
	// Drains is the drains of one pool.
	Drains = fleet.Drains
	// EntryHost is the presence of an entry host.
	EntryHost = fleet.EntryHost
	// ConfigurationStatus says where a revision is in force.
	ConfigurationStatus = status.ConfigurationStatus
	// Load is the load of one pool in one data centre.
	Load = status.Load
	// Measures are the figures by which a firm judges the system.
	Measures = status.Measures
	// Explanation is what was decided on a subject.
	Explanation = explain.Explanation
)

// Request is a request to run.
type Request struct {
	Queue         jaybarrow.QueueID
	ID            jaybarrow.RequestID // empty: the system chooses one
	NonIdempotent bool                // the request may run at most once
	Demand        jaybarrow.Demand    // Slots 0 means 1
	AnswerWithin  time.Duration       // 0: the queue's target decides
	RunTime       time.Duration       // declared run time; 0: unknown
	Body          []byte
}

// Answer is the answer to a Request.
type Answer struct {
	ID   jaybarrow.RequestID `json:"requestId"`
	Body []byte              `json:"body"`
}
