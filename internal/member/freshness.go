package member

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// WhenCutOff says what becomes of keyed work when the configuration may be out of date.
type WhenCutOff string

// The choices for keyed work of an entry host that is cut off.
const (
	CutOffRefuse WhenCutOff = "refuse"
	CutOffServe  WhenCutOff = "serve"
)

// Own is what this entry host knows of its own configuration.
type Own struct {
	Applied   jaybarrow.Revision // all changes up to it are applied
	Confirmed time.Time          // when the store last proved it current; zero: never
}

// Fresh reports whether a withdrawal accepted more than limit ago would be known here: the store or a live peer proved the
// configuration current within limit, or every other data centre is reached and no entry host had store contact within limit
// when it was last heard, in which case no withdrawal can have been accepted. A peer that had contact when it was last heard
// may have it still. dataCentres lists all and is called only when it matters.
func (m *Members) Fresh(now time.Time, own Own, limit time.Duration, dataCentres func() []jaybarrow.DataCentreID) bool {
	if confirmedWithin(now, own.Confirmed, limit) {
		return true
	}
	reached := map[jaybarrow.DataCentreID]bool{m.dataCentre: true}
	storeSeen := false
	for _, s := range m.LiveStates(now) {
		if confirmedWithin(now, s.Confirmed, limit) && own.Applied >= s.Newest {
			return true
		}
		storeSeen = storeSeen || confirmedWithin(s.Heard, s.Confirmed, limit)
		reached[s.DataCentre] = reached[s.DataCentre] || now.Sub(s.Heard) <= m.timeouts.Reach
	}
	if storeSeen || own.Applied == 0 {
		return false
	}
	for _, dc := range dataCentres() {
		if !reached[dc] {
			return false
		}
	}
	return true
}

func confirmedWithin(now, confirmed time.Time, limit time.Duration) bool {
	return !confirmed.IsZero() && now.Sub(confirmed) <= limit
}
