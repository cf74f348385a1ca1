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
	asked  time.Time
	hosts  []jaybarrow.FleetHost
	orders map[jaybarrow.HostID]*order
	// reserved are workers that are emptied for a wave.
	reserved map[jaybarrow.HostID]jaybarrow.WorkerID
	needs    map[jaybarrow.PoolID]*need
	waves    map[jaybarrow.WaveID]*wave
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

// need is the recent need of a pool.
type need struct {
	samples []sample
	low     time.Time // since when the need has been low
}

type sample struct {
	at    time.Time
	hosts float64
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
		lock: new(sync.Mutex), orders: make(map[jaybarrow.HostID]*order), reserved: make(map[jaybarrow.HostID]jaybarrow.WorkerID),
		needs: make(map[jaybarrow.PoolID]*need), waves: make(map[jaybarrow.WaveID]*wave),
	}
}

// replace takes over a list that was asked for at the time, and forgets orders that it shows as finished.
func (s *state) replace(hosts []jaybarrow.FleetHost, asked time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.listed, s.hosts, s.asked = true, hosts, asked
	byID := make(map[jaybarrow.HostID]jaybarrow.FleetHost, len(hosts))
	for _, h := range hosts {
		byID[h.ID] = h
	}
	for id, o := range s.orders {
		h, ok := byID[id]
		if !ok || o.finished(h, asked) {
			delete(s.orders, id)
		}
	}
	for id, worker := range s.reserved {
		if h, ok := byID[id]; !ok || h.Worker != worker {
			delete(s.reserved, id)
		}
	}
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

func (s *state) reserve(host jaybarrow.HostID, worker jaybarrow.WorkerID) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.reserved[host] = worker
}

func (s *state) order(h fleetplan.Host, to jaybarrow.PoolID, wave jaybarrow.WaveID, now time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.orders[h.ID] = &order{to: to, wave: wave, worker: h.Worker, sent: now}
}

// answered notes the outcome of an order; it returns its wave and the worker that was reserved for it.
func (s *state) answered(id jaybarrow.HostID, outcome jaybarrow.FleetOrderOutcome, refused bool, now time.Time) (jaybarrow.WaveID, jaybarrow.WorkerID) {
	s.lock.Lock()
	defer s.lock.Unlock()
	o := s.orders[id]
	if o == nil {
		return 0, ""
	}
	o.answered, o.done = now, outcome == jaybarrow.FleetOrderDone
	if w := s.waves[o.wave]; w != nil && (o.done || outcome == jaybarrow.FleetOrderNotDue) {
		w.done[id] = true
	}
	if refused {
		delete(s.orders, id)
	}
	return o.wave, o.worker
}
