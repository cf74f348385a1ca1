package jaybarrow

import "time"

// Class is the kind of target that a queue has.
type Class string

// The classes of work.
const (
	ClassQuick Class = "quick" // answered within a time
	ClassSlow  Class = "slow"  // finished by a time
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
	TargetMs int64   `json:"targetMs"` // quick: answer within; slow: finish within, from arrival
	Open     bool    `json:"open,omitempty"`
}

// Target returns the queue's target as a duration from a request's arrival.
func (q Queue) Target() time.Duration { return time.Duration(q.TargetMs) * time.Millisecond }

// Host is the one record of a host; its Pool field is its only membership.
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
	PhaseReturning DrainPhase = "returning" // the worker is told to accept work again, then the drain is removed
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
	ID        ChangeID     `json:"id"` // tells a drain from a later one of the same host
	Host      HostID       `json:"host"`
	Rack      RackID       `json:"rack"`
	Phase     DrainPhase   `json:"phase"`
	Purpose   DrainPurpose `json:"purpose"`
	MoveTo    PoolID       `json:"moveTo,omitempty"`
	Wave      bool         `json:"wave,omitempty"` // begun by the wave over the pool
	StartedMs int64        `json:"startedMs"`      // wall clock, when the drain began
	PhaseMs   int64        `json:"phaseMs"`        // wall clock, when the phase began
}

// PoolDrains holds the drains of one pool; beginning a drain and spending the budget are one write to it.
type PoolDrains struct {
	Pool          PoolID           `json:"pool"`
	Drains        map[HostID]Drain `json:"drains"`
	Pending       []HostID         `json:"pending,omitempty"`       // hosts that the wave has not begun to drain
	WaveStartedMs int64            `json:"waveStartedMs,omitempty"` // wall clock of the last wave
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
	// LimitBaseRevision is the revision from which the limit was last set. Grants change the record all the time, so an operator's
	// change of the limit is compared with this and not with the record's last revision.
	LimitBaseRevision Revision          `json:"limitFrom,omitempty"`
	Grants            map[EntryID]Grant `json:"grants"`
	UnmetDemand       map[EntryID]Slots `json:"wants,omitempty"`
	LargestTask       map[EntryID]Slots `json:"units,omitempty"` // slots of the largest waiting task of a host with a want, if above 1
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

// HostCondition is the platform's word on a host.
type HostCondition string

// The conditions in the platform's lagging list.
const (
	HostLive    HostCondition = "live"
	HostLeaving HostCondition = "leaving"
	HostDown    HostCondition = "down"
	HostGone    HostCondition = "gone" // ended for good; never said of a host that is merely unreachable
)

// HostNotice is one line of the platform's lagging list; it names workers' hosts and entry hosts alike.
type HostNotice struct {
	Host      string        `json:"host"`
	Condition HostCondition `json:"condition"`
}
