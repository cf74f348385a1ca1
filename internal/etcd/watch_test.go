package etcd_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/etcd"
	"github.com/jaybarrow/jaybarrow/internal/standin/store"
)

// Guards against lost, duplicated or reordered changes when a watch is resumed from the last revision that it delivered.
func TestWatchResumes(t *testing.T) {
	ctx, s := context.Background(), startStore(t, store.Timing{})
	client := newClient(t, s, callTimeout)
	const changes = 40
	var reached jaybarrow.Revision
	var seen []jaybarrow.Record
	for range 4 {
		w, err := client.Watch(ctx, "/w/", reached)
		assert.NilError(t, err)
		for range changes / 8 {
			revision, err := client.CompareAndSwap(ctx, "/w/a", 0, []byte("v"), 0)
			assert.NilError(t, err)
			_, err = client.CompareAndSwap(ctx, "/other", 0, nil, 0)
			assert.Assert(t, err == nil || jaybarrow.IsKind(err, jaybarrow.KindConflict), "%v", err)
			_, err = client.Delete(ctx, "/w/a", revision)
			assert.NilError(t, err)
		}
		for last := s.Core().Revision(); reached < last; {
			event, err := w.Next()
			assert.NilError(t, err)
			seen, reached = append(seen, event.Records...), event.Revision
		}
		w.Close()
		_, err = w.Next()
		assert.Assert(t, err != nil, "a closed watch must fail")
	}
	assert.Equal(t, len(seen), changes)
	for i, change := range s.Core().Log("/w/") {
		assert.Equal(t, seen[i].Revision, change.Revision)
		assert.Equal(t, seen[i].Deleted, change.Deleted)
		assert.Equal(t, string(seen[i].Value), string(change.Value))
	}
	assert.Equal(t, s.Calls()[store.CallWatch], int64(4), "a waiting watch counts as one call")
}

// Guards against a broken watch that looks like a working one: it must fail, and with KindNotFound when the caller must list
// again.
func TestWatchFails(t *testing.T) {
	cases := []struct {
		name   string
		faults store.Faults
		kind   jaybarrow.ErrorKind
	}{
		{"compacted", store.Faults{}, jaybarrow.KindNotFound},
		{"unavailable", store.Faults{Outage: store.OutageUnavailable}, jaybarrow.KindStoreUnavailable},
		{"refused", store.Faults{Outage: store.OutageRefuse}, jaybarrow.KindStoreUnavailable},
		{"silent from the start", store.Faults{FrozenWatches: store.FreezeAll}, jaybarrow.KindStoreUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, s := context.Background(), startStore(t, store.Timing{})
			client := newClient(t, s, time.Second)
			_, err := client.CompareAndSwap(ctx, "/w/a", 0, nil, 0)
			assert.NilError(t, err)
			s.Core().Compact(s.Core().Revision())
			assert.NilError(t, s.SetFaults(c.faults))
			w, err := client.Watch(ctx, "/w/", 1)
			if err == nil {
				_, err = w.Next()
				w.Close()
			}
			assert.Assert(t, jaybarrow.IsKind(err, c.kind), "%v", err)
		})
	}
}

// Guards against an idle watch without progress notices, which a client cannot distinguish from a silent connection.
func TestWatchReportsProgress(t *testing.T) {
	ctx, s := context.Background(), startStore(t, store.Timing{})
	client := newClient(t, s, callTimeout)
	w, err := client.Watch(ctx, "/w/", 0)
	assert.NilError(t, err)
	defer w.Close()
	event, err := w.Next()
	assert.NilError(t, err)
	assert.Equal(t, len(event.Records), 0)
	assert.Equal(t, event.Revision, s.Core().Revision())
}

// Guards against a host that counts as gone before the list's lag has passed, a time gone that stops growing while the list
// cannot be read, and a reboot that the list does not show.
func TestConditions(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent(), goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"))
	s, err := store.NewLoopback(jaybarrow.SystemClock{}, store.Timing{Lag: 100 * time.Millisecond, Reboot: 200 * time.Millisecond})
	assert.NilError(t, err)
	defer s.Close()
	client := newClient(t, s, callTimeout)
	defer client.Close()
	c := etcd.NewConditions(etcd.ConditionsDeps{
		Clock: jaybarrow.SystemClock{}, Log: zerolog.Nop(), Hosts: client, Interval: 5 * time.Millisecond,
	})
	defer c.Close()
	is := func(name string, want jaybarrow.HostCondition) func() bool {
		return func() bool { return c.Condition(name) == want }
	}
	assert.Equal(t, c.Condition("entry-1"), jaybarrow.HostLive)
	changed, setAt := c.Changed(), time.Now()
	s.Hosts().SetCondition("entry-1", jaybarrow.HostGone)
	await(t, is("entry-1", jaybarrow.HostGone))
	assert.Assert(t, time.Since(setAt) >= 100*time.Millisecond, "reported before the lag has passed")
	<-changed
	gone, ok := c.GoneFor("entry-1")
	assert.Assert(t, ok && gone <= time.Since(setAt)-100*time.Millisecond, "gone for %v", gone)
	// The time must grow both while the list is read and while it cannot be read.
	await(t, func() bool { longer, _ := c.GoneFor("entry-1"); return longer > gone+100*time.Millisecond })

	assert.NilError(t, s.SetFaults(store.Faults{Outage: store.OutageRefuse}))
	gone, _ = c.GoneFor("entry-1")
	await(t, func() bool { longer, _ := c.GoneFor("entry-1"); return longer > gone+50*time.Millisecond })
	assert.NilError(t, s.SetFaults(store.Faults{}))

	assert.NilError(t, client.Reboot(context.Background(), "host-1"))
	await(t, is("host-1", jaybarrow.HostDown))
	await(t, is("host-1", jaybarrow.HostLive))
	assert.Equal(t, s.Hosts().Reboots()[0].Host, jaybarrow.HostID("host-1"))
	err = client.Reboot(context.Background(), "entry-1")
	assert.Assert(t, jaybarrow.IsKind(err, jaybarrow.KindNotFound), "a host that is gone cannot be rebooted: %v", err)
}
