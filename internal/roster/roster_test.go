package roster_test

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
	"github.com/jaybarrow/jaybarrow/internal/roster"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// conditions is a fake of the platform's list; hosts without an entry are live.
type conditions map[string]jaybarrow.HostCondition

func (c conditions) Condition(name string) jaybarrow.HostCondition {
	if condition, ok := c[name]; ok {
		return condition
	}
	return jaybarrow.HostLive
}

func (c conditions) GoneFor(string) (time.Duration, bool) { return 0, false }

func (c conditions) Changed() <-chan struct{} { return nil }

func (c conditions) ReadAt() time.Time { return time.Time{} }

// ejected is a fake of the workers' health.
type ejected map[jaybarrow.HostID]bool

func (e ejected) Accepting(_ jaybarrow.PoolID, host jaybarrow.HostID) bool { return !e[host] }

func (e ejected) Changed() <-chan struct{} { return nil }

func (e ejected) SetPool(jaybarrow.PoolID, []jaybarrow.HostID, int) {}

func put(t *testing.T, d *directory.Directory, key jaybarrow.Key, value any) {
	t.Helper()
	data, err := json.Marshal(value)
	assert.NilError(t, err)
	revision := d.Newest() + 1
	assert.NilError(t, d.Apply([]jaybarrow.Record{{Key: key, Value: data, Revision: revision}}, revision))
}

// Guards against borrowing a host that is draining, leaving, down or ejected, against lending while the lender has waiting work,
// and against borrowing from another data centre or from a pool that is not spare.
func TestBorrowedHosts(t *testing.T) {
	cases := []struct {
		name       string
		pool       jaybarrow.PoolID
		conditions conditions
		ejected    ejected
		draining   jaybarrow.HostID
		busy       []jaybarrow.PoolID
		borrowed   []jaybarrow.HostID
	}{
		{name: "all accept", pool: "desk", borrowed: []jaybarrow.HostID{"s1", "s2"}},
		{name: "draining", pool: "desk", draining: "s1", borrowed: []jaybarrow.HostID{"s2"}},
		{name: "leaving", pool: "desk", conditions: conditions{"s1": jaybarrow.HostLeaving}, borrowed: []jaybarrow.HostID{"s2"}},
		{name: "down", pool: "desk", conditions: conditions{"s2": jaybarrow.HostDown}, borrowed: []jaybarrow.HostID{"s1"}},
		{name: "ejected", pool: "desk", ejected: ejected{"s2": true}, borrowed: []jaybarrow.HostID{"s1"}},
		{name: "the lender has waiting work", pool: "desk", busy: []jaybarrow.PoolID{"spare"}},
		{name: "another pool has waiting work", pool: "desk", busy: []jaybarrow.PoolID{"batch"}, borrowed: []jaybarrow.HostID{"s1", "s2"}},
		{name: "the spare pool itself", pool: "spare"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := directory.New()
			put(t, d, jaybarrow.PoolKey("desk"), jaybarrow.Pool{ID: "desk"})
			put(t, d, jaybarrow.PoolKey("batch"), jaybarrow.Pool{ID: "batch"})
			put(t, d, jaybarrow.PoolKey("spare"), jaybarrow.Pool{ID: "spare", Spare: true})
			for _, h := range []jaybarrow.Host{
				{ID: "d1", Pool: "desk", DataCentre: "north"},
				{ID: "b1", Pool: "batch", DataCentre: "north"},
				{ID: "s1", Pool: "spare", DataCentre: "north"},
				{ID: "s2", Pool: "spare", DataCentre: "north"},
				{ID: "s3", Pool: "spare", DataCentre: "south"},
			} {
				put(t, d, jaybarrow.HostKey(h.ID), h)
			}
			if c.draining != "" {
				drains := jaybarrow.PoolDrains{Pool: "spare", Drains: map[jaybarrow.HostID]jaybarrow.Drain{c.draining: {Host: c.draining}}}
				put(t, d, jaybarrow.DrainKey("spare"), drains)
			}
			r := roster.New(d, c.conditions, c.ejected, "north", nil)
			defer r.Close()
			r.SetBusyPools(c.busy)
			borrowed := map[jaybarrow.HostID]bool{}
			for _, v := range r.PoolHosts(c.pool) {
				if v.Borrowed {
					assert.Assert(t, v.Accepting, "%s", v.ID)
					borrowed[v.ID] = true
				}
			}
			assert.DeepEqual(t, slices.Sorted(maps.Keys(borrowed)), c.borrowed)
		})
	}
}

// Guards against a scheduler that continues to borrow hosts because the lender's waiting work was not announced to it.
func TestBusyLenderIsAnnounced(t *testing.T) {
	r := roster.New(directory.New(), conditions{}, ejected{}, "north", nil)
	defer r.Close()
	<-time.After(10 * time.Millisecond) // wait for the announcement that New makes
	changed := r.Changed()
	r.SetBusyPools([]jaybarrow.PoolID{"spare"})
	select {
	case <-changed:
	default:
		t.Fatal("no change was announced")
	}
}
