package permit

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
)

// Settings are the intervals and rates of a Keeper.
type Settings struct {
	MinWriteInterval     time.Duration // minimum time between two writes for one team
	IdleWindow           time.Duration // permits unused for one to two windows are idle
	MinHold              time.Duration // how long newly granted permits need not be passed on
	DemandDelay          time.Duration // a host with permits requests more when demand stays unmet for this long
	ProbeInterval        time.Duration // unmet demand that is not renewed within this time is dropped
	FirstBackoff         time.Duration // after a conflict or a failed call; doubles on each further one, up to MaxBackoff
	MaxBackoff           time.Duration
	CallTimeout          time.Duration // of one call to the store
	MinScanInterval      time.Duration // minimum time between two scans of the allotments for changes
	StartWindow          time.Duration // a task must start at the worker within this time of taking its permits
	InitialGrantInterval time.Duration // delay per rank before an entry host writes a team's first floors
	WritesPerSecond      int           // of this entry host for all teams; at most a quarter for idle permits and small demand
	// FleetWritesPerSecond is shared by all entry hosts for writes that waiting work needs. Each host subtracts the writes of the
	// others that it sees.
	FleetWritesPerSecond int
}

// DefaultSettings returns the settings for production. An idle permit is returned within two idle windows and one write, which is
// less than a second unless more teams return permits at once than the budget covers. Nine entry hosts at 40 writes a second
// each stay within the store's several hundred. The fleet's 320 are for one or two hosts that need more while the others write
// little; the writes of the others are subtracted with the lag of the watch.
func DefaultSettings() Settings {
	return Settings{
		MinWriteInterval: 100 * time.Millisecond, IdleWindow: 400 * time.Millisecond, MinHold: 200 * time.Millisecond,
		DemandDelay: 50 * time.Millisecond, ProbeInterval: 250 * time.Millisecond, FirstBackoff: 50 * time.Millisecond, MaxBackoff: 2 * time.Second,
		CallTimeout: 2 * time.Second, MinScanInterval: 20 * time.Millisecond, StartWindow: 2 * time.Second, InitialGrantInterval: 200 * time.Millisecond, WritesPerSecond: 40,
		FleetWritesPerSecond: 320,
	}
}

// Registration is this process's registration as an entry host.
type Registration interface {
	// Ready returns a channel that is closed once the process is registered.
	Ready() <-chan struct{}
	// Incarnation returns the incarnation of the process, or 0 before it is registered.
	Incarnation() jaybarrow.Incarnation
	// RegisteredAt returns the local time at which the process learned its incarnation.
	RegisteredAt() time.Time
	// Fenced returns a channel that is closed when a newer process has taken over the entry host's id.
	Fenced() <-chan struct{}
}

// Deps are the dependencies of a Keeper.
type Deps struct {
	Clock        jaybarrow.Clock
	Log          zerolog.Logger
	Store        jaybarrow.Store
	Directory    *directory.Directory
	Conditions   jaybarrow.HostConditions // nil when no host is ever reported as gone
	Registration Registration
	Entry        jaybarrow.EntryID
	NewChange    func() jaybarrow.ChangeID
	Settings     Settings
	OnFault      rungroup.Handler // called when a background part fails; nil crashes the process
}

// longestTaskSpan returns how long after the decision to start it a task can still be running without a lease renewal.
func longestTaskSpan(startWindow time.Duration) time.Duration {
	var origin time.Time
	return jaybarrow.LeaseEnd(origin.Add(startWindow)).Sub(origin)
}
