package member

import (
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// WhenCutOff is the choice for keyed work while the configuration may be out of date.
type WhenCutOff string

// The choices for keyed work of an entry host that is cut off.
const (
	CutOffRefuse WhenCutOff = "refuse"
	CutOffServe  WhenCutOff = "serve"
)

// LocalConfiguration is how current this entry host's configuration is.
type LocalConfiguration struct {
	Applied     jaybarrow.Revision // all changes up to it are applied
	ConfirmedAt time.Time          // when the store last confirmed it as up to date; zero before the first time
}

// storeContactTimeout is how long after its last confirmation an entry host counts as being in contact with the store. The
// watch reports progress each second, and a confirmation is dated back by up to another second.
const storeContactTimeout = 3 * time.Second

// storeOutageExtension is how much longer a confirmation counts while other data centres report that they have lost the
// store too. They can report it only after storeContactTimeout and some heartbeats, and keyed work must not stop meanwhile.
const storeOutageExtension = 3 * time.Second

// HadStoreContact reports whether the entry host was in contact with the store when it sent the state.
func (s State) HadStoreContact() bool {
	return confirmedWithin(s.ReportedAt, s.ConfirmedAt, storeContactTimeout)
}

// Fresh reports whether the withdrawal of a key that was accepted more than limit ago must be known here. It must be when the
// store confirmed the local configuration within limit, or that of a live peer that has no newer record. The limit is longer
// by storeOutageExtension while another data centre reports that it has lost the store too. The withdrawal must also be known
// when every data centre is reached and no live entry host was in contact with the store when it sent its last state,
// because no withdrawal can have been accepted then. A peer that was in contact when it sent its last state may still be.
// dataCentres returns all data centres and is called only when the result depends on them.
func (m *Members) Fresh(now time.Time, local LocalConfiguration, limit time.Duration, dataCentres func() []jaybarrow.DataCentreID) bool {
	if confirmedWithin(now, local.ConfirmedAt, limit) {
		return true
	}
	live := m.LiveStates(now)
	if m.othersLostStore(now, live, limit) {
		limit += storeOutageExtension
	}
	if confirmedWithin(now, local.ConfirmedAt, limit) {
		return true
	}
	reached := map[jaybarrow.DataCentreID]bool{m.dataCentre: true}
	peerHadContact := false
	for _, s := range live {
		if confirmedWithin(now, s.ConfirmedAt, limit) && local.Applied >= s.Newest {
			return true
		}
		peerHadContact = peerHadContact || s.HadStoreContact()
		reached[s.DataCentre] = reached[s.DataCentre] || now.Sub(s.ReportedAt) <= m.timeouts.RemoteReached
	}
	if peerHadContact || local.Applied == 0 {
		return false
	}
	for _, dc := range dataCentres() {
		if !reached[dc] {
			return false
		}
	}
	return true
}

// othersLostStore reports whether an entry host of another data centre reported within limit that it has lost the store.
func (m *Members) othersLostStore(now time.Time, live []State, limit time.Duration) bool {
	return slices.ContainsFunc(live, func(s State) bool {
		return s.DataCentre != m.dataCentre && now.Sub(s.ReportedAt) <= limit && !s.HadStoreContact()
	})
}

func confirmedWithin(now, confirmed time.Time, limit time.Duration) bool {
	return !confirmed.IsZero() && now.Sub(confirmed) <= limit
}
