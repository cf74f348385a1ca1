package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/drain"
	"github.com/jaybarrow/jaybarrow/internal/estimate"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

const sparePool jaybarrow.PoolID = "spare"

// movesHost is a host with a worker that refuses jobs for which it has no free slots, and all jobs while the host drains.
type movesHost struct {
	id   jaybarrow.HostID
	pool jaybarrow.PoolID
	rack jaybarrow.RackID
	used jaybarrow.Slots
}

// movesFleet simulates the hosts, a scheduler for each pool, and the drains, and collects the figures.
type movesFleet struct {
	*cluster
	variant         movesVariant
	firm            firm
	poolIDs         []jaybarrow.PoolID // the spare pool is last
	schedulerByPool map[jaybarrow.PoolID]*scheduler
	hosts           []*movesHost
	hostByID        map[jaybarrow.HostID]*movesHost
	records         map[jaybarrow.PoolID]jaybarrow.PoolDrains // the drain records
	changed         bool                                      // whether the hosts of a pool, or their drains, have changed since setHosts

	quick                     requestCounts
	shares                    shareWindows
	started, refused          float64
	moves                     int
	ticks, spareSum, spareMax float64 // hosts of the spare pool, summed over the ticks and at most
	waveEnded                 time.Time
	rebooted                  map[jaybarrow.HostID]bool
	shortestRollOut           time.Duration // of the wave; 0 before the wave begins
}

func newMovesFleet(seed uint64, f firm, v movesVariant) *movesFleet {
	r := rand.New(rand.NewPCG(seed, 1))
	m := &movesFleet{
		cluster: &cluster{loop: newLoop(), rand: r, onAttemptEnd: func(*job, jaybarrow.HostID, time.Time, time.Time) {}},
		variant: v, firm: f, schedulerByPool: make(map[jaybarrow.PoolID]*scheduler), hostByID: make(map[jaybarrow.HostID]*movesHost),
		records: make(map[jaybarrow.PoolID]jaybarrow.PoolDrains), rebooted: make(map[jaybarrow.HostID]bool),
		shares: shareWindows{
			shares: make(map[jaybarrow.TeamID]jaybarrow.Share), windows: make(map[shareWindow]map[jaybarrow.TeamID]*teamWork),
		},
	}
	m.execute = m.runOnWorker
	for i := range movesPools {
		m.poolIDs = append(m.poolIDs, jaybarrow.PoolID(fmt.Sprint("pool", i)))
	}
	m.poolIDs = append(m.poolIDs, sparePool)
	settings := schedule.Settings{MaxWaiting: 10000, Admission: true, QuickReserve: 0.25, GatherAfter: 4}
	for _, id := range m.poolIDs {
		s := &scheduler{
			pool: schedule.New(settings, newFairShare(), newTwoChoices(r)), admitQuantile: 0.9, estimates: estimate.New(4096),
			jobs: make(map[jaybarrow.RequestID]*job), hosts: make(map[jaybarrow.HostID]*hostSignals), retryBudget: 1,
		}
		m.schedulerByPool[id] = s
		m.schedulers = append(m.schedulers, s)
	}
	for i := range movesHosts {
		h := &movesHost{id: hostID(i), pool: sparePool, rack: jaybarrow.RackID(fmt.Sprintf("r%02d", i/movesRackSize))}
		if pooled := movesHosts - v.spareHosts; i < pooled {
			h.pool = m.poolIDs[i*movesPools/pooled]
		}
		m.hosts = append(m.hosts, h)
		m.hostByID[h.id] = h
		for _, s := range m.schedulers {
			s.hosts[h.id] = &hostSignals{}
		}
	}
	m.setHosts()
	m.tick()
	m.loop.at(epoch.Add(movesWaveAt), m.beginWave)
	return m
}

// runOnWorker runs the job on the host's worker or refuses it. The slots become free at the end of the run, whichever pool the job
// came from.
func (m *movesFleet) runOnWorker(id jaybarrow.HostID, j *job) attempt {
	h := m.hostByID[id]
	m.started++
	if _, draining := m.draining(h); draining || h.used+j.slots > workerSlots {
		m.refused++
		return attempt{duration: time.Millisecond, kind: jaybarrow.KindWorkerRefused}
	}
	h.used += j.slots
	m.loop.after(j.run, func() { h.used -= j.slots })
	return attempt{duration: j.run}
}

// draining returns the drain of the host, if there is one.
func (m *movesFleet) draining(h *movesHost) (jaybarrow.Drain, bool) {
	d, ok := m.records[h.pool].Drains[h.id]
	return d, ok
}

// setHosts passes each scheduler the hosts of its pool and the hosts that it may borrow from the spare pool.
func (m *movesFleet) setHosts() {
	views := make(map[jaybarrow.PoolID][]schedule.HostView)
	for _, h := range m.hosts {
		_, draining := m.draining(h)
		v := schedule.HostView{ID: h.id, Capacity: jaybarrow.Demand{Slots: workerSlots}, Accepting: !draining}
		views[h.pool] = append(views[h.pool], v)
		if v.Borrowed = true; h.pool != sparePool || draining || !m.variant.borrow {
			continue
		}
		for _, id := range m.poolIDs[:movesPools] {
			views[id] = append(views[id], v)
		}
	}
	for _, id := range m.poolIDs {
		m.schedulerByPool[id].pool.SetHosts(views[id])
		m.dispatch(m.schedulerByPool[id])
	}
	m.changed = false
}

// view returns the pool with its hosts, as package drain takes it.
func (m *movesFleet) view(id jaybarrow.PoolID) drain.View {
	v := drain.View{Pool: jaybarrow.Pool{ID: id, MaxUnavailable: movesPoolBudget}}
	if id == sparePool {
		v.Pool.Spare, v.Pool.MaxUnavailable = true, movesSpareBudget
	}
	for _, h := range m.hosts {
		if h.pool == id {
			v.Hosts = append(v.Hosts, drain.Host{ID: h.id, Rack: h.rack})
		}
	}
	return v
}

// tick advances the drains and the wave, lets the policy begin moves, samples the number of spare hosts, and schedules the next
// tick.
func (m *movesFleet) tick() {
	for _, id := range m.poolIDs {
		for _, h := range m.hosts {
			if d, ok := m.records[id].Drains[h.id]; ok {
				m.stepDrain(id, h, d)
			}
		}
		m.stepWave(id)
	}
	if m.variant.policy != nil {
		m.variant.policy(m)
	}
	if m.changed {
		m.setHosts()
	}
	m.recordWaveEnd()
	spare := float64(len(m.view(sparePool).Hosts))
	m.ticks, m.spareSum, m.spareMax = m.ticks+1, m.spareSum+spare, max(m.spareMax, spare)
	m.loop.after(movesTick, m.tick)
}

// stepDrain moves a drain to its next phase, or removes it when its purpose is met, if that is possible now.
func (m *movesFleet) stepDrain(id jaybarrow.PoolID, h *movesHost, d jaybarrow.Drain) {
	now, record := m.loop.now, m.records[id]
	var err error
	switch {
	case d.Phase == jaybarrow.PhaseDraining && h.used == 0:
		record, err = drain.Advance(record, d, jaybarrow.PhaseDrained, now)
	case d.Phase == jaybarrow.PhaseDrained && d.Purpose == jaybarrow.PurposeMove:
		h.pool = d.MoveTo
		record, err = drain.Remove(record, d, now)
		m.changed = true
	case d.Phase == jaybarrow.PhaseDrained:
		record, err = drain.Advance(record, d, jaybarrow.PhaseRebooting, now)
	case d.Phase == jaybarrow.PhaseRebooting && now.Sub(time.UnixMilli(d.PhaseMs)) >= movesRebootTime:
		record, err = drain.Remove(record, d, now)
		m.changed, m.rebooted[h.id] = true, true
	}
	if err != nil {
		panic(fmt.Sprintf("advance the drain of %s: %v", h.id, err))
	}
	m.records[id] = record
}

// stepWave begins as many reboots of the pool's wave as the availability budget allows.
func (m *movesFleet) stepWave(id jaybarrow.PoolID) {
	if len(m.records[id].Pending) == 0 {
		return
	}
	record, _ := drain.PruneWave(m.records[id], m.view(id), m.loop.now)
	m.records[id] = record
	for {
		host, ok := drain.NextOfWave(m.records[id], m.view(id), "")
		if !ok || !m.beginDrain(id, jaybarrow.Drain{Host: host, Purpose: jaybarrow.PurposeReboot, Wave: true}) {
			return
		}
	}
}

// beginDrain begins a drain and reports whether the availability budget allowed it.
func (m *movesFleet) beginDrain(id jaybarrow.PoolID, d jaybarrow.Drain) bool {
	record, err := drain.Begin(m.records[id], m.view(id), d, m.loop.now)
	if err != nil {
		return false
	}
	m.records[id], m.changed = record, true
	return true
}

// beginMove begins a move and reports whether the availability budget allowed it.
func (m *movesFleet) beginMove(host jaybarrow.HostID, from, to jaybarrow.PoolID) bool {
	ok := m.beginDrain(from, jaybarrow.Drain{Host: host, Purpose: jaybarrow.PurposeMove, MoveTo: to})
	if ok {
		m.moves++
	}
	return ok
}

// recordWaveEnd records the time at which the wave has ended in all pools.
func (m *movesFleet) recordWaveEnd() {
	if m.shortestRollOut == 0 || !m.waveEnded.IsZero() {
		return
	}
	for _, id := range m.poolIDs {
		if m.records[id].WaveEndedMs == 0 {
			return
		}
	}
	m.waveEnded = m.loop.now
}
