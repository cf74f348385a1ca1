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

// The results of the operators' calls.
type (
	// Changed holds the revision that a change produced.
	Changed = commands.Changed
	// KeyAdded holds the secret of a new access key, which cannot be read again.
	KeyAdded = commands.KeyAdded
	// Limit is a team's limit, whether it is in force, and which entry hosts hold more than an even share while it is not.
	Limit = limit.State
	// Team is a team with its limit.
	Team = fleet.Team
	// Key is the hash of an access key with its team.
	Key = fleet.Key
	// Pool is a pool with its number of hosts and drains.
	Pool = fleet.Pool
	// Queue is a queue with its revision.
	Queue = fleet.Queue
	// Host is a host with its drain and health.
	Host = fleet.Host
	// Drains is the drains of one pool.
	Drains = fleet.Drains
	// EntryHost is the registration of an entry host.
	EntryHost = fleet.EntryHost
	// ConfigurationStatus lists the entry hosts on which a revision is in force or pending.
	ConfigurationStatus = status.ConfigurationStatus
	// Load is the load of one pool in one data centre.
	Load = status.Load
	// Measures holds the system's efficiency: spare capacity, host moves, roll-out time and fairness.
	Measures = status.Measures
	// Explanation lists the decisions on a subject.
	Explanation = explain.Explanation
)

// Request is a request to run.
type Request struct {
	Queue         jaybarrow.QueueID
	ID            jaybarrow.RequestID // empty if the entry host is to assign one
	NonIdempotent bool                // the request may run at most once
	Demand        jaybarrow.Demand    // Slots 0 means 1
	AnswerWithin  time.Duration       // 0 means the queue's target
	RunTime       time.Duration       // declared run time; 0 means unknown
	Body          []byte
}

// Answer is the response to a Request.
type Answer struct {
	ID   jaybarrow.RequestID `json:"requestId"`
	Body []byte              `json:"body"`
}
