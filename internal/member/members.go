package member

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/rendezvous"
	"github.com/jaybarrow/jaybarrow/internal/shard"
)

// Members holds the last known state of each other entry host, in shards by id.
type Members struct {
	self       jaybarrow.EntryID
	dataCentre jaybarrow.DataCentreID
	timeouts   Timeouts
	addresses  map[jaybarrow.EntryID]jaybarrow.Address
	states     *shard.Map[jaybarrow.EntryID, State]
	// sorted is a copy of states in order of id that each request reads. It is nil after a change, which increments version.
	sorted  atomic.Pointer[[]State]
	version atomic.Int64
}

// New returns Members without any state. An address in addresses, which come from the settings, takes precedence over the
// one that an entry host advertises, since the route to it may differ between data centres.
func New(self jaybarrow.EntryID, dataCentre jaybarrow.DataCentreID, timeouts Timeouts, addresses map[jaybarrow.EntryID]jaybarrow.Address) *Members {
	return &Members{
		self: self, dataCentre: dataCentre, timeouts: timeouts, addresses: addresses,
		states: shard.New[jaybarrow.EntryID, State](),
	}
}

// Observe stores a state if it is newer than the known one, and reports whether it did.
func (m *Members) Observe(s State) bool {
	if s.ID == m.self {
		return false
	}
	s.AdvertisedAddress = s.PeerAddress
	if address, ok := m.addresses[s.ID]; ok {
		s.PeerAddress = address
	}
	accepted := false
	m.states.Update(s.ID, func(old State, present bool) (State, bool) {
		if present && !s.newer(old) {
			return old, true
		}
		accepted = true
		return s, true
	})
	if accepted {
		m.invalidateSorted()
	}
	return accepted
}

func (m *Members) invalidateSorted() {
	m.version.Add(1)
	m.sorted.Store(nil)
}

// expireAfter is how long the state of an entry host that sends no heartbeat is kept. Without expiry the states would grow
// without bound, because entry hosts are replaced under new ids.
const expireAfter = time.Hour

// Expire removes the states of entry hosts that have sent no heartbeat for expireAfter.
func (m *Members) Expire(now time.Time) {
	for _, s := range m.all() {
		if now.Sub(s.ReportedAt) > expireAfter {
			m.states.Delete(s.ID)
			m.invalidateSorted()
		}
	}
}

// Known returns all states, live or not, in order of id.
func (m *Members) Known() []State { return slices.Clone(m.all()) }

// all returns the shared copy of all states, in order of id. The caller must not change it.
func (m *Members) all() []State {
	if sorted := m.sorted.Load(); sorted != nil {
		return *sorted
	}
	version := m.version.Load()
	sorted := []State{}
	m.states.Each(func(_ jaybarrow.EntryID, s State) { sorted = append(sorted, s) })
	slices.SortFunc(sorted, func(a, b State) int { return strings.Compare(string(a.ID), string(b.ID)) })
	m.sorted.Store(&sorted)
	if m.version.Load() != version {
		m.sorted.Store(nil) // a state changed while it was copied
	}
	return sorted
}

// Get returns the last known state of an entry host.
func (m *Members) Get(id jaybarrow.EntryID) (State, bool) { return m.states.Get(id) }

// Live reports whether the state was sent recently and the entry host is not leaving.
func (m *Members) Live(now time.Time, s State) bool { return !s.Leaving && m.reportedRecently(now, s) }

func (m *Members) reportedRecently(now time.Time, s State) bool {
	limit := m.timeouts.Remote
	if s.DataCentre == m.dataCentre {
		limit = m.timeouts.Local
	}
	return now.Sub(s.ReportedAt) <= limit
}

// RecentStates returns the states of the other entry hosts that sent one recently, leaving ones included, in order of id.
func (m *Members) RecentStates(now time.Time) []State {
	return m.filter(func(s State) bool { return m.reportedRecently(now, s) })
}

// LiveStates returns the states of the other live entry hosts, in order of id.
func (m *Members) LiveStates(now time.Time) []State {
	return m.filter(func(s State) bool { return m.Live(now, s) })
}

func (m *Members) filter(keep func(State) bool) []State {
	all := m.all()
	kept := make([]State, 0, len(all))
	for _, s := range all {
		if keep(s) {
			kept = append(kept, s)
		}
	}
	return kept
}

// Owner returns the entry host that schedules the pool in the data centre, and false when there is none. This entry host is a
// candidate when selfReady is set; entry hosts in avoid are not.
func (m *Members) Owner(now time.Time, pool jaybarrow.PoolID, dataCentre jaybarrow.DataCentreID, selfReady bool, avoid map[jaybarrow.EntryID]bool) (jaybarrow.EntryID, bool) {
	var candidates []jaybarrow.EntryID
	if selfReady && dataCentre == m.dataCentre && !avoid[m.self] {
		candidates = append(candidates, m.self)
	}
	for _, s := range m.LiveStates(now) {
		if s.DataCentre == dataCentre && s.Ready && !avoid[s.ID] {
			candidates = append(candidates, s.ID)
		}
	}
	return rendezvous.Owner(string(pool), candidates)
}

// LeavingOwner returns the entry host that schedules the pool among those of the data centre that are leaving and sent a
// state recently. One without a successor still schedules its pools.
func (m *Members) LeavingOwner(now time.Time, pool jaybarrow.PoolID, dataCentre jaybarrow.DataCentreID, avoid map[jaybarrow.EntryID]bool) (jaybarrow.EntryID, bool) {
	var candidates []jaybarrow.EntryID
	for _, s := range m.RecentStates(now) {
		if s.DataCentre == dataCentre && s.Leaving && !avoid[s.ID] {
			candidates = append(candidates, s.ID)
		}
	}
	return rendezvous.Owner(string(pool), candidates)
}

// Relay returns the entry host that exchanges heartbeats with other data centres on behalf of the data centre.
func (m *Members) Relay(now time.Time, dataCentre jaybarrow.DataCentreID) (jaybarrow.EntryID, bool) {
	var candidates []jaybarrow.EntryID
	if dataCentre == m.dataCentre {
		candidates = append(candidates, m.self)
	}
	for _, s := range m.LiveStates(now) {
		if s.DataCentre == dataCentre {
			candidates = append(candidates, s.ID)
		}
	}
	return rendezvous.Owner("relay/"+string(dataCentre), candidates)
}
