package experiment

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/balance"
	"github.com/jaybarrow/jaybarrow/internal/drain"
)

// balancedPolicy moves what package balance decides, each second as package mover does.
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

func (m *movesFleet) balanceView(missed map[jaybarrow.PoolID]int64) (fleet balance.Fleet, samples []balance.Sample) {
	for _, id := range m.ids {
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
		load := m.byPool[id].pool.Load(m.loop.now)
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

// moveAtOnce gives a host to each pool with waiting work and no free slot, and takes one from each pool that has two hosts' slots
// free, as far as the budgets allow.
func moveAtOnce(m *movesFleet) {
	for _, id := range m.ids[:movesPools] {
		load := m.byPool[id].pool.Load(m.loop.now)
		switch {
		case load.Waiting > 0 && load.FreeSlots == 0:
			m.moveAny(sparePool, id)
		case load.Waiting == 0 && load.FreeSlots >= 2*workerSlots:
			m.moveAny(id, sparePool)
		}
	}
}

// moveAny moves the host with the least running work.
func (m *movesFleet) moveAny(from, to jaybarrow.PoolID) {
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

// load generates Poisson arrivals for each pool.
func (m *movesFleet) load(seed uint64) {
	for i, id := range m.ids[:movesPools] {
		r := rand.New(rand.NewPCG(seed, uint64(100+i)))
		offset := time.Duration(i) * movesPeriod / movesPools
		quickSlots := func(at time.Duration) float64 {
			slots := movesPeak * lullFactor / burstFactor
			if (at+movesPeriod-offset)%movesPeriod < movesBurst {
				slots = movesPeak
			}
			if i == 0 && at >= shiftFrom && at < shiftTo {
				slots += movesShift
			}
			return slots
		}
		m.arrivals(r, (movesPeak+movesShift)/movesRun.Seconds(), func(at time.Duration) {
			if r.Float64()*(movesPeak+movesShift) < quickSlots(at) {
				m.quickJob(r, id, at)
			}
		})
		m.arrivals(r, movesSlow/movesSlowRun.Seconds(), func(time.Duration) {
			run := logNormal(r, movesSlowRun, 0.5)
			m.submitTo(m.byPool[id], &job{
				team: "slow", queue: "slow", class: jaybarrow.ClassSlow, share: 1, slots: 1, run: run,
				declared: time.Duration(declaresAnything(r) * float64(run)), target: 30 * time.Minute, done: func(outcome) {},
			})
		})
	}
}

// arrivals calls arrive at the events of a Poisson process; each event schedules the next one, so that few are kept.
func (m *movesFleet) arrivals(r *rand.Rand, perSecond float64, arrive func(time.Duration)) {
	var next func()
	next = func() {
		arrive(m.loop.elapsed())
		m.loop.after(seconds(r.ExpFloat64()/perSecond), next)
	}
	m.loop.after(seconds(r.ExpFloat64()/perSecond), next)
}

func (m *movesFleet) quickJob(r *rand.Rand, id jaybarrow.PoolID, at time.Duration) {
	run, team := logNormal(r, movesRun, 0.5), r.IntN(len(m.firm.shares))
	j := &job{
		team: jaybarrow.TeamID(rune('a' + team)), queue: "quick", class: jaybarrow.ClassQuick, share: m.firm.shares[team], slots: 1,
		run: run, declared: time.Duration(declaresAnything(r) * float64(run)), target: movesTarget,
	}
	m.shares.shares[j.team] = j.share
	m.quick.offered++
	j.done = func(o outcome) {
		if o.inTime {
			m.quick.inTime++
		}
		m.shares.add(id, at, j, o.inTime)
	}
	m.submitTo(m.byPool[id], j)
}
