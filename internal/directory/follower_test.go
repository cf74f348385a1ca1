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
	// fasthttp ends this goroutine only some seconds after its last connection was closed.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"))
}

// fixture is a store in this process and a directory that follows it.
type fixture struct {
	t           *testing.T
	store       *store.Server
	directory   *directory.Directory
	follower    *directory.Follower
	settings    directory.FollowerSettings
	peerFetches atomic.Int64 // calls of the PeerFetcher
}

// settings has short waits, but a WatchTimeout above the progress interval of the store, which is 1 s.
var settings = directory.FollowerSettings{
	WatchTimeout: 1500 * time.Millisecond, RetryMin: 10 * time.Millisecond, RetryMax: 100 * time.Millisecond,
	StoreTimeout: 20 * time.Second, PeerInterval: 20 * time.Millisecond,
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	s, err := store.NewLoopback(jaybarrow.SystemClock{}, store.Timing{})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return &fixture{t: t, store: s, directory: directory.New(), settings: settings}
}

func (fx *fixture) follow(peers directory.PeerFetcher) {
	fx.t.Helper()
	client := etcd.New(etcd.Settings{
		Address: fx.store.Address(), Connections: 4, DialTimeout: 5 * time.Second, CallTimeout: 5 * time.Second,
	})
	counted := func(ctx context.Context, after jaybarrow.Revision) ([]jaybarrow.Record, jaybarrow.Revision, error) {
		fx.peerFetches.Add(1)
		return peers(ctx, after)
	}
	deps := directory.FollowerDeps{
		Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Store: client, Directory: fx.directory, Settings: fx.settings,
	}
	if peers != nil {
		deps.Peers = counted
	}
	fx.follower = directory.NewFollower(deps)
	fx.t.Cleanup(client.Close)
	fx.t.Cleanup(fx.follower.Close)
}

// setShare stores a team with the share, or deletes the team when the share is 0.
func (fx *fixture) setShare(id jaybarrow.TeamID, share jaybarrow.Share) {
	fx.t.Helper()
	ctx, key := context.Background(), jaybarrow.TeamKey(id)
	old, _ := fx.store.Core().Get(ctx, key)
	if share == 0 {
		_, err := fx.store.Core().Delete(ctx, key, old.Revision)
		assert.NilError(fx.t, err)
		return
	}
	value, err := json.Marshal(jaybarrow.Team{ID: id, Share: share})
	assert.NilError(fx.t, err)
	_, err = fx.store.Core().CompareAndSwap(ctx, key, old.Revision, value, 0)
	assert.NilError(fx.t, err)
}

func (fx *fixture) awaitShare(id jaybarrow.TeamID, share jaybarrow.Share) {
	fx.t.Helper()
	fx.await(func() bool {
		team, _ := fx.directory.Teams.Get(id)
		return team.Share == share
	})
}

func (fx *fixture) await(condition func() bool) {
	fx.t.Helper()
	deadline := time.After(30 * time.Second)
	for !condition() {
		select {
		case <-deadline:
			fx.t.Fatal("the condition was not met within 30 s")
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (fx *fixture) setFaults(f store.Faults) {
	fx.t.Helper()
	assert.NilError(fx.t, fx.store.SetFaults(f))
}

// Guards against a copy that is no longer updated after a fault of the store, or that keeps records deleted during it.
func TestFollowerResumes(t *testing.T) {
	cases := []struct {
		name    string
		faults  store.Faults
		compact bool // the changes made during the fault can only be read by a new list
	}{
		{"unavailable", store.Faults{Outage: store.OutageUnavailable}, false},
		{"refused", store.Faults{Outage: store.OutageRefuse}, false},
		{"unavailable, then compacted", store.Faults{Outage: store.OutageUnavailable}, true},
		{"open watches deliver nothing, new ones work", store.Faults{FrozenWatches: store.FreezeOpen}, false},
		{"no watch delivers events, reads work", store.Faults{FrozenWatches: store.FreezeAll}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fx := newFixture(t)
			fx.setShare("kept", 1)
			fx.setShare("deleted", 1)
			fx.follow(nil)
			<-fx.follower.Ready()
			fx.awaitShare("deleted", 1)
			fx.await(func() bool { return fx.store.Calls()[store.CallWatch] == 1 })

			fx.setFaults(c.faults)
			before := fx.follower.LastConfirmed()
			fx.setShare("deleted", 0)
			fx.setShare("kept", 2)
			fx.setShare("added", 3)
			if c.compact {
				fx.store.Core().Compact(fx.store.Core().Revision())
			}
			if c.faults.Outage != store.OutageNone {
				fx.setFaults(store.Faults{})
			}
			fx.awaitShare("added", 3)
			fx.awaitShare("kept", 2)
			_, present := fx.directory.Teams.Get("deleted")
			assert.Assert(t, !present, "a record deleted during the fault is still in the copy")
			fx.await(func() bool { return fx.follower.LastConfirmed().After(before) })
		})
	}
}

// Guards against a copy that returns to older records, or counts as confirmed, when the store answers from an older revision.
func TestFollowerNeverReverts(t *testing.T) {
	fx := newFixture(t)
	fx.setShare("trail", 1)
	fx.follow(nil)
	fx.awaitShare("trail", 1)
	fx.setShare("trail", 2)
	fx.awaitShare("trail", 2)
	fx.setShare("new", 5)
	fx.awaitShare("new", 5)

	// From here on every list is older than the copy, and the watch cannot be resumed.
	fx.setFaults(store.Faults{Outage: store.OutageUnavailable})
	fx.setShare("other", 1)
	fx.store.Core().Compact(fx.store.Core().Revision())
	watchCalls := fx.store.Calls()[store.CallWatch]
	fx.await(func() bool { return fx.store.Calls()[store.CallWatch] > watchCalls+1 })
	confirmed := fx.follower.LastConfirmed()
	rangeCalls := fx.store.Calls()[store.CallRange]
	fx.setFaults(store.Faults{StaleBy: 3})
	fx.await(func() bool { return fx.store.Calls()[store.CallRange] > rangeCalls+2 })
	team, _ := fx.directory.Teams.Get("trail")
	assert.Equal(t, team.Share, jaybarrow.Share(2))
	_, present := fx.directory.Teams.Get("new")
	assert.Assert(t, present, "a record newer than a stale list was removed")
	assert.Equal(t, fx.follower.LastConfirmed(), confirmed, "a stale list must not confirm the copy")

	fx.setFaults(store.Faults{})
	fx.awaitShare("other", 1)
}

// Guards against an entry host that does not become ready, or receives no changes, while the store is unavailable, and against
// deletions that peers do not pass on.
func TestFollowerAsksPeers(t *testing.T) {
	peer := newFixture(t)
	peer.follow(nil)
	for _, name := range []string{"store unavailable at start", "store unavailable later"} {
		t.Run(name, func(t *testing.T) {
			peer.setShare("trail", 1)
			peer.setShare("gone", 1)
			peer.awaitShare("trail", 1)
			peer.awaitShare("gone", 1)
			fx := newFixture(t)
			fx.settings.StoreTimeout = 100 * time.Millisecond
			if name == "store unavailable at start" {
				fx.setFaults(store.Faults{Outage: store.OutageRefuse})
			}
			fx.follow(func(_ context.Context, after jaybarrow.Revision) ([]jaybarrow.Record, jaybarrow.Revision, error) {
				records, reached := peer.directory.Since(after)
				return records, reached, nil
			})
			<-fx.follower.Ready()
			fx.setFaults(store.Faults{Outage: store.OutageRefuse})
			confirmed := fx.follower.LastConfirmed()
			fx.awaitShare("trail", 1)
			peer.setShare("trail", 2)
			peer.setShare("gone", 0)
			fx.awaitShare("trail", 2)
			fx.await(func() bool { _, present := fx.directory.Teams.Get("gone"); return !present })
			assert.Equal(t, fx.follower.LastConfirmed(), confirmed, "an answer of a peer must not count as a confirmation by the store")
		})
	}
}

// Guards against a follower that is ready without a revision of the configuration, and against fetches from peers and lists of
// the store while the watch works.
func TestFollowerReadinessAndIdleCalls(t *testing.T) {
	fx := newFixture(t)
	fx.setFaults(store.Faults{Outage: store.OutageUnavailable})
	fx.follow(func(context.Context, jaybarrow.Revision) ([]jaybarrow.Record, jaybarrow.Revision, error) {
		return nil, 0, jaybarrow.Errorf(jaybarrow.KindPeerLost, "no peer")
	})
	fx.await(func() bool { return fx.peerFetches.Load() > 2 })
	select {
	case <-fx.follower.Ready():
		t.Fatal("the follower is ready without a revision of the configuration")
	default:
	}
	fx.setFaults(store.Faults{})
	<-fx.follower.Ready()
	first := fx.follower.LastConfirmed()
	rangeCalls := fx.store.Calls()[store.CallRange]
	fx.await(func() bool { return fx.follower.LastConfirmed().Sub(first) > time.Second })
	peerFetches := fx.peerFetches.Load()
	second := fx.follower.LastConfirmed()
	fx.await(func() bool { return fx.follower.LastConfirmed().After(second) })
	assert.Equal(t, fx.peerFetches.Load(), peerFetches)
	assert.Equal(t, fx.store.Calls()[store.CallRange], rangeCalls)
}

// Guards against retries without a wait, which would exhaust the call budget of the store during an outage.
func TestFollowerRetriesAreBounded(t *testing.T) {
	fx := newFixture(t)
	fx.setFaults(store.Faults{Outage: store.OutageUnavailable})
	start := time.Now()
	fx.follow(nil)
	fx.await(func() bool { return time.Since(start) > time.Second })
	maxCalls := int64(time.Since(start)/(settings.RetryMax/2)) + 8
	assert.Assert(t, fx.store.Calls()[store.CallRange] <= maxCalls, "%d calls", fx.store.Calls()[store.CallRange])
}
