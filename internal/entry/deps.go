package entry

import (
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
	"github.com/jaybarrow/jaybarrow/internal/settings"
	"github.com/jaybarrow/jaybarrow/internal/task"
)

// Platform is what an entry host uses of the platform.
type Platform interface {
	jaybarrow.Store
	jaybarrow.HostList
	jaybarrow.Rebooter
}

// Deps are what an entry host depends on.
type Deps struct {
	Clock    jaybarrow.Clock
	Log      zerolog.Logger
	Platform Platform
	Settings settings.Settings
	Callers  net.Listener
	Peers    net.Listener
	Times    Times
}

// Times are the intervals of the parts that have no setting of their own.
type Times struct {
	HeartbeatInterval time.Duration // between two heartbeats of this entry host
	HostListInterval  time.Duration // between two looks at the platform's list
	CatchUpDelay      time.Duration // how long the own watch may lag a peer before changes are fetched from it
	ShutdownDelay     time.Duration // a stopping entry host takes callers' requests for this long, so that a balancer can notice
	Members           member.Timeouts
	Follower          directory.FollowerSettings
	Presence          presence.Settings
	Permit            permit.Settings
	Claim             claim.Settings
	Maintenance       maintenance.Settings
	Mover             mover.Settings
	Task              task.Settings
}

// DefaultTimes returns the intervals for production.
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
		Task:              task.Settings{RunTimeout: maxRun},
	}
}

// maxRun bounds one run of a task; slow work that must finish by dawn takes hours.
const maxRun = 24 * time.Hour

// storeConnections bounds the connections to the store for calls other than watches.
const storeConnections = 8

// PlatformSettings returns the settings of the platform's client at an address.
func PlatformSettings(s settings.Settings, address jaybarrow.Address) etcd.Settings {
	return etcd.Settings{
		Address: address, Connections: storeConnections, DialTimeout: s.Platform.CallTimeout, CallTimeout: s.Platform.CallTimeout,
	}
}

// withSettings puts what the settings file says into the parts' own settings.
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
