package entry

import (
	"expvar"
	"net"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/claim"
	"github.com/jaybarrow/jaybarrow/internal/directory"
	"github.com/jaybarrow/jaybarrow/internal/etcd"
	"github.com/jaybarrow/jaybarrow/internal/maintenance"
	"github.com/jaybarrow/jaybarrow/internal/member"
	"github.com/jaybarrow/jaybarrow/internal/mover"
	"github.com/jaybarrow/jaybarrow/internal/permit"
	"github.com/jaybarrow/jaybarrow/internal/presence"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
	"github.com/jaybarrow/jaybarrow/internal/settings"
	"github.com/jaybarrow/jaybarrow/internal/task"
)

// Platform is the part of the platform's interface that an entry host uses.
type Platform interface {
	jaybarrow.Store
	jaybarrow.HostList
	jaybarrow.Rebooter
}

// Deps are the dependencies of an entry host.
type Deps struct {
	Clock    jaybarrow.Clock
	Log      zerolog.Logger
	Platform Platform
	Settings settings.Settings
	Callers  net.Listener
	Peers    net.Listener
	Times    Times
	OnFault  rungroup.Handler // called when a background part fails; nil crashes the process
	// ClientLimits counts how often the limits for clients were reached; nil when there are none.
	ClientLimits expvar.Var
}

// Times are the intervals of an entry host, and the settings of its parts that the settings file does not set.
type Times struct {
	HeartbeatInterval time.Duration // between two heartbeats of this entry host
	HostListInterval  time.Duration // between two polls of the platform's host list
	CatchUpDelay      time.Duration // how long this entry host's watch may lag a peer before it fetches the peer's changes
	ShutdownDelay     time.Duration // how long a stopping entry host still accepts requests, until load balancers remove it
	Members           member.Timeouts
	Follower          directory.FollowerSettings
	Presence          presence.Settings
	Permit            permit.Settings
	Claim             claim.Settings
	Maintenance       maintenance.Settings
	Mover             mover.Settings
	Task              task.Settings
}

// DefaultTimes returns the Times for production.
func DefaultTimes() Times {
	return Times{
		HeartbeatInterval: time.Second,
		HostListInterval:  time.Second,
		CatchUpDelay:      300 * time.Millisecond,
		ShutdownDelay:     time.Second,
		Members:           member.DefaultTimeouts,
		Follower:          directory.DefaultFollowerSettings(),
		Presence:          presence.DefaultSettings(),
		Permit:            permit.DefaultSettings(),
		Claim:             claim.DefaultSettings(),
		Maintenance:       maintenance.DefaultSettings,
		Mover:             mover.DefaultSettings(),
		Task:              task.Settings{RunTimeout: maxTaskRunTime},
	}
}

// maxTaskRunTime bounds one run of a task. Slow work with a deadline at the end of the night takes hours.
const maxTaskRunTime = 24 * time.Hour

// storeConnections bounds the connections to the store for calls other than watches.
const storeConnections = 8

// PlatformSettings returns the settings of the platform's client for an address.
func PlatformSettings(s settings.Settings, address jaybarrow.Address) etcd.Settings {
	return etcd.Settings{
		Address: address, Connections: storeConnections, DialTimeout: s.Platform.CallTimeout, CallTimeout: s.Platform.CallTimeout,
	}
}

// withSettings returns t with the values of the settings file applied to the settings of the parts.
func (t Times) withSettings(s settings.Settings) Times {
	t.Task.ConnectionsPerWorker = s.Workers.ConnectionsPerWorker
	t.Task.DialTimeout = s.Workers.DialTimeout
	t.Task.CallTimeout = s.Workers.CallTimeout
	t.Permit.StartWindow = s.Workers.StartWindow
	t.Claim.PerSecond = s.Claims.PerSecond
	t.Mover.Automatic = s.Moves.Automatic
	t.Mover.Balance.Economy = float64(s.Moves.EconomyPercent) / 100
	return t
}
