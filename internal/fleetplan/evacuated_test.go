package fleetplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/fleetplan"
)

// evacuated marks the first n hosts as ones of an evacuated data centre.
func evacuated(in []fleetplan.Host, n int) []fleetplan.Host {
	for i := range n {
		in[i].Evacuated = true
	}
	return in
}

// withLasting gives each host a lasting task.
func withLasting(in []fleetplan.Host) []fleetplan.Host {
	for i := range in {
		in[i].Runs, in[i].Lasting = 1, 1
	}
	return in
}

// Guards against hosts of an evacuated data centre that count as serving, are moved to a pool that needs hosts, stay idle where they cannot serve, or
// leave with a task; and against hosts that are fetched for lasting tasks that stay there.
func TestHostsOfAnEvacuatedDataCentreServeNoPool(t *testing.T) {
	fast := need(1)
	fast.Labels = map[jaybarrow.Label]float64{"fast": 0.5}
	cases := []struct {
		name  string
		hosts []fleetplan.Host
		desk  fleetplan.Pool
		want  []string // moves: host and target
	}{
		{"busy ones are replaced", append(evacuated(busy(hosts("desk", 4)), 2), hosts("spare", 3)...), need(4), []string{"spare-00 desk", "spare-01 desk"}},
		{"spare ones stay", append(busy(hosts("desk", 3)), evacuated(hosts("spare", 3), 2)...), need(5), []string{"spare-02 desk"}},
		{"idle ones go to the spare pool only", append(busy(hosts("desk", 1)), evacuated(hosts("batch", 4), 4)...), need(3), []string{"batch-00 spare", "batch-01 spare", "batch-02 spare", "batch-03 spare"}},
		{"idle ones of a pool without a surplus go too", evacuated(hosts("desk", 4), 1), need(3), []string{"desk-00 spare"}},
		{"idle ones with a label that is needed go too", evacuated(labelled(hosts("desk", 2), "fast"), 2), fast, []string{"desk-00 spare", "desk-01 spare"}},
		{"lasting tasks there need no other host", append(evacuated(withLasting(hosts("desk", 4)), 2), hosts("spare", 3)...), need(1), nil},
		{"busy ones stay", evacuated(busy(hosts("desk", 2)), 2), need(0), nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var got []string
			for _, m := range fleetplan.Decide(fleetplan.DefaultSettings(), fleetplan.State{Hosts: c.hosts, Pools: pools(c.desk, need(0))}).Moves {
				got = append(got, string(m.Host.ID)+" "+string(m.To))
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// Guards against new jobs that are admitted because idle hosts of an evacuated data centre seem to be on offer.
func TestIdleHostsOfAnEvacuatedDataCentreAreNotAvailable(t *testing.T) {
	in := append(evacuated(hosts("batch", 4), 1), evacuated(hosts("spare", 3), 2)...)
	assert.DeepEqual(t, fleetplan.Available(fleetplan.State{Hosts: in, Pools: pools(need(0), need(0))}), map[jaybarrow.PoolID]int{
		"desk": 4, "batch": 1, "spare": 3,
	})
}

// Guards against a wave that leaves out the hosts of an evacuated data centre, or spares them as if they served, and against one that waits for them as
// for hosts that will serve in place of the last one.
func TestAWaveCoversAnEvacuatedDataCentre(t *testing.T) {
	all := evacuated(busy(hosts("desk", 4)), 3)
	w := fleetplan.Wave{Wave: jaybarrow.Wave{ID: 1, AtOnce: 4}, TimeLeft: time.Hour}
	for _, h := range all {
		w.Pending = append(w.Pending, h.ID)
	}
	decide := func(left time.Duration, in []fleetplan.Host) fleetplan.Orders {
		w.TimeLeft = left
		return fleetplan.Decide(fleetplan.DefaultSettings(), fleetplan.State{Hosts: in, Pools: pools(need(4), need(0)), Waves: []fleetplan.Wave{w}})
	}
	assert.Equal(t, len(decide(time.Hour, all).Drain), 3, "those that do not serve are emptied first")
	assert.Equal(t, len(decide(time.Second, all).Drain), 4, "the last one that serves does not wait for the others")
	for n := range all {
		all[n].Runs, all[n].Reserved = 0, true
	}
	assert.Equal(t, len(decide(time.Hour, all).Maintain), 4)
}
