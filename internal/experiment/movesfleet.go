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

// movesHost is a worker's host; it refuses what does not fit, and everything while it drains.
type movesHost struct {
	id   jaybarrow.HostID
	pool jaybarrow.PoolID
	rack jaybarrow.RackID
	used jaybarrow.Slots
}

// movesFleet is the hosts, one scheduler for each pool, and the drains.
type movesFleet struct {
	*cluster
	variant movesVariant
	firm    firm
	ids     []jaybarrow.PoolID // the spare pool is last
	byPool  map[jaybarrow.PoolID]*domain
	hosts   []*movesHost
	byID    map[jaybarrow.HostID]*movesHost
	records map[jaybarrow.PoolID]jaybarrow.PoolDrains
	changed bool // the hosts of some pool, or what they accept

	quick                      counts
	shares                     shareWindows
	started, refused           float64
	moves                      int
	ticks, spareSum, spareMost float64
	waveEnded                  time.Time
	rebooted                   map[jaybarrow.HostID]bool
	shortest                   time.Duration // of the wave
}

func newMovesFleet(seed uint64, f firm, v movesVariant) *movesFleet {
	r := rand.New(rand.NewPCG(seed, 1))
	m := &movesFleet{
		cluster: &cluster{loop: newLoop(), rand: r, served: func(*job, jaybarrow.HostID, time.Time, time.Time) {}},
		variant: v, firm: f, byPool: make(map[jaybarrow.PoolID]*domain), byID: make(map[jaybarrow.HostID]*movesHost),
		records: make(map[jaybarrow.PoolID]jaybarrow.PoolDrains), rebooted: make(map[jaybarrow.HostID]bool),
		shares: shareWindows{
			shares: make(map[jaybarrow.TeamID]jaybarrow.Share), windows: make(map[shareWindow]map[jaybarrow.TeamID]*answeredWork),
		},
	}
	m.behave = m.work
	for i := range movesPools {
		m.ids = append(m.ids, jaybarrow.PoolID(fmt.Sprint("pool", i)))
	}
	m.ids = append(m.ids, sparePool)
	settings := schedule.Settings{MaxWaiting: 10000, Admission: true, QuickReserve: 0.25, GatherAfter: 4}
	for _, id := range m.ids {
		d := &domain{
			pool: schedule.New(settings, newFairShare(), newTwoChoices(r)), admitBy: 0.9, estimates: estimate.New(4096),
			jobs: make(map[jaybarrow.RequestID]*job), hosts: make(map[jaybarrow.HostID]*hostSignals), budget: 1,
		}
		m.byPool[id] = d
		m.domains = append(m.domains, d)
	}
	for i := range movesHosts {
		h := &movesHost{id: hostID(i), pool: sparePool, rack: jaybarrow.RackID(fmt.Sprintf("r%02d", i/movesRack))}
		if pooled := movesHosts - v.spare; i < pooled {
			h.pool = m.ids[i*movesPools/pooled]
		}
		m.hosts = append(m.hosts, h)
		m.byID[h.id] = h
		for _, d := range m.domains {
			d.hosts[h.id] = &hostSignals{}
		}
	}
	m.setHosts()
	m.tick()
	m.loop.at(epoch.Add(movesWave), m.beginWave)
	return m
}

// work is the worker: the slot becomes free at the end of the run, whichever pool the job came from.
func (m *movesFleet) work(id jaybarrow.HostID, j *job) attempt {
	h := m.byID[id]
	m.started++
	if _, draining := m.draining(h); draining || h.used+j.slots > workerSlots {
		m.refused++
		return attempt{took: time.Millisecond, kind: jaybarrow.KindWorkerRefused}
	}
	h.used += j.slots
	m.loop.after(j.run, func() { h.used -= j.slots })
	return attempt{took: j.run}
}

func (m *movesFleet) draining(h *movesHost) (jaybarrow.Drain, bool) {
	d, ok := m.records[h.pool].Drains[h.id]
	return d, ok
}

// setHosts tells each scheduler its hosts, and the hosts that the spare pool lends it.
func (m *movesFleet) setHosts() {
	views := make(map[jaybarrow.PoolID][]schedule.HostView)
	for _, h := range m.hosts {
		_, draining := m.draining(h)
		v := schedule.HostView{ID: h.id, Capacity: jaybarrow.Demand{Slots: workerSlots}, Accepting: !draining}
		views[h.pool] = append(views[h.pool], v)
		if v.Borrowed = true; h.pool != sparePool || draining || !m.variant.borrow {
			continue
		}
		for _, id := range m.ids[:movesPools] {
			views[id] = append(views[id], v)
		}
	}
	for _, id := range m.ids {
		m.byPool[id].pool.SetHosts(views[id])
		m.dispatch(m.byPool[id])
	}
	m.changed = false
}

func (m *movesFleet) view(id jaybarrow.PoolID) drain.View {
	v := drain.View{Pool: jaybarrow.Pool{ID: id, MaxUnavailable: movesBudget}}
	if id == sparePool {
		v.Pool.Spare, v.Pool.MaxUnavailable = true, spareBudget
	}
	for _, h := range m.hosts {
		if h.pool == id {
			v.Hosts = append(v.Hosts, drain.Host{ID: h.id, Rack: h.rack})
		}
	}
	return v
}

// tick takes the steps of the drains and the wave, lets the policy begin moves, and counts the spare hosts.
func (m *movesFleet) tick() {
	for _, id := range m.ids {
		for _, h := range m.hosts {
			if d, ok := m.records[id].Drains[h.id]; ok {
				m.step(id, h, d)
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
	m.noteWave()
	spare := float64(len(m.view(sparePool).Hosts))
	m.ticks, m.spareSum, m.spareMost = m.ticks+1, m.spareSum+spare, max(m.spareMost, spare)
	m.loop.after(movesTick, m.tick)
}

func (m *movesFleet) step(id jaybarrow.PoolID, h *movesHost, d jaybarrow.Drain) {
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
	case d.Phase == jaybarrow.PhaseRebooting && now.Sub(time.UnixMilli(d.PhaseMs)) >= movesReboot:
		record, err = drain.Remove(record, d, now)
		m.changed, m.rebooted[h.id] = true, true
	}
	if err != nil {
		panic(fmt.Sprintf("step of the drain of %s: %v", h.id, err))
	}
	m.records[id] = record
}

func (m *movesFleet) stepWave(id jaybarrow.PoolID) {
	if len(m.records[id].Pending) == 0 {
		return
	}
	record, _ := drain.PruneWave(m.records[id], m.view(id), m.loop.now)
	m.records[id] = record
	for {
		host, ok := drain.NextOfWave(m.records[id], m.view(id), "")
		if !ok || !m.begin(id, jaybarrow.Drain{Host: host, Purpose: jaybarrow.PurposeReboot, Wave: true}) {
			return
		}
	}
}

// begin begins a drain if the budget allows it.
func (m *movesFleet) begin(id jaybarrow.PoolID, d jaybarrow.Drain) bool {
	record, err := drain.Begin(m.records[id], m.view(id), d, m.loop.now)
	if err != nil {
		return false
	}
	m.records[id], m.changed = record, true
	return true
}

// beginMove begins a move and counts it.
func (m *movesFleet) beginMove(host jaybarrow.HostID, from, to jaybarrow.PoolID) bool {
	begun := m.begin(from, jaybarrow.Drain{Host: host, Purpose: jaybarrow.PurposeMove, MoveTo: to})
	if begun {
		m.moves++
	}
	return begun
}

// noteWave notes the end of the waves over all pools.
func (m *movesFleet) noteWave() {
	if m.shortest == 0 || !m.waveEnded.IsZero() {
		return
	}
	for _, id := range m.ids {
		if m.records[id].WaveEndedMs == 0 {
			return
		}
	}
	m.waveEnded = m.loop.now
}
