package etcd_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/etcd"
	"github.com/jaybarrow/jaybarrow/internal/standin/faultproxy"
	"github.com/jaybarrow/jaybarrow/internal/standin/store"
)

const callTimeout = 10 * time.Second

func startStore(t *testing.T, timing store.Timing) *store.Server {
	t.Helper()
	s, err := store.NewLoopback(jaybarrow.SystemClock{}, timing)
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s
}

func newClient(t *testing.T, s *store.Server, timeout time.Duration) *etcd.Client {
	t.Helper()
	c := etcd.New(etcd.Settings{Address: s.Address(), Connections: 16, DialTimeout: timeout, CallTimeout: timeout})
	t.Cleanup(c.Close)
	return c
}

// Guards against an error with the wrong effect: after notRun a writer ignores a write that may have taken effect, and after
// mayHaveRun a caller gives up a request that is safe to repeat.
func TestErrorOfWrite(t *testing.T) {
	cases := []struct {
		name     string
		faults   store.Faults
		previous jaybarrow.Revision
		lease    jaybarrow.LeaseID
		timeout  time.Duration
		kind     jaybarrow.ErrorKind
		effect   jaybarrow.Effect
		written  bool
	}{
		{"unavailable", store.Faults{Outage: store.OutageUnavailable}, 0, 0, callTimeout, jaybarrow.KindStoreUnavailable, jaybarrow.EffectNotRun, false},
		{"refused connection", store.Faults{Outage: store.OutageRefuse}, 0, 0, callTimeout, jaybarrow.KindStoreUnavailable, jaybarrow.EffectNotRun, false},
		{"lost answer", store.Faults{LostAnswers: store.LostAnswers{Next: 1}}, 0, 0, callTimeout, jaybarrow.KindStoreUnavailable, jaybarrow.EffectMayHaveRun, true},
		{"lost answer below prefix", store.Faults{LostAnswers: store.LostAnswers{All: true, Prefix: "/a"}}, 0, 0, callTimeout, jaybarrow.KindStoreUnavailable, jaybarrow.EffectMayHaveRun, true},
		{"slower than the timeout", store.Faults{DelayMs: 300}, 0, 0, 50 * time.Millisecond, jaybarrow.KindStoreUnavailable, jaybarrow.EffectMayHaveRun, true},
		{"conflict", store.Faults{}, 7, 0, callTimeout, jaybarrow.KindConflict, jaybarrow.EffectNotRun, false},
		{"no such lease", store.Faults{}, 0, 99, callTimeout, jaybarrow.KindNotFound, jaybarrow.EffectNotRun, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, s := context.Background(), startStore(t, store.Timing{})
			client := newClient(t, s, c.timeout)
			assert.NilError(t, s.SetFaults(c.faults))
			_, err := client.CompareAndSwap(ctx, "/a", c.previous, []byte("v"), c.lease)
			assert.Equal(t, jaybarrow.AsError(err).Kind, c.kind, "%v", err)
			assert.Equal(t, jaybarrow.AsError(err).Effect, c.effect, "%v", err)
			if c.written {
				await(t, func() bool { return len(s.Core().Log("/a")) == 1 })
			}
			assert.NilError(t, s.SetFaults(store.Faults{}))
			revision, err := client.CompareAndSwap(ctx, "/b", 0, []byte("w"), 0)
			assert.NilError(t, err, "the client must work again after the fault")
			assert.Equal(t, len(s.Core().Log("/a")), map[bool]int{true: 1}[c.written])
			assert.Equal(t, s.Core().Revision(), revision)
		})
	}
}

// Guards against a read-back that takes another writer's value or a stale answer for the outcome of the writer's own write.
func TestConfirm(t *testing.T) {
	ctx := context.Background()
	write := func(t *testing.T, c *store.Core, previous jaybarrow.Revision, value string) jaybarrow.Revision {
		t.Helper()
		revision, err := c.CompareAndSwap(ctx, "/k", previous, []byte(value), 0)
		assert.NilError(t, err)
		return revision
	}
	cases := []struct {
		name    string
		deletes bool
		then    func(t *testing.T, c *store.Core, first jaybarrow.Revision)
		stale   jaybarrow.Revision
		outcome etcd.Outcome
		failed  bool
	}{
		{"written", false, func(t *testing.T, c *store.Core, first jaybarrow.Revision) { write(t, c, first, "own") }, 0, etcd.OutcomeWritten, false},
		{"unchanged", false, func(*testing.T, *store.Core, jaybarrow.Revision) {}, 0, etcd.OutcomeUnchanged, false},
		{"another writer won", false, func(t *testing.T, c *store.Core, first jaybarrow.Revision) { write(t, c, first, "other") }, 0, etcd.OutcomeReplaced, false},
		{"overwritten", false, func(t *testing.T, c *store.Core, first jaybarrow.Revision) {
			write(t, c, write(t, c, first, "own"), "other")
		}, 0, etcd.OutcomeReplaced, false},
		{"deleted by itself", true, func(t *testing.T, c *store.Core, first jaybarrow.Revision) {
			_, err := c.Delete(ctx, "/k", first)
			assert.NilError(t, err)
		}, 0, etcd.OutcomeWritten, false},
		{"deleted by another", false, func(t *testing.T, c *store.Core, first jaybarrow.Revision) {
			_, err := c.Delete(ctx, "/k", first)
			assert.NilError(t, err)
		}, 0, etcd.OutcomeReplaced, false},
		{"stale answer without the record", true, func(*testing.T, *store.Core, jaybarrow.Revision) {}, 1, "", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := startStore(t, store.Timing{})
			client := newClient(t, s, callTimeout)
			first := write(t, s.Core(), 0, "first")
			c.then(t, s.Core(), first)
			assert.NilError(t, s.SetFaults(store.Faults{StaleBy: c.stale}))
			before := s.Core().Revision()
			outcome, _, err := etcd.Confirm(ctx, client, "/k", first, func(r jaybarrow.Record) bool {
				return r.Deleted == c.deletes && (c.deletes || string(r.Value) == "own")
			})
			assert.Equal(t, jaybarrow.IsKind(err, jaybarrow.KindStoreUnavailable), c.failed, "%v", err)
			assert.Equal(t, outcome, c.outcome)
			assert.Equal(t, s.Core().Revision(), before, "confirming must not write")
		})
	}
}

// Guards against a record that outlives its lease, and against a renewal that succeeds after the lease has ended.
func TestLease(t *testing.T) {
	ctx, s := context.Background(), startStore(t, store.Timing{})
	client := newClient(t, s, callTimeout)
	for _, end := range []string{"revoked", "expired"} {
		t.Run(end, func(t *testing.T) {
			lease, err := client.GrantLease(ctx, time.Second)
			assert.NilError(t, err)
			key := jaybarrow.Key("/lease/" + end)
			_, err = client.CompareAndSwap(ctx, key, 0, []byte("v"), lease)
			assert.NilError(t, err)
			assert.NilError(t, client.KeepAlive(ctx, lease))
			if end == "revoked" {
				assert.NilError(t, client.RevokeLease(ctx, lease))
			}
			await(t, func() bool {
				_, err := client.Get(ctx, key)
				return jaybarrow.IsKind(err, jaybarrow.KindNotFound)
			})
			assert.Assert(t, jaybarrow.IsKind(client.KeepAlive(ctx, lease), jaybarrow.KindNotFound))
		})
	}
}

// await waits until the condition holds.
func await(t *testing.T, holds func() bool) {
	t.Helper()
	deadline := time.After(30 * time.Second)
	for !holds() {
		select {
		case <-deadline:
			t.Fatal("the condition was not met in time")
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// Guards against a client that keeps using open connections that have gone silent while new ones work.
func TestSilentConnections(t *testing.T) {
	ctx, s := context.Background(), startStore(t, store.Timing{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	proxy := faultproxy.New(jaybarrow.SystemClock{}, listener, s.Address())
	t.Cleanup(proxy.Close)
	client := etcd.New(etcd.Settings{Address: proxy.Address(), Connections: 16, DialTimeout: time.Second, CallTimeout: time.Second})
	t.Cleanup(client.Close)

	assert.NilError(t, s.SetFaults(store.Faults{DelayMs: 100}))
	var group conc.WaitGroup
	for range 8 {
		group.Go(func() { _, _, _ = client.List(ctx, "/") })
	}
	group.Wait()
	open, _ := proxy.Connections()
	assert.Assert(t, open > 1, "the calls must have opened several connections")
	assert.NilError(t, s.SetFaults(store.Faults{}))

	proxy.FreezeOpen(faultproxy.Down)
	_, err = client.CompareAndSwap(ctx, "/a", 0, []byte("v"), 0)
	assert.Equal(t, jaybarrow.AsError(err).Effect, jaybarrow.EffectMayHaveRun, "%v", err)
	outcome, _, err := etcd.Confirm(ctx, client, "/a", 0, func(r jaybarrow.Record) bool { return string(r.Value) == "v" })
	assert.NilError(t, err)
	assert.Equal(t, outcome, etcd.OutcomeWritten)
}

// Guards against a read that fails although the store is back, because an outage has closed the connections that were kept.
func TestAReadAfterAnOutageUsesANewConnection(t *testing.T) {
	ctx, s := context.Background(), startStore(t, store.Timing{})
	client := newClient(t, s, callTimeout)
	_, err := client.CompareAndSwap(ctx, "/a", 0, []byte("v"), 0)
	assert.NilError(t, err)
	for n := range 20 {
		assert.NilError(t, s.SetFaults(store.Faults{Outage: store.OutageRefuse}))
		assert.NilError(t, s.SetFaults(store.Faults{}))
		_, err := client.Get(ctx, "/a")
		assert.NilError(t, err, "after outage %d", n)
	}
}
