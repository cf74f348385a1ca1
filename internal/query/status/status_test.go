package status_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
	"github.com/jaybarrow/jaybarrow/internal/query/status"
)

// fixedStats returns fixed members and statistics.
type fixedStats struct {
	members  []status.Member
	received map[jaybarrow.TeamID]float64
}

func (f fixedStats) Members() []status.Member               { return f.members }
func (f fixedStats) Received() map[jaybarrow.TeamID]float64 { return f.received }
func (fixedStats) Moves() int                               { return 3 }
func (fixedStats) LastRollOut() (time.Duration, bool)       { return time.Minute, true }

func apply(t *testing.T, d *directory.Directory, revision jaybarrow.Revision, key jaybarrow.Key, value any) {
	t.Helper()
	data, err := json.Marshal(value)
	assert.NilError(t, err)
	assert.NilError(t, d.Apply([]jaybarrow.Record{{Key: key, Value: data, Revision: revision}}, revision))
}

// Guards against a revision that is reported as in force while an entry host has not applied it or none is known, and against
// pending limits that are missing from the status.
func TestConfigurationStatus(t *testing.T) {
	d := directory.New()
	apply(t, d, 9, jaybarrow.AllotmentKey("trail"), jaybarrow.Allotment{
		Team: "trail", Limit: 4, Grants: map[jaybarrow.EntryID]jaybarrow.Grant{"e1": {Slots: 1}, "e2": {Slots: 5}},
	})
	members := []status.Member{{ID: "e2", AppliedRevision: 8, Ready: true}, {ID: "e1", AppliedRevision: 9, Ready: true}}
	cases := []struct {
		name     string
		revision jaybarrow.Revision
		members  []status.Member
		inForce  bool
		pending  int
	}{
		{"newest revision", 0, members, false, 1},
		{"older revision", 8, members, true, 0},
		{"no entry host known", 0, nil, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := status.NewConfiguration(jaybarrow.SystemClock{}, d, fixedStats{members: c.members})
			out, err := q.Answer(context.Background(), status.Configuration{Revision: c.revision})
			assert.NilError(t, err)
			assert.Equal(t, out.InForce, c.inForce)
			assert.Equal(t, len(out.PendingOn), c.pending)
			assert.Equal(t, len(out.PendingLimits), 1)
			assert.Equal(t, out.PendingLimits[0].Pending[0].Entry, jaybarrow.EntryID("e2"))
		})
	}
}

// Guards against shares that include idle or deleted teams, and against spare hosts that are not counted.
func TestMeasures(t *testing.T) {
	d := directory.New()
	apply(t, d, 1, jaybarrow.TeamKey("trail"), jaybarrow.Team{ID: "trail", Share: 3})
	apply(t, d, 2, jaybarrow.TeamKey("clubs"), jaybarrow.Team{ID: "clubs", Share: 1})
	apply(t, d, 3, jaybarrow.TeamKey("idle"), jaybarrow.Team{ID: "idle", Share: 4})
	apply(t, d, 4, jaybarrow.PoolKey("spare"), jaybarrow.Pool{ID: "spare", Spare: true})
	apply(t, d, 5, jaybarrow.HostKey("h1"), jaybarrow.Host{ID: "h1", Pool: "spare", Capacity: jaybarrow.Demand{Slots: 8}})
	f := fixedStats{received: map[jaybarrow.TeamID]float64{"trail": 10, "clubs": 10, "gone": 5}}
	out, err := status.NewMeasures(d, f, f).Answer(context.Background(), status.AllMeasures{})
	assert.NilError(t, err)
	assert.Equal(t, out.SpareHosts, 1)
	assert.Equal(t, *out.RollOutMs, int64(60000))
	assert.DeepEqual(t, out.Shares, []status.TeamShare{{"clubs", 10, 0.5, 0.25}, {"trail", 10, 0.5, 0.75}})
}
