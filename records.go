package jaybarrow

import "time"

// Class is the kind of target that a queue has.
type Class string

// The classes of work.
const (
	ClassQuick Class = "quick" // to be answered within the target
	ClassSlow  Class = "slow"  // to be finished within the target
)

// Demand is what one request needs on a host.
type Demand struct {
	Slots        Slots        `json:"slots"`
	Memory       Megabytes    `json:"memoryMb,omitempty"`
	Accelerators Accelerators `json:"accelerators,omitempty"`
}

// FitsIn reports whether the demand fits in the capacity c.
func (d Demand) FitsIn(c Demand) bool {
	return d.Slots <= c.Slots && d.Memory <= c.Memory && d.Accelerators <= c.Accelerators
}

// Team is a team's configuration; its limit is kept in its Allotment.
type Team struct {
	ID    TeamID `json:"id"`
	Share Share  `json:"share"`
}

// AccessKey binds the hash of a caller's key to a team.
type AccessKey struct {
	Hash      KeyHash `json:"hash"`
	Team      TeamID  `json:"team"`
	Withdrawn bool    `json:"withdrawn,omitempty"`
}

// Pool is a set of hosts with an availability budget.
type Pool struct {
	ID             PoolID `json:"id"`
	MaxUnavailable int    `json:"maxUnavailable"` // hosts that may be draining or down at once
	Spare          bool   `json:"spare,omitempty"`
}

// Queue receives requests of one class for one pool.
type Queue struct {
	ID       QueueID `json:"id"`
	Pool     PoolID  `json:"pool"`
	Class    Class   `json:"class"`
	TargetMs int64   `json:"targetMs"` // time from arrival to the answer of a quick request, or to the end of a slow one
	Open     bool    `json:"open,omitempty"`
}

// Target returns the queue's target as a duration from a request's arrival.
func (q Queue) Target() time.Duration { return time.Duration(q.TargetMs) * time.Millisecond }

// Host is the only record of a host; no other record says which pool the host is in.
type Host struct {
	ID          HostID       `json:"id"`
	Pool        PoolID       `json:"pool"`
	DataCentre  DataCentreID `json:"dataCentre"`
	Rack        RackID       `json:"rack"`
	Address     Address      `json:"address"`
	Capacity    Demand       `json:"capacity"`
	Connections int          `json:"connections"`
}

// DrainPhase is the state of a drain.
type DrainPhase string

// The phases of a drain, in order.
const (
	PhaseDraining  DrainPhase = "draining"
	PhaseDrained   DrainPhase = "drained"
	PhaseRebooting DrainPhase = "rebooting"
	PhaseReturning DrainPhase = "returning" // the worker is ordered to accept tasks again, then the drain is removed
)

// DrainPurpose says what follows a drain.
type DrainPurpose string

// The purposes of a drain.
const (
	PurposeReboot DrainPurpose = "reboot"
	PurposeMove   DrainPurpose = "move"
	PurposeHold   DrainPurpose = "hold" // stays drained until an operator ends the drain
)

// Drain is one host's entry in its pool's PoolDrains.
type Drain struct {
	ID        ChangeID     `json:"id"` // distinguishes the drain from a later one of the same host
	Host      HostID       `json:"host"`
	Rack      RackID       `json:"rack"`
	Phase     DrainPhase   `json:"phase"`
	Purpose   DrainPurpose `json:"purpose"`
	MoveTo    PoolID       `json:"moveTo,omitempty"`
	Wave      bool         `json:"wave,omitempty"` // started by the pool's maintenance wave
	StartedMs int64        `json:"startedMs"`      // wall clock, when the drain began
	PhaseMs   int64        `json:"phaseMs"`        // wall clock, when the phase began
}

// PoolDrains holds the drains of one pool; starting a drain and charging it to the availability budget are one write to it.
type PoolDrains struct {
	Pool          PoolID           `json:"pool"`
	Drains        map[HostID]Drain `json:"drains"`
	Pending       []HostID         `json:"pending,omitempty"`       // hosts that the wave has yet to drain
	WaveStartedMs int64            `json:"waveStartedMs,omitempty"` // wall clock of the start of the last wave
	WaveEndedMs   int64            `json:"waveEndedMs,omitempty"`   // 0 while it runs
	Moves         int64            `json:"moves,omitempty"`         // hosts moved out of the pool so far
	Change        ChangeID         `json:"change"`
}

// Grant is the part of a team's limit that an entry host may use.
type Grant struct {
	Incarnation Incarnation `json:"incarnation"`
	Slots       Slots       `json:"slots"`
}

// Allotment is a team's limit and its division over entry hosts; every change is one compare-and-swap.
type Allotment struct {
	Team  TeamID `json:"team"`
	Limit Slots  `json:"limit"`
	// LimitBaseRevision is the revision that the last change of the limit was based on. Grants change the record frequently,
	// so an operator's change of the limit is checked against this and not against the record's last revision.
	LimitBaseRevision Revision          `json:"limitFrom,omitempty"`
	Grants            map[EntryID]Grant `json:"grants"`
	UnmetDemand       map[EntryID]Slots `json:"wants,omitempty"` // approximate slots that an entry host needs beyond its grant
	LargestTask       map[EntryID]Slots `json:"units,omitempty"` // largest waiting task of an entry host with unmet demand, if above 1 slot
	Change            ChangeID          `json:"change"`
}

// EntryHost is the presence record of an entry host.
type EntryHost struct {
	ID          EntryID      `json:"id"`
	DataCentre  DataCentreID `json:"dataCentre"`
	HTTPAddress Address      `json:"httpAddress"`
	PeerAddress Address      `json:"peerAddress"`
	Incarnation Incarnation  `json:"incarnation"`
	Change      ChangeID     `json:"change"`
}

// HostCondition is the condition that the platform reports for a host.
type HostCondition string

// The conditions in the platform's host list, which lags behind the actual state.
const (
	HostLive    HostCondition = "live"
	HostLeaving HostCondition = "leaving"
	HostDown    HostCondition = "down"
	HostGone    HostCondition = "gone" // permanently removed; never reported for a host that is only unreachable
)

// HostNotice is one entry of the platform's host list, which contains both the hosts of workers and entry hosts.
type HostNotice struct {
	Host      string        `json:"host"`
	Condition HostCondition `json:"condition"`
}
