package fleetplan_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/fleetplan"
)

// hosts returns n hosts of a pool that are up and idle.
func hosts(pool jaybarrow.PoolID, n int) []fleetplan.Host {
	var out []fleetplan.Host
	for i := range n {
		id := jaybarrow.HostID(fmt.Sprintf("%s-%02d", pool, i))
		h := fleetplan.Host{FleetHost: jaybarrow.FleetHost{ID: id, Pool: pool, State: jaybarrow.FleetHostUp}, Known: true, Usable: true}
		if pool == "spare" {
			h.Known, h.Usable = false, false
		}
		out = append(out, h)
	}
	return out
}

// labelled sets the label on all hosts but the first.
func labelled(in []fleetplan.Host, label jaybarrow.Label) []fleetplan.Host {
	for i := range in[1:] {
		in[i+1].Labels = []jaybarrow.Label{label}
	}
	return in
}

// busy gives each host a running task.
func busy(in []fleetplan.Host) []fleetplan.Host {
	for i := range in {
		in[i].Runs = 1
	}
	return in
}

// pools returns the two pools and an empty spare pool.
func pools(desk, batch fleetplan.Pool) []fleetplan.Pool {
	desk.ID, batch.ID = "desk", "batch"
	return []fleetplan.Pool{desk, batch, {ID: "spare", Spare: true}}
}

// need returns a pool that needs n hosts and whose long-term peak is unknown, so that none of its hosts return to the spare pool.
func need(n float64) fleetplan.Pool {
	return fleetplan.Pool{Need: n, RecentPeak: n, LongTermPeak: math.Inf(1)}
}

// Guards against a backlog in one pool while hosts of others are idle, and against moving hosts away from a pool that needs them.
func TestDecideMoves(t *testing.T) {
	emptied := busy(hosts("desk", 4))
	for i := range emptied {
		emptied[i].Lasting, emptied[i].Reserved = 1, i < 2
	}
	stuck := busy(hosts("desk", 4))
	for i := range stuck {
		stuck[i].Lasting = 2
	}
	stuck[0].Obstacle = jaybarrow.ObstacleNoRoom
	idle := need(0)
	idle.LongTermPeak = 0
	fast := need(1)
	fast.Labels = map[jaybarrow.Label]float64{"fast": 0.5}
	idleFast := idle
	idleFast.Labels = map[jaybarrow.Label]float64{"fast": 2.5}
	joining := need(6)
	joining.Joining = 2
	cases := []struct {
		name  string
		state fleetplan.State
		want  map[jaybarrow.PoolID]int // moves by target
		from  jaybarrow.PoolID
	}{
		{"idle hosts of other pools move first", fleetplan.State{Hosts: append(append(busy(hosts("desk", 4)), hosts("batch", 8)...), hosts("spare", 3)...), Pools: pools(need(6), need(0))}, map[jaybarrow.PoolID]int{"desk": 2}, "batch"},
		{"spare hosts move when no pool has a surplus", fleetplan.State{Hosts: append(append(busy(hosts("desk", 4)), hosts("batch", 2)...), hosts("spare", 3)...), Pools: pools(need(6), need(0))}, map[jaybarrow.PoolID]int{"desk": 2}, "spare"},
		{"moving hosts count", fleetplan.State{Hosts: append(busy(hosts("desk", 4)), hosts("spare", 3)...), Pools: pools(joining, need(0))}, nil, ""},
		{"busy hosts stay", fleetplan.State{Hosts: append(busy(hosts("desk", 4)), busy(hosts("batch", 8))...), Pools: pools(need(6), need(0))}, nil, ""},
		{"needed hosts stay", fleetplan.State{Hosts: append(busy(hosts("desk", 4)), hosts("batch", 4)...), Pools: pools(need(6), need(3))}, nil, ""},
		{"hosts drained of lasting tasks are replaced", fleetplan.State{Hosts: append(emptied, hosts("spare", 3)...), Pools: pools(need(1), need(0))}, map[jaybarrow.PoolID]int{"desk": 2}, "spare"},
		{"a host comes where lasting tasks have no room to move", fleetplan.State{Hosts: append(stuck, hosts("spare", 3)...), Pools: pools(need(1), need(0))}, map[jaybarrow.PoolID]int{"desk": 1}, "spare"},
		{"hosts with the label that work needs", fleetplan.State{Hosts: append(append(hosts("desk", 4), hosts("batch", 2)...), labelled(hosts("spare", 3), "fast")[1:]...), Pools: pools(fast, need(0))}, map[jaybarrow.PoolID]int{"desk": 1}, "spare"},
		{"hosts without the label do not move", fleetplan.State{Hosts: append(hosts("desk", 4), hosts("spare", 3)...), Pools: pools(fast, need(0))}, nil, ""},
		{"hosts whose label is needed stay", fleetplan.State{Hosts: append(labelled(hosts("desk", 6), "fast"), hosts("spare", 1)...), Pools: pools(idleFast, need(0))}, map[jaybarrow.PoolID]int{"spare": 3}, "desk"},
		{"hosts that were idle for long return to the spare pool", fleetplan.State{Hosts: append(hosts("desk", 6), hosts("spare", 1)...), Pools: pools(idle, need(0))}, map[jaybarrow.PoolID]int{"spare": 4}, "desk"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := fleetplan.DefaultSettings()
			s.Headroom = 2
			var got map[jaybarrow.PoolID]int
			for _, m := range fleetplan.Decide(s, c.state).Moves {
				if got == nil {
					got = make(map[jaybarrow.PoolID]int)
				}
				got[m.To]++
				assert.Equal(t, m.Host.Pool, c.from)
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// Guards against two orders at once for a host that two waves name: the platform takes one of them only, and the other wave would be said to be
// completed without it.
func TestAHostThatTwoWavesNameIsOrderedForOneOfThem(t *testing.T) {
	reserved := hosts("desk", 3)
	for i := range reserved {
		reserved[i].Reserved = true
	}
	for _, in := range [][]fleetplan.Host{reserved, hosts("spare", 3)} {
		var waves []fleetplan.Wave
		for id := range jaybarrow.WaveID(2) {
			w := fleetplan.Wave{Wave: jaybarrow.Wave{ID: id + 1, AtOnce: 2}, TimeLeft: time.Minute}
			for _, h := range in {
				w.Pending = append(w.Pending, h.ID)
			}
			waves = append(waves, w)
		}
		got := fleetplan.Decide(fleetplan.DefaultSettings(), fleetplan.State{Hosts: in, Pools: pools(need(0), need(0)), Waves: waves})
		var ordered []string
		for _, m := range got.Maintain {
			ordered = append(ordered, fmt.Sprint(m.Host.ID, " for ", m.Wave))
		}
		assert.DeepEqual(t, ordered, []string{
			fmt.Sprint(in[0].ID, " for 1"), fmt.Sprint(in[1].ID, " for 1"), fmt.Sprint(in[2].ID, " for 2"),
		})
	}
}

// Guards against a wave with more hosts in maintenance than allowed, against maintenance of hosts with running tasks, and against a
// wave that exceeds its time because it waits for an idle pool.
func TestDecideWaves(t *testing.T) {
	wave := func(atOnce, inMaintenance int, left time.Duration, in []fleetplan.Host) []fleetplan.Wave {
		w := fleetplan.Wave{Wave: jaybarrow.Wave{ID: 1, AtOnce: atOnce}, InMaintenance: inMaintenance, TimeLeft: left}
		for _, h := range in {
			w.Pending = append(w.Pending, h.ID)
		}
		return []fleetplan.Wave{w}
	}
	reserved := hosts("desk", 4)
	for i := range reserved {
		reserved[i].Reserved = true
	}
	obstructed := busy(hosts("desk", 4))
	obstructed[0].Obstacle, obstructed[1].Obstacle = jaybarrow.ObstacleNoRoom, jaybarrow.ObstacleNeeded
	cases := []struct {
		name            string
		hosts           []fleetplan.Host
		waves           []fleetplan.Wave
		need            float64
		drain, maintain int
	}{
		{"empty hosts are maintained", reserved, wave(3, 0, time.Minute, reserved), 0, 0, 3},
		{"hosts in maintenance count", reserved, wave(3, 2, time.Minute, reserved), 0, 0, 1},
		{"busy hosts are drained first", busy(hosts("desk", 4)), wave(2, 0, time.Minute, hosts("desk", 4)), 0, 2, 0},
		{"hosts that a busy pool needs are not drained", busy(hosts("desk", 4)), wave(2, 0, time.Minute, hosts("desk", 4)), 4, 0, 0},
		{"hosts that a busy pool needs are drained when time is short", busy(hosts("desk", 4)), wave(2, 0, 10*time.Second, hosts("desk", 4)), 4, 2, 0},
		{"the last serving host of a pool stays until others are back", busy(hosts("desk", 4)), wave(4, 0, 10*time.Second, hosts("desk", 4)), 4, 3, 0},
		{"the only host of a pool is drained", busy(hosts("desk", 1)), wave(4, 0, 10*time.Second, hosts("desk", 1)), 1, 1, 0},
		{"hosts that cannot be emptied leave their turn to others", obstructed, wave(2, 0, 10*time.Second, obstructed), 0, 2, 0},
		{"spare hosts need no drain", hosts("spare", 2), wave(2, 0, time.Minute, hosts("spare", 2)), 0, 0, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := fleetplan.DefaultSettings()
			got := fleetplan.Decide(s, fleetplan.State{Hosts: c.hosts, Pools: pools(need(c.need), need(0)), Waves: c.waves})
			assert.Equal(t, len(got.Drain), c.drain)
			for _, m := range got.Drain {
				assert.Equal(t, m.Host.Obstacle, jaybarrow.DrainObstacle(""))
			}
			assert.Equal(t, len(got.Maintain), c.maintain)
		})
	}
}
