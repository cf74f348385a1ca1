package member

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// State is the last state that an entry host sent of itself, with times converted to the local clock.
type State struct {
	ID                jaybarrow.EntryID
	DataCentre        jaybarrow.DataCentreID
	PeerAddress       jaybarrow.Address // the address used to call it
	AdvertisedAddress jaybarrow.Address // the address it sends; the settings may override it
	Incarnation       jaybarrow.Incarnation
	Sequence          int64 // milliseconds by its own clock since its process started; increases with each heartbeat
	Ready             bool  // registered and has a configuration
	Leaving           bool
	Applied           jaybarrow.Revision // all changes up to it are applied
	Newest            jaybarrow.Revision // revision of the newest applied record
	ConfirmedAt       time.Time          // when the store last confirmed its configuration as up to date; zero before the first time
	Loads             map[jaybarrow.PoolID]schedule.Load
	ReportedAt        time.Time // when it sent the state
}

// newer reports whether s was sent after old.
func (s State) newer(old State) bool {
	if s.Incarnation != old.Incarnation {
		return s.Incarnation > old.Incarnation
	}
	return s.Sequence > old.Sequence
}

// Timeouts are how long after the last heartbeat an entry host or a data centre counts as live or reached.
type Timeouts struct {
	Local         time.Duration // for an entry host of the same data centre to count as live
	Remote        time.Duration // for an entry host of another data centre to count as live
	RemoteReached time.Duration // for another data centre to count as reached in Fresh
}

// DefaultTimeouts allow three heartbeats of one second within a data centre. A state from another data centre passes two
// relays and usually arrives within 5 s, but takes longer when a relay stops. Remote is longer than that, because a request
// that is forwarded to a stopped entry host is only retried elsewhere.
var DefaultTimeouts = Timeouts{Local: 3 * time.Second, Remote: 15 * time.Second, RemoteReached: 8 * time.Second}
