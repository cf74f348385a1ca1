package member

import (
	"slices"
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

// LocalConfiguration is what this entry host knows of its own configuration.
type LocalConfiguration struct {
	Applied     jaybarrow.Revision // all changes up to it are applied
	ConfirmedAt time.Time          // when the store last proved it current; zero: never
}

// contactTime is how long after its last confirmation an entry host counts as being in contact with the store; the watch
// reports progress each second, and a confirmation is dated back by up to another.
const contactTime = 3 * time.Second

// bridgeTime is how much longer a confirmation counts while other data centres say that they have lost the store too. They
// can say so only after contactTime and some heartbeats, and keyed work must not stop meanwhile.
const bridgeTime = 3 * time.Second

// HadStoreContact reports whether the entry host was in contact with the store when it was last heard.
func (s State) HadStoreContact() bool { return confirmedWithin(s.HeardAt, s.ConfirmedAt, contactTime) }

// Fresh reports whether a withdrawal accepted more than limit ago would be known here: the store or a live peer proved the
// configuration current within limit, or every other data centre is reached and no entry host was in contact with the store
// when it was last heard, in which case no withdrawal can have been accepted. A peer that was in contact when it was last
// heard may be so still. dataCentres lists all and is called only when it matters.
func (m *Members) Fresh(now time.Time, own LocalConfiguration, limit time.Duration, dataCentres func() []jaybarrow.DataCentreID) bool {
	if confirmedWithin(now, own.ConfirmedAt, limit) {
		return true
	}
	live := m.LiveStates(now)
	if m.othersLostStore(now, live, limit) {
		limit += bridgeTime
	}
	if confirmedWithin(now, own.ConfirmedAt, limit) {
		return true
	}
	reached := map[jaybarrow.DataCentreID]bool{m.dataCentre: true}
	storeSeen := false
	for _, s := range live {
		if confirmedWithin(now, s.ConfirmedAt, limit) && own.Applied >= s.Newest {
			return true
		}
		storeSeen = storeSeen || s.HadStoreContact()
		reached[s.DataCentre] = reached[s.DataCentre] || now.Sub(s.HeardAt) <= m.timeouts.RemoteReached
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

// othersLostStore reports whether an entry host of another data centre was heard lately and had lost the store.
func (m *Members) othersLostStore(now time.Time, live []State, limit time.Duration) bool {
	return slices.ContainsFunc(live, func(s State) bool {
		return s.DataCentre != m.dataCentre && now.Sub(s.HeardAt) <= limit && !s.HadStoreContact()
	})
}

func confirmedWithin(now, confirmed time.Time, limit time.Duration) bool {
	return !confirmed.IsZero() && now.Sub(confirmed) <= limit
}
