package fleetkeeper

import (
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/fleetplan"
)

// state is the state of a Keeper between decisions; its lock is never held across I/O.
type state struct {
	lock       *sync.Mutex
	listed     bool // whether the list of hosts was ever read
	unreadable bool // whether the last attempt to read the list of hosts failed
	hosts      []jaybarrow.FleetHost
	upSince    map[jaybarrow.HostID]time.Time // time since which each host has been listed as up
	orders     map[jaybarrow.HostID]*order
	needs      map[jaybarrow.PoolID]*fleetplan.NeedHistory // samples of the hosts that each pool needs
	waves      map[jaybarrow.WaveID]*wave
}

// order is an order that may still be in progress.
type order struct {
	to       jaybarrow.PoolID // target of a move; empty for maintenance
	wave     jaybarrow.WaveID
	worker   jaybarrow.WorkerID // the host's worker before the order
	sent     time.Time
	answered time.Time // time of the platform's answer; zero before it
	done     bool      // whether the platform confirmed it as carried out
}

// wave is the progress of a wave.
type wave struct {
	KnownWave
	loaded           bool                                         // whether the stored progress was read
	calling          bool                                         // whether calls to the store are in progress for it
	maintenanceBegun map[jaybarrow.HostID]bool                    // hosts whose maintenance has begun or is not due
	storedCount      int                                          // hosts in the stored progress
	revision         jaybarrow.Revision                           // of the stored progress; 0 when there is none
	obstacles        map[jaybarrow.HostID]jaybarrow.DrainObstacle // of hosts that could not be emptied at the last try; empty for the others
	reported         jaybarrow.WaveStatus                         // last status reported to operators; without a state before the first report
	reportedAt       time.Time
}

func newState() state {
	return state{
		lock: new(sync.Mutex), upSince: make(map[jaybarrow.HostID]time.Time), orders: make(map[jaybarrow.HostID]*order),
		needs: make(map[jaybarrow.PoolID]*fleetplan.NeedHistory), waves: make(map[jaybarrow.WaveID]*wave),
	}
}

// replaceHosts stores a list of hosts that was requested at requestedAt, and removes the orders that it shows as finished. It
// reports whether the previous attempt failed or there was none.
func (s *state) replaceHosts(hosts []jaybarrow.FleetHost, requestedAt, now time.Time) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.hosts = hosts
	byID := make(map[jaybarrow.HostID]jaybarrow.FleetHost, len(hosts))
	for _, h := range hosts {
		byID[h.ID] = h
		if _, known := s.upSince[h.ID]; h.State != jaybarrow.FleetHostUp {
			delete(s.upSince, h.ID)
		} else if !known {
			s.upSince[h.ID] = now
		}
	}
	for id, o := range s.orders {
		h, ok := byID[id]
		if !ok || o.finished(h, requestedAt) {
			delete(s.orders, id)
		}
	}
	regained := s.unreadable || !s.listed
	s.listed, s.unreadable = true, false
	return regained
}

// markUnreadable records that the list of hosts cannot be read; it reports whether this is the first failure in a row.
func (s *state) markUnreadable() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	before := s.unreadable
	s.unreadable = true
	return !before
}

// unansweredOrderWindow is how long after it was sent an unanswered order may still be carried out.
const unansweredOrderWindow = 4 * time.Second

// finished reports whether the order is over, according to the host's entry in a list that was requested at requestedAt.
func (o *order) finished(h jaybarrow.FleetHost, requestedAt time.Time) bool {
	if h.State != jaybarrow.FleetHostUp || !requestedAt.After(o.sent) {
		return false
	}
	if o.worker != h.Worker {
		return true
	}
	if o.answered.IsZero() || !o.done {
		return requestedAt.Sub(o.sent) > unansweredOrderWindow
	}
	// The worker alone does not show a move to the spare pool: the host has no worker after it, and may have had none before.
	return requestedAt.After(o.answered) && (o.to == "" || o.to == h.Pool)
}

// recordOrder records an order that is about to be sent, and returns it.
func (s *state) recordOrder(h fleetplan.Host, to jaybarrow.PoolID, wave jaybarrow.WaveID, now time.Time) *order {
	s.lock.Lock()
	defer s.lock.Unlock()
	o := &order{to: to, wave: wave, worker: h.Worker, sent: now}
	s.orders[h.ID] = o
	return o
}

// recordOutcome records the outcome of the order, for the wave that it was sent for; an order that was certainly not carried out is removed.
func (s *state) recordOutcome(id jaybarrow.HostID, o *order, outcome jaybarrow.FleetOrderOutcome, notRun bool, now time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	o.answered, o.done = now, outcome == jaybarrow.FleetOrderDone
	if w := s.waves[o.wave]; w != nil && (o.done || outcome == jaybarrow.FleetOrderNotDue) {
		w.maintenanceBegun[id] = true
	}
	if s.orders[id] == o && (notRun || outcome != "" && !o.done) {
		delete(s.orders, id)
	}
}
