package directory_test

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
	"github.com/jaybarrow/jaybarrow/internal/etcd"
	"github.com/jaybarrow/jaybarrow/internal/standin/store"
)

func TestMain(m *testing.M) {
	// fasthttp ends this goroutine some seconds after its last connection was closed.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"))
}

// bench is a store, a directory that follows it, and what the test needs to write to it.
type bench struct {
	t         *testing.T
	store     *store.Server
	directory *directory.Directory
	follower  *directory.Follower
	settings  directory.FollowerSettings
	asked     atomic.Int64 // questions to peers
}

// settings are short waits, but a silence above the store's progress interval of a second.
var settings = directory.FollowerSettings{
	WatchTimeout: 1500 * time.Millisecond, RetryMin: 10 * time.Millisecond, RetryMax: 100 * time.Millisecond,
	StoreTimeout: 20 * time.Second, PeerInterval: 20 * time.Millisecond,
}

func newBench(t *testing.T) *bench {
	t.Helper()
	s, err := store.NewLoopback(jaybarrow.SystemClock{}, store.Timing{})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return &bench{t: t, store: s, directory: directory.New(), settings: settings}
}

func (b *bench) follow(peers directory.PeerFetcher) {
	b.t.Helper()
	client := etcd.New(etcd.Settings{
		Address: b.store.Address(), Connections: 4, DialTimeout: 5 * time.Second, CallTimeout: 5 * time.Second,
	})
	counted := func(ctx context.Context, after jaybarrow.Revision) ([]jaybarrow.Record, jaybarrow.Revision, error) {
		b.asked.Add(1)
		return peers(ctx, after)
	}
	deps := directory.FollowerDeps{
		Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Store: client, Directory: b.directory, Settings: b.settings,
	}
	if peers != nil {
		deps.Peers = counted
	}
	b.follower = directory.NewFollower(deps)
	b.t.Cleanup(client.Close)
	b.t.Cleanup(b.follower.Close)
}

// team writes a team's share, 0: deletes the team.
func (b *bench) team(id jaybarrow.TeamID, share jaybarrow.Share) {
	b.t.Helper()
	ctx, key := context.Background(), jaybarrow.TeamKey(id)
	old, _ := b.store.Core().Get(ctx, key)
	if share == 0 {
		_, err := b.store.Core().Delete(ctx, key, old.Revision)
		assert.NilError(b.t, err)
		return
	}
	value, err := json.Marshal(jaybarrow.Team{ID: id, Share: share})
	assert.NilError(b.t, err)
	_, err = b.store.Core().CompareAndSwap(ctx, key, old.Revision, value, 0)
	assert.NilError(b.t, err)
}

func (b *bench) awaitShare(id jaybarrow.TeamID, share jaybarrow.Share) {
	b.t.Helper()
	b.await(func() bool {
		team, _ := b.directory.Teams.Get(id)
		return team.Share == share
	})
}

func (b *bench) await(holds func() bool) {
	b.t.Helper()
	deadline := time.After(30 * time.Second)
	for !holds() {
		select {
		case <-deadline:
			b.t.Fatal("the condition did not come to hold")
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (b *bench) setFaults(f store.Faults) {
	b.t.Helper()
	assert.NilError(b.t, b.store.SetFaults(f))
}

// Guards against a copy that stops following after a fault, or that keeps what was deleted during it.
func TestFollowerResumes(t *testing.T) {
	cases := []struct {
		name    string
		faults  store.Faults
		compact bool // the changes made during the fault can only be read by a new list
	}{
		{"unavailable", store.Faults{Outage: store.OutageUnavailable}, false},
		{"refused", store.Faults{Outage: store.OutageRefuse}, false},
		{"compacted meanwhile", store.Faults{Outage: store.OutageUnavailable}, true},
		{"silent watch, new ones work", store.Faults{FrozenWatches: store.FreezeOpen}, false},
		{"silent watches, reads work", store.Faults{FrozenWatches: store.FreezeAll}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.team("kept", 1)
			b.team("deleted", 1)
			b.follow(nil)
			<-b.follower.Ready()
			b.awaitShare("deleted", 1)
			b.await(func() bool { return b.store.Calls()[store.CallWatch] == 1 })

			b.setFaults(c.faults)
			before := b.follower.LastConfirmed()
			b.team("deleted", 0)
			b.team("kept", 2)
			b.team("added", 3)
			if c.compact {
				b.store.Core().Compact(b.store.Core().Revision())
			}
			if c.faults.Outage != store.OutageNone {
				b.setFaults(store.Faults{})
			}
			b.awaitShare("added", 3)
			b.awaitShare("kept", 2)
			_, present := b.directory.Teams.Get("deleted")
			assert.Assert(t, !present, "a record deleted during the fault is still there")
			b.await(func() bool { return b.follower.LastConfirmed().After(before) })
		})
	}
}

// Guards against a copy that goes back, or counts as confirmed, when the store answers from an older revision.
func TestFollowerNeverReverts(t *testing.T) {
	b := newBench(t)
	b.team("trail", 1)
	b.follow(nil)
	b.awaitShare("trail", 1)
	b.team("trail", 2)
	b.awaitShare("trail", 2)
	b.team("new", 5)
	b.awaitShare("new", 5)

	// Every new list is now older than the copy, and the watch cannot be resumed.
	b.setFaults(store.Faults{Outage: store.OutageUnavailable})
	b.team("other", 1)
	b.store.Core().Compact(b.store.Core().Revision())
	watches := b.store.Calls()[store.CallWatch]
	b.await(func() bool { return b.store.Calls()[store.CallWatch] > watches+1 })
	stopped := b.follower.LastConfirmed()
	lists := b.store.Calls()[store.CallRange]
	b.setFaults(store.Faults{StaleBy: 3})
	b.await(func() bool { return b.store.Calls()[store.CallRange] > lists+2 })
	team, _ := b.directory.Teams.Get("trail")
	assert.Equal(t, team.Share, jaybarrow.Share(2))
	_, present := b.directory.Teams.Get("new")
	assert.Assert(t, present, "a record that is newer than a stale list was removed")
	assert.Equal(t, b.follower.LastConfirmed(), stopped, "a stale list must not confirm the copy")

	b.setFaults(store.Faults{})
	b.awaitShare("other", 1)
}

// Guards against an entry host that does not start, or gets no changes, while the store is away, and against deletions that
// do not pass from peer to peer.
func TestFollowerAsksPeers(t *testing.T) {
	peer := newBench(t)
	peer.follow(nil)
	for _, name := range []string{"away at start", "away later"} {
		t.Run(name, func(t *testing.T) {
			peer.team("trail", 1)
			peer.team("gone", 1)
			peer.awaitShare("trail", 1)
			peer.awaitShare("gone", 1)
			b := newBench(t)
			b.settings.StoreTimeout = 100 * time.Millisecond
			if name == "away at start" {
				b.setFaults(store.Faults{Outage: store.OutageRefuse})
			}
			b.follow(func(_ context.Context, after jaybarrow.Revision) ([]jaybarrow.Record, jaybarrow.Revision, error) {
				records, reached := peer.directory.Since(after)
				return records, reached, nil
			})
			<-b.follower.Ready()
			b.setFaults(store.Faults{Outage: store.OutageRefuse})
			confirmed := b.follower.LastConfirmed()
			b.awaitShare("trail", 1)
			peer.team("trail", 2)
			peer.team("gone", 0)
			b.awaitShare("trail", 2)
			b.await(func() bool { _, present := b.directory.Teams.Get("gone"); return !present })
			assert.Equal(t, b.follower.LastConfirmed(), confirmed, "a peer's answer is no confirmation by the store")
		})
	}
}

// Guards against a copy that reports itself as ready without a version, and against the peers being asked, or the store
// being listed, while the watch works.
func TestFollowerReadyAndQuiet(t *testing.T) {
	b := newBench(t)
	b.setFaults(store.Faults{Outage: store.OutageUnavailable})
	b.follow(func(context.Context, jaybarrow.Revision) ([]jaybarrow.Record, jaybarrow.Revision, error) {
		return nil, 0, jaybarrow.Errorf(jaybarrow.KindPeerLost, "no peer")
	})
	b.await(func() bool { return b.asked.Load() > 2 })
	select {
	case <-b.follower.Ready():
		t.Fatal("ready without a version")
	default:
	}
	b.setFaults(store.Faults{})
	<-b.follower.Ready()
	first := b.follower.LastConfirmed()
	lists := b.store.Calls()[store.CallRange]
	b.await(func() bool { return b.follower.LastConfirmed().Sub(first) > time.Second })
	asked := b.asked.Load()
	second := b.follower.LastConfirmed()
	b.await(func() bool { return b.follower.LastConfirmed().After(second) })
	assert.Equal(t, b.asked.Load(), asked)
	assert.Equal(t, b.store.Calls()[store.CallRange], lists)
}

// Guards against a retry without a wait, which would spend the store's budget of calls during an outage.
func TestFollowerRetriesAreBounded(t *testing.T) {
	b := newBench(t)
	b.setFaults(store.Faults{Outage: store.OutageUnavailable})
	begun := time.Now()
	b.follow(nil)
	b.await(func() bool { return time.Since(begun) > time.Second })
	waits := int64(time.Since(begun)/(settings.RetryMax/2)) + 8
	assert.Assert(t, b.store.Calls()[store.CallRange] <= waits, "%d calls", b.store.Calls()[store.CallRange])
}
