package experiment

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/balance"
	"github.com/jaybarrow/jaybarrow/internal/drain"
)

// balancedPolicy returns the policy that begins the moves that package balance decides, with a sample of the loads at each tick.
func balancedPolicy(economy float64) func(*movesFleet) {
	settings := balance.DefaultSettings()
	settings.Economy = economy
	b := balance.New(settings)
	missed := make(map[jaybarrow.PoolID]int64)
	return func(m *movesFleet) {
		fleet, samples := m.balanceView(missed)
		b.Observe(m.loop.now, samples)
		for _, move := range b.Decide(m.loop.now, fleet) {
			m.beginMove(move.Host, move.From, move.To)
		}
	}
}

// balanceView returns the fleet and the loads as package balance takes them. It counts missed targets since the last call and keeps
// their totals in missed.
func (m *movesFleet) balanceView(missed map[jaybarrow.PoolID]int64) (fleet balance.Fleet, samples []balance.Sample) {
	for _, id := range m.poolIDs {
		view, record := m.view(id), m.records[id]
		fleet.Pools = append(fleet.Pools, balance.Pool{
			ID: id, Spare: view.Pool.Spare, MaxUnavailable: view.Pool.MaxUnavailable,
			Unavailable: drain.Unavailable(record, view, ""), Hosts: len(view.Hosts),
		})
		moving := 0
		for _, d := range record.Drains {
			if d.Purpose == jaybarrow.PurposeMove {
				moving++
				fleet.Moves = append(fleet.Moves, balance.ActiveMove{From: id, To: d.MoveTo})
			}
		}
		load := m.schedulerByPool[id].pool.Load(m.loop.now)
		capacity := jaybarrow.Slots((len(view.Hosts) - moving) * workerSlots)
		samples = append(samples, balance.Sample{
			Pool: id, Capacity: capacity, Running: jaybarrow.Slots(load.Running), Waiting: jaybarrow.Slots(load.Waiting),
			Missed: load.Missed - missed[id],
		})
		missed[id] = load.Missed
	}
	for _, h := range m.hosts {
		d, draining := m.draining(h)
		fleet.Hosts = append(fleet.Hosts, balance.Host{
			ID: h.id, Pool: h.pool, Slots: workerSlots, Accepting: !draining,
			Rebooting: draining && d.Purpose != jaybarrow.PurposeMove, RebootPending: slices.Contains(m.records[h.pool].Pending, h.id),
		})
	}
	return fleet, samples
}

// moveAtOnce is the policy that moves a host from the spare pool to each pool with waiting work and no free slot, and one to the
// spare pool from each pool without waiting work that has the slots of two hosts free, as far as the availability budgets allow.
func moveAtOnce(m *movesFleet) {
	for _, id := range m.poolIDs[:movesPools] {
		load := m.schedulerByPool[id].pool.Load(m.loop.now)
		switch {
		case load.Waiting > 0 && load.FreeSlots == 0:
			m.moveLeastBusy(sparePool, id)
		case load.Waiting == 0 && load.FreeSlots >= 2*workerSlots:
			m.moveLeastBusy(id, sparePool)
		}
	}
}

// moveLeastBusy moves the host with the fewest used slots among those that are not draining.
func (m *movesFleet) moveLeastBusy(from, to jaybarrow.PoolID) {
	var least *movesHost
	for _, h := range m.hosts {
		if _, draining := m.draining(h); h.pool == from && !draining && (least == nil || h.used < least.used) {
			least = h
		}
	}
	if least != nil {
		m.beginMove(least.id, from, to)
	}
}

// generateLoad starts the Poisson arrivals of quick and slow jobs for each pool. The quick arrivals are generated at the highest
// rate and thinned to the current one.
func (m *movesFleet) generateLoad(seed uint64) {
	for i, id := range m.poolIDs[:movesPools] {
		r := rand.New(rand.NewPCG(seed, uint64(100+i)))
		offset := time.Duration(i) * movesPeriod / movesPools
		quickSlots := func(at time.Duration) float64 {
			slots := movesPeakLoad * lullFactor / burstFactor
			if (at+movesPeriod-offset)%movesPeriod < movesBurstLength {
				slots = movesPeakLoad
			}
			if i == 0 && at >= shiftFrom && at < shiftTo {
				slots += movesShiftLoad
			}
			return slots
		}
		m.generateArrivals(r, (movesPeakLoad+movesShiftLoad)/movesQuickRun.Seconds(), func(at time.Duration) {
			if r.Float64()*(movesPeakLoad+movesShiftLoad) < quickSlots(at) {
				m.submitQuickJob(r, id, at)
			}
		})
		m.generateArrivals(r, movesSlowLoad/movesSlowRun.Seconds(), func(time.Duration) {
			run := logNormal(r, movesSlowRun, 0.5)
			m.submitTo(m.schedulerByPool[id], &job{
				team: "slow", queue: "slow", class: jaybarrow.ClassSlow, share: 1, slots: 1, run: run,
				declared: time.Duration(randomFactor(r) * float64(run)), target: 30 * time.Minute, onEnd: func(outcome) {},
			})
		})
	}
}

// generateArrivals calls arrive at the events of a Poisson process. Each event schedules the next one, which keeps the event queue
// short.
func (m *movesFleet) generateArrivals(r *rand.Rand, perSecond float64, arrive func(time.Duration)) {
	var next func()
	next = func() {
		arrive(m.loop.elapsed())
		m.loop.after(seconds(r.ExpFloat64()/perSecond), next)
	}
	m.loop.after(seconds(r.ExpFloat64()/perSecond), next)
}

// submitQuickJob submits a quick job of a random team of the firm and counts its outcome.
func (m *movesFleet) submitQuickJob(r *rand.Rand, id jaybarrow.PoolID, at time.Duration) {
	run, team := logNormal(r, movesQuickRun, 0.5), r.IntN(len(m.firm.shares))
	j := &job{
		team: jaybarrow.TeamID(rune('a' + team)), queue: "quick", class: jaybarrow.ClassQuick, share: m.firm.shares[team], slots: 1,
		run: run, declared: time.Duration(randomFactor(r) * float64(run)), target: movesQuickTarget,
	}
	m.shares.shares[j.team] = j.share
	m.quick.offered++
	j.onEnd = func(o outcome) {
		if o.inTime {
			m.quick.inTime++
		}
		m.shares.add(id, at, j, o.inTime)
	}
	m.submitTo(m.schedulerByPool[id], j)
}
