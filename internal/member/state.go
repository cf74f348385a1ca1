package member

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// State is what one entry host last said of itself, with times converted to the local clock.
type State struct {
	ID                jaybarrow.EntryID
	DataCentre        jaybarrow.DataCentreID
	PeerAddress       jaybarrow.Address // to call it at
	AdvertisedAddress jaybarrow.Address // what it says of itself; the settings may give another way to it
	Incarnation       jaybarrow.Incarnation
	Sequence          int64 // increases with each heartbeat of the incarnation
	Ready             bool  // registered, and has a configuration
	Leaving           bool
	Applied           jaybarrow.Revision // all changes up to it are applied
	Newest            jaybarrow.Revision // newest record that is applied
	ConfirmedAt       time.Time          // when the store last proved its configuration current; zero: never
	Loads             map[jaybarrow.PoolID]schedule.Load
	HeardAt           time.Time // when it said so
}

// newer reports whether s was said after old.
func (s State) newer(old State) bool {
	if s.Incarnation != old.Incarnation {
		return s.Incarnation > old.Incarnation
	}
	return s.Sequence > old.Sequence
}

// Timeouts say for how long what was last heard of an entry host counts.
type Timeouts struct {
	Local         time.Duration // an entry host of the own data centre counts as live
	Remote        time.Duration // one of another data centre counts as live
	RemoteReached time.Duration // another data centre counts as reached, for freshness
}

// DefaultTimeouts are three heartbeats of one second within a data centre. A state of another data centre passes two relays
// and is usually heard within 5 s; when a relay stops it takes longer, and a request that is forwarded to an entry host that
// has ended is only tried again elsewhere, so it counts as live for a while.
var DefaultTimeouts = Timeouts{Local: 3 * time.Second, Remote: 15 * time.Second, RemoteReached: 8 * time.Second}
