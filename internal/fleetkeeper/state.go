package fleetkeeper

import (
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/fleetplan"
)

// state is what the keeper remembers; its lock is never held across I/O.
type state struct {
	lock   *sync.Mutex
	listed bool
	lost   bool // the list of hosts cannot be read
	hosts  []jaybarrow.FleetHost
	up     map[jaybarrow.HostID]time.Time // since when each host has been listed as up
	orders map[jaybarrow.HostID]*order
	needs  map[jaybarrow.PoolID]*fleetplan.NeedHistory
	waves  map[jaybarrow.WaveID]*wave
}

// order is an order that may not be finished yet.
type order struct {
	to       jaybarrow.PoolID // empty: maintenance
	wave     jaybarrow.WaveID
	worker   jaybarrow.WorkerID // before the order
	sent     time.Time
	answered time.Time // zero: no answer yet
	done     bool
}

// wave is the progress of a wave.
type wave struct {
	KnownWave
	loaded   bool
	done     map[jaybarrow.HostID]bool // maintenance has begun
	stored   int
	reported jaybarrow.WaveState
}

func newState() state {
	return state{
		lock: new(sync.Mutex), up: make(map[jaybarrow.HostID]time.Time), orders: make(map[jaybarrow.HostID]*order),
		needs: make(map[jaybarrow.PoolID]*fleetplan.NeedHistory), waves: make(map[jaybarrow.WaveID]*wave),
	}
}

// replace takes over a list that was asked for at the time, and forgets orders that it shows as finished. It reports whether
// there was no answer before.
func (s *state) replace(hosts []jaybarrow.FleetHost, asked, now time.Time) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.hosts = hosts
	byID := make(map[jaybarrow.HostID]jaybarrow.FleetHost, len(hosts))
	for _, h := range hosts {
		byID[h.ID] = h
		if _, known := s.up[h.ID]; h.State != jaybarrow.FleetHostUp {
			delete(s.up, h.ID)
		} else if !known {
			s.up[h.ID] = now
		}
	}
	for id, o := range s.orders {
		h, ok := byID[id]
		if !ok || o.finished(h, asked) {
			delete(s.orders, id)
		}
	}
	regained := s.lost || !s.listed
	s.listed, s.lost = true, false
	return regained
}

// lose notes that the platform does not answer; it reports whether it did before.
func (s *state) lose() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	before := s.lost
	s.lost = true
	return !before
}

// unknownFor is how long an order without an answer may still be carried out.
const unknownFor = 4 * time.Second

// finished reports whether a list that was asked for at the time shows that the order is over.
func (o *order) finished(h jaybarrow.FleetHost, asked time.Time) bool {
	if h.State != jaybarrow.FleetHostUp || !asked.After(o.sent) {
		return false
	}
	if o.worker != h.Worker {
		return true
	}
	if o.answered.IsZero() || !o.done {
		return asked.Sub(o.sent) > unknownFor
	}
	// A finished move to the spare pool leaves a host without a worker, as it may have been before.
	return asked.After(o.answered) && (o.to == "" || o.to == h.Pool)
}

func (s *state) order(h fleetplan.Host, to jaybarrow.PoolID, wave jaybarrow.WaveID, now time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.orders[h.ID] = &order{to: to, wave: wave, worker: h.Worker, sent: now}
}

// answered notes the outcome of an order; one that certainly was not carried out is forgotten.
func (s *state) answered(id jaybarrow.HostID, outcome jaybarrow.FleetOrderOutcome, notDone bool, now time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	o := s.orders[id]
	if o == nil {
		return
	}
	o.answered, o.done = now, outcome == jaybarrow.FleetOrderDone
	if w := s.waves[o.wave]; w != nil && (o.done || outcome == jaybarrow.FleetOrderNotDue) {
		w.done[id] = true
	}
	if notDone || outcome != "" && !o.done {
		delete(s.orders, id)
	}
}
