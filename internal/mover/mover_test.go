package mover_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/balance"
	"github.com/jaybarrow/jaybarrow/internal/directory"
	"github.com/jaybarrow/jaybarrow/internal/mover"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// platform is a fake of all dependencies of the mover; a round begins with each tick.
type platform struct {
	sync.Mutex
	t          *testing.T
	now        time.Time
	ticks      chan time.Time
	roundEnded chan struct{} // receives a value at the end of each round
	directory  *directory.Directory
	loads      []mover.Load
	driving    bool
	storeDown  bool
	wave       bool                   // a wave is about to reboot the spare hosts
	purpose    jaybarrow.DrainPurpose // purpose of the drain of a second host of pool desk; without one, there is no second host
	watchLags  bool                   // the local copy does not receive the drains that begin
	moves      []balance.Move
	attempts   int
	busy       []jaybarrow.PoolID
	notes      []string
}

func (p *platform) Now() time.Time {
	p.Lock()
	defer p.Unlock()
	return p.now
}

func (p *platform) After(time.Duration) <-chan time.Time {
	p.roundEnded <- struct{}{}
	return p.ticks
}

func (p *platform) Condition(string) jaybarrow.HostCondition { return jaybarrow.HostLive }

func (p *platform) ReadAt() time.Time { return time.Now() }

func (p *platform) GoneFor(string) (time.Duration, bool) { return 0, false }

func (p *platform) Changed() <-chan struct{} { return nil }

func (p *platform) Note(subject jaybarrow.Subject, decision, _ string) {
	p.notes = append(p.notes, string(subject.ID)+" "+decision)
}

func (p *platform) SetBusyPools(pools []jaybarrow.PoolID) { p.busy = pools }

func (p *platform) BeginMove(_ context.Context, host jaybarrow.HostID, from, to jaybarrow.PoolID, _ string) (jaybarrow.Revision, error) {
	p.attempts++
	if p.storeDown {
		return 0, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "the store is down")
	}
	p.moves = append(p.moves, balance.Move{Host: host, From: from, To: to})
	if p.watchLags {
		return p.directory.Applied() + 1, nil
	}
	return p.put(jaybarrow.DrainKey(from), jaybarrow.PoolDrains{Pool: from, Drains: map[jaybarrow.HostID]jaybarrow.Drain{
		host: {Host: host, Purpose: jaybarrow.PurposeMove, MoveTo: to},
	}}), nil
}

func (p *platform) put(key jaybarrow.Key, value any) jaybarrow.Revision {
	p.t.Helper()
	data, err := json.Marshal(value)
	assert.NilError(p.t, err)
	revision := p.directory.Newest() + 1
	assert.NilError(p.t, p.directory.Apply([]jaybarrow.Record{{Key: key, Value: data, Revision: revision}}, revision))
	return revision
}

// runRounds runs n rounds at intervals of 10 s.
func (p *platform) runRounds(n int) {
	for range n {
		p.Lock()
		p.now = p.now.Add(10 * time.Second)
		p.Unlock()
		p.ticks <- time.Time{}
		<-p.roundEnded
	}
}

// start runs a mover for pool desk with one host, which lacks capacity, and a spare pool with three hosts.
func start(t *testing.T, p *platform, automatic bool) {
	p.t, p.now = t, time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p.ticks, p.roundEnded, p.directory = make(chan time.Time), make(chan struct{}, 1), directory.New()
	p.put(jaybarrow.PoolKey("desk"), jaybarrow.Pool{ID: "desk", MaxUnavailable: 1})
	p.put(jaybarrow.PoolKey("spare"), jaybarrow.Pool{ID: "spare", MaxUnavailable: 3, Spare: true})
	for host, pool := range map[jaybarrow.HostID]jaybarrow.PoolID{"d1": "desk", "s1": "spare", "s2": "spare", "s3": "spare"} {
		p.put(jaybarrow.HostKey(host), jaybarrow.Host{ID: host, Pool: pool, DataCentre: "north", Capacity: jaybarrow.Demand{Slots: 8}})
	}
	p.put(jaybarrow.HostKey("s0"), jaybarrow.Host{ID: "s0", Pool: "spare", DataCentre: "south", Capacity: jaybarrow.Demand{Slots: 8}})
	if p.purpose != "" {
		p.put(jaybarrow.HostKey("d2"), jaybarrow.Host{ID: "d2", Pool: "desk", DataCentre: "north", Capacity: jaybarrow.Demand{Slots: 8}})
		p.put(jaybarrow.DrainKey("desk"), jaybarrow.PoolDrains{Pool: "desk", Drains: map[jaybarrow.HostID]jaybarrow.Drain{
			"d2": {Host: "d2", Purpose: p.purpose},
		}})
	}
	if p.wave {
		p.put(jaybarrow.DrainKey("spare"), jaybarrow.PoolDrains{Pool: "spare", Pending: []jaybarrow.HostID{"s1", "s2", "s3"}})
	}
	if p.loads == nil {
		p.loads = []mover.Load{{Pool: "desk", DataCentre: "north", Load: schedule.Load{Running: 12}}}
	}
	settings := mover.DefaultSettings()
	settings.Automatic = automatic
	m := mover.New(mover.Deps{
		Clock: p, Log: zerolog.Nop(), Directory: p.directory, Conditions: p, Drains: p, Lenders: p, Journal: p, DataCentre: "north",
		Driving: func() bool { return p.driving }, Loads: func() []mover.Load { return p.loads }, Settings: settings,
	})
	t.Cleanup(m.Close)
	<-p.roundEnded
}

const roundsPerHour = 360

// Guards against moves by an entry host that does not drive or with automatic moves disabled, against a second move before the
// first has ended, against a move that replaces a host during its reboot or takes one that a wave will reboot, and against moves
// of another data centre's hosts or for work that another data centre takes.
func TestWhenMovesBegin(t *testing.T) {
	desk := func(dataCentre jaybarrow.DataCentreID, load schedule.Load) mover.Load {
		return mover.Load{Pool: "desk", DataCentre: dataCentre, Load: load}
	}
	cases := []struct {
		name      string
		platform  platform
		automatic bool
		moves     int
	}{
		{"driving", platform{driving: true}, true, 1},
		{"the watch lags", platform{driving: true, watchLags: true}, true, 1},
		{"not driving", platform{}, true, 0},
		{"automatic moves disabled", platform{driving: true}, false, 0},
		{"a host of the pool reboots", platform{driving: true, purpose: jaybarrow.PurposeReboot}, true, 0},
		{"a host of the pool is on hold", platform{driving: true, purpose: jaybarrow.PurposeHold}, true, 1},
		{"a wave will reboot the spare hosts", platform{driving: true, wave: true}, true, 0},
		{"no load", platform{driving: true, loads: []mover.Load{}}, true, 0},
		{"another data centre has room", platform{driving: true, loads: []mover.Load{
			desk("north", schedule.Load{Running: 5, Waiting: 4, FreeSlots: 3}), desk("south", schedule.Load{FreeSlots: 50}),
		}}, true, 0},
		{"load of another data centre", platform{driving: true, loads: []mover.Load{desk("south", schedule.Load{Running: 50})}}, true, 0},
	}
	for i := range cases {
		c := &cases[i]
		t.Run(c.name, func(t *testing.T) {
			p := &c.platform
			start(t, p, c.automatic)
			p.runRounds(roundsPerHour)
			assert.Equal(t, len(p.moves), c.moves, "%v", p.moves)
			if c.moves > 0 {
				assert.DeepEqual(t, p.moves[0], balance.Move{Host: "s1", From: "spare", To: "desk"})
				assert.DeepEqual(t, p.notes, []string{"spare move begun", "desk move begun"})
			}
		})
	}
}

// Guards against a mover that retries in each round while the store is down, and against one that never retries.
func TestFailedMoveIsRetriedAfterADelay(t *testing.T) {
	p := &platform{driving: true, storeDown: true}
	start(t, p, true)
	p.runRounds(roundsPerHour)
	assert.Assert(t, p.attempts > 2 && p.attempts < roundsPerHour/2, "%d attempts", p.attempts)
	p.storeDown = false
	p.runRounds(10)
	assert.Equal(t, len(p.moves), 1)
}

// Guards against lending the hosts of a spare pool that has waiting work of its own, also while automatic moves are disabled.
func TestLendersWithWaitingWork(t *testing.T) {
	p := &platform{loads: []mover.Load{
		{Pool: "desk", DataCentre: "north", Load: schedule.Load{Waiting: 3}},
		{Pool: "spare", DataCentre: "north", Load: schedule.Load{Waiting: 1}},
	}}
	start(t, p, false)
	p.runRounds(1)
	assert.DeepEqual(t, p.busy, []jaybarrow.PoolID{"spare"})
	p.loads = p.loads[:1]
	p.runRounds(1)
	assert.Equal(t, len(p.busy), 0)
}
