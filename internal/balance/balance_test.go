package balance_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/balance"
)

const (
	hostSlots = 8
	tick      = 5 * time.Second
	moveTime  = time.Minute
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet is a set of hosts of eight slots to which the decisions are applied; a move takes a minute.
type fleet struct {
	balancer    *balance.Balancer
	pools       []balance.Pool
	hosts       []balance.Host
	activeMoves map[jaybarrow.HostID]activeMove
	moved       []balance.Move
	movedAt     []time.Time
}

type activeMove struct {
	move   balance.Move
	endsAt time.Time
}

func newFleet(settings balance.Settings, sizes map[jaybarrow.PoolID]int, budget int) *fleet {
	f := &fleet{balancer: balance.New(settings), activeMoves: map[jaybarrow.HostID]activeMove{}}
	for _, id := range []jaybarrow.PoolID{"a", "b", "c", "spare"} {
		f.pools = append(f.pools, balance.Pool{ID: id, Spare: id == "spare", MaxUnavailable: budget})
		for i := range sizes[id] {
			f.hosts = append(f.hosts, balance.Host{ID: jaybarrow.HostID(fmt.Sprint(id, i)), Pool: id, Slots: hostSlots, Accepting: true})
		}
	}
	return f
}

func (f *fleet) size(id jaybarrow.PoolID) int {
	n := 0
	for _, h := range f.hosts {
		if h.Pool == id {
			n++
		}
	}
	return n
}

// step ends the moves that are complete, observes the demand of each pool, and begins the moves that are decided.
func (f *fleet) step(now time.Time, demand func(jaybarrow.PoolID) float64) []balance.Move {
	capacity := map[jaybarrow.PoolID]jaybarrow.Slots{}
	for i, h := range f.hosts {
		if e, ok := f.activeMoves[h.ID]; ok && !e.endsAt.After(now) {
			f.hosts[i].Pool, f.hosts[i].Accepting = e.move.To, true
			delete(f.activeMoves, h.ID)
		}
		if f.hosts[i].Accepting {
			capacity[f.hosts[i].Pool] += hostSlots
		}
	}
	var samples []balance.Sample
	view := balance.Fleet{Hosts: f.hosts}
	for _, p := range f.pools {
		p.Hosts = f.size(p.ID)
		for _, e := range f.activeMoves {
			if e.move.From == p.ID {
				p.Unavailable++
			}
		}
		view.Pools = append(view.Pools, p)
		want := jaybarrow.Slots(math.Round(demand(p.ID)))
		running := min(want, capacity[p.ID])
		samples = append(samples, balance.Sample{Pool: p.ID, Capacity: capacity[p.ID], Running: running, Waiting: want - running})
	}
	for _, e := range f.activeMoves {
		view.Moves = append(view.Moves, balance.ActiveMove{From: e.move.From, To: e.move.To})
	}
	f.balancer.Observe(now, samples)
	moves := f.balancer.Decide(now, view)
	for _, m := range moves {
		f.activeMoves[m.Host] = activeMove{m, now.Add(moveTime)}
		f.moved, f.movedAt = append(f.moved, m), append(f.movedAt, now)
		for i := range f.hosts {
			f.hosts[i].Accepting = f.hosts[i].Accepting && f.hosts[i].ID != m.Host
		}
	}
	return moves
}

func (f *fleet) run(from, to time.Duration, demand func(time.Duration, jaybarrow.PoolID) float64) {
	for at := from; at < to; at += tick {
		f.step(epoch.Add(at), func(id jaybarrow.PoolID) float64 { return demand(at, id) })
	}
}

// alternatingBursts gives each pool in turn a burst of 60 slots for 10 s of each minute, and 0.6 slots in between.
func alternatingBursts(at time.Duration, id jaybarrow.PoolID) float64 {
	offset := map[jaybarrow.PoolID]time.Duration{"a": 0, "b": 20 * time.Second, "c": 40 * time.Second}
	begin, ok := offset[id]
	if !ok {
		return 0
	}
	if (at+time.Minute-begin)%time.Minute < 10*time.Second {
		return 60
	}
	return 0.6
}

var sizes = map[jaybarrow.PoolID]int{"a": 5, "b": 5, "c": 5, "spare": 4}

// Guards against moves for bursts that borrowing and queues absorb, against a sustained shift that moves no host, against hosts
// that never return, and against moves back and forth at a bound, which the gap between the bounds prevents.
func TestMovesFollowSustainedLoad(t *testing.T) {
	steady := func(slots float64) func(time.Duration, jaybarrow.PoolID) float64 {
		return func(_ time.Duration, id jaybarrow.PoolID) float64 {
			if id == "spare" {
				return 0
			}
			return slots
		}
	}
	shift := func(at time.Duration, id jaybarrow.PoolID) float64 {
		if id == "a" && at > time.Hour && at < 4*time.Hour {
			return 50
		}
		return steady(15)(at, id)
	}
	cases := []struct {
		name        string
		demand      func(time.Duration, jaybarrow.PoolID) float64
		least, most int // moves in eight hours
		during      int // least number of hosts of pool a after three hours
		after       int // least number of hosts of the spare pool after eight hours
	}{
		{"constant load", steady(18), 0, 0, 5, 4},
		{"bursts in turn", alternatingBursts, 0, 6, 3, 4},
		{"one burst of 20 s", func(at time.Duration, id jaybarrow.PoolID) float64 {
			if id == "a" && at > time.Hour && at < time.Hour+20*time.Second {
				return 200
			}
			return steady(18)(at, id)
		}, 0, 0, 5, 4},
		{"shift of three hours", shift, 4, 8, 8, 4},
		{"slow oscillation around the bound", func(at time.Duration, id jaybarrow.PoolID) float64 {
			if id == "a" {
				return 30 + 6*math.Sin(2*math.Pi*at.Hours()/1.5)
			}
			return steady(18)(at, id)
		}, 1, 2, 6, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(balance.DefaultSettings(), sizes, 2)
			f.run(0, 3*time.Hour, c.demand)
			during := f.size("a")
			f.run(3*time.Hour, 8*time.Hour, c.demand)
			for i, m := range f.moved {
				t.Log(f.movedAt[i].Sub(epoch), m)
			}
			assert.Assert(t, len(f.moved) >= c.least && len(f.moved) <= c.most, "%d moves", len(f.moved))
			assert.Assert(t, during >= c.during, "%d hosts in pool a", during)
			assert.Assert(t, f.size("spare") >= c.after, "%d spare hosts", f.size("spare"))
		})
	}
}

// Guards against a drain that the availability budget forbids, against moving a host that a wave would then miss, against leaving
// a pool no more hosts than its budget, and against a second move into or out of a pool while one is in progress.
func TestConditionsThatForbidMoves(t *testing.T) {
	pool := func(id jaybarrow.PoolID, unavailable, hosts int) balance.Pool {
		return balance.Pool{ID: id, Spare: id == "spare", MaxUnavailable: 1, Unavailable: unavailable, Hosts: hosts}
	}
	cases := []struct {
		name  string
		spare balance.Pool
		giver balance.Pool
		moves []balance.ActiveMove
		state func(*balance.Host)
		want  []jaybarrow.PoolID // sources of moves into pool a
	}{
		{"the spare pool gives a host", pool("spare", 0, 2), pool("b", 0, 3), nil, nil, []jaybarrow.PoolID{"spare"}},
		{"the spare pool has used up its budget", pool("spare", 1, 2), pool("b", 0, 3), nil, nil, []jaybarrow.PoolID{"b"}},
		{"both pools have used up their budgets", pool("spare", 1, 2), pool("b", 1, 3), nil, nil, nil},
		{"the donor would keep no more hosts than its budget", pool("spare", 1, 2), pool("b", 0, 2), nil, nil, nil},
		{"a move into the pool is in progress", pool("spare", 0, 2), pool("b", 0, 3), []balance.ActiveMove{{From: "c", To: "a"}}, nil, nil},
		{"a move out of the spare pool is in progress", pool("spare", 0, 2), pool("b", 0, 3), []balance.ActiveMove{{From: "spare", To: "c"}}, nil, []jaybarrow.PoolID{"b"}},
		{"a wave will reboot the spare hosts", pool("spare", 0, 2), pool("b", 0, 3), nil, func(h *balance.Host) {
			h.RebootPending = h.Pool == "spare"
		}, []jaybarrow.PoolID{"b"}},
		{"no host accepts work", pool("spare", 0, 2), pool("b", 0, 3), nil, func(h *balance.Host) { h.Accepting = false }, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := balance.New(balance.DefaultSettings())
			fleet := balance.Fleet{Pools: []balance.Pool{pool("a", 0, 1), c.giver, c.spare}, Moves: c.moves}
			for _, id := range []jaybarrow.PoolID{"a", "b", "b", "b", "spare", "spare"} {
				host := balance.Host{ID: jaybarrow.HostID(fmt.Sprint(id, len(fleet.Hosts))), Pool: id, Slots: hostSlots, Accepting: true}
				if c.state != nil {
					c.state(&host)
				}
				fleet.Hosts = append(fleet.Hosts, host)
			}
			var moves []balance.Move
			for at := time.Duration(0); at <= time.Hour && len(moves) == 0; at += tick {
				b.Observe(epoch.Add(at), []balance.Sample{
					{Pool: "a", Capacity: 8, Running: 8, Waiting: 4}, {Pool: "b", Capacity: 24}, {Pool: "spare", Capacity: 16},
				})
				for _, m := range b.Decide(epoch.Add(at), fleet) {
					if m.To == "a" {
						moves = append(moves, m)
					}
				}
			}
			var sources []jaybarrow.PoolID
			for _, m := range moves {
				sources = append(sources, m.From)
			}
			assert.DeepEqual(t, sources, c.want)
		})
	}
}

// Guards against moves that break the availability budget, two moves into or out of a pool at once, a host that moves again
// within its minimum stay, and moves that go on under constant load.
func TestDecisionsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := balance.DefaultSettings()
		settings.Economy = rapid.Float64Range(0, 1).Draw(t, "economy")
		stay := time.Duration(float64(settings.MinStay) * (1 + 2*settings.Economy))
		budget := rapid.IntRange(0, 3).Draw(t, "budget")
		f := newFleet(settings, map[jaybarrow.PoolID]int{
			"a": rapid.IntRange(1, 6).Draw(t, "a"), "b": rapid.IntRange(1, 6).Draw(t, "b"),
			"c": rapid.IntRange(1, 6).Draw(t, "c"), "spare": rapid.IntRange(0, 6).Draw(t, "spare"),
		}, budget)
		last := map[jaybarrow.HostID]time.Time{}
		now := epoch
		phase := func(length time.Duration, demand map[jaybarrow.PoolID]float64) (moved int) {
			for end := now.Add(length); now.Before(end); now = now.Add(30 * time.Second) {
				for _, m := range f.step(now, func(id jaybarrow.PoolID) float64 { return demand[id] }) {
					moved++
					assert.Assert(t, last[m.Host].IsZero() || now.Sub(last[m.Host]) >= stay, "%v moves again within its minimum stay", m)
					last[m.Host] = now
					assert.Assert(t, m.From == "spare" || f.size(m.From) > budget, "%v leaves its pool fewer hosts than its budget", m)
				}
				out, in := map[jaybarrow.PoolID]int{}, map[jaybarrow.PoolID]int{}
				for _, e := range f.activeMoves {
					out[e.move.From]++
					in[e.move.To]++
					assert.Assert(t, out[e.move.From] <= min(1, budget) && in[e.move.To] <= 1, "%v", f.activeMoves)
				}
			}
			return moved
		}
		draw := func() map[jaybarrow.PoolID]float64 {
			demand := map[jaybarrow.PoolID]float64{}
			for _, id := range []jaybarrow.PoolID{"a", "b", "c"} {
				demand[id] = rapid.Float64Range(0, 60).Draw(t, string(id))
			}
			return demand
		}
		for range rapid.IntRange(0, 3).Draw(t, "phases") {
			phase(time.Duration(rapid.IntRange(1, 90).Draw(t, "minutes"))*time.Minute, draw())
		}
		constant := draw()
		phase(20*time.Hour, constant)
		assert.Equal(t, phase(4*time.Hour, constant), 0, "moves go on under constant load")
	})
}

// Guards against missed deadlines that move no host, and against moves for missed deadlines in a pool with little load.
func TestMissedDeadlinesLowerTheBound(t *testing.T) {
	cases := []struct {
		name    string
		running jaybarrow.Slots
		missed  int64
		moves   int
	}{
		{"between the bounds", 6, 0, 0},
		{"between the bounds with misses", 6, 1, 1},
		{"little load with misses", 4, 1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b, moves := balance.New(balance.DefaultSettings()), 0
			fleet := balance.Fleet{
				Pools: []balance.Pool{{ID: "a", MaxUnavailable: 1, Hosts: 1}, {ID: "spare", Spare: true, MaxUnavailable: 1, Hosts: 1}},
				Hosts: []balance.Host{
					{ID: "a1", Pool: "a", Slots: hostSlots, Accepting: true}, {ID: "s1", Pool: "spare", Slots: hostSlots, Accepting: true},
				},
			}
			for at := time.Duration(0); at <= time.Hour && moves == 0; at += tick {
				b.Observe(epoch.Add(at), []balance.Sample{{Pool: "a", Capacity: 8, Running: c.running, Missed: c.missed}, {Pool: "spare", Capacity: 8}})
				moves = len(b.Decide(epoch.Add(at), fleet))
			}
			assert.Equal(t, moves, c.moves)
		})
	}
}
