package permit

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
)

// Settings are the times and rates of a Keeper.
type Settings struct {
	MinWriteInterval     time.Duration // least time between two writes for one team
	IdleWindow           time.Duration // permits unused for one to two windows are idle
	MinHold              time.Duration // how long gained permits need not be passed on
	DemandDelay          time.Duration // a host with permits asks for more when a lack lasts this long
	ProbeInterval        time.Duration // unmet demand that is not renewed within this time is dropped
	FirstBackoff         time.Duration // after a conflict or a failed call; doubles up to MaxBackoff
	MaxBackoff           time.Duration
	CallTimeout          time.Duration // of one call to the store
	MinScanInterval      time.Duration // least time between two scans of the allotments for changes
	StartWindow          time.Duration // a task must start at the worker within this time of taking its permits
	InitialGrantInterval time.Duration // between the entry hosts that could divide the first floors of a team
	WritesPerSecond      int           // of this entry host for all teams; a quarter of it for idle permits and small lacks
	// FleetWritesPerSecond may be used by any entry host for work that waits, less the writes that it sees of the others.
	FleetWritesPerSecond int
}

// DefaultSettings returns the settings for production. An idle permit goes back within two idle windows and one write,
// which is less than a second unless more teams than the budget covers return permits at once. Nine entry hosts at 40 writes
// each stay within the several hundred writes a second of the store. The fleet's 320 are for one or two hosts that need more
// while the others write little; the writes of the others are taken from them with the lag of the watch.
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
	// Incarnation returns the incarnation of the process; 0 before it is registered.
	Incarnation() jaybarrow.Incarnation
	// RegisteredAt returns the local time at which the incarnation was known.
	RegisteredAt() time.Time
	// Fenced returns a channel that is closed when a newer process has taken over the entry host's id.
	Fenced() <-chan struct{}
}

// Deps are what a Keeper depends on.
type Deps struct {
	Clock        jaybarrow.Clock
	Log          zerolog.Logger
	Store        jaybarrow.Store
	Directory    *directory.Directory
	Conditions   jaybarrow.HostConditions // nil: no host is ever known to have ended
	Registration Registration
	Entry        jaybarrow.EntryID
	NewChange    func() jaybarrow.ChangeID
	Settings     Settings
}

// taskSpan is how long after the decision to start it a task can still be running without a renewal.
func taskSpan(startWindow time.Duration) time.Duration {
	var origin time.Time
	return jaybarrow.LeaseEnd(origin.Add(startWindow)).Sub(origin)
}
