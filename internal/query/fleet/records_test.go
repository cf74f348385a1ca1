package fleet_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
	"github.com/jaybarrow/jaybarrow/internal/query/fleet"
)

var ctx = context.Background()

// Guards against deleted records and a wrong order in lists, and against fields of the answering entry host that appear although
// no usage, conditions or ejections are given.
func TestRecords(t *testing.T) {
	d := directory.New()
	revision := jaybarrow.Revision(0)
	apply := func(key jaybarrow.Key, value any) {
		revision++
		data, err := json.Marshal(value)
		assert.NilError(t, err)
		record := jaybarrow.Record{Key: key, Value: data, Revision: revision, Deleted: value == nil}
		assert.NilError(t, d.Apply([]jaybarrow.Record{record}, revision))
	}
	apply(jaybarrow.HostKey("h2"), jaybarrow.Host{ID: "h2", Pool: "desk"})
	apply(jaybarrow.HostKey("h1"), jaybarrow.Host{ID: "h1", Pool: "desk"})
	apply(jaybarrow.HostKey("h0"), jaybarrow.Host{ID: "h0", Pool: "desk"})
	apply(jaybarrow.HostKey("h0"), nil)
	apply(jaybarrow.DrainKey("desk"), jaybarrow.PoolDrains{Drains: map[jaybarrow.HostID]jaybarrow.Drain{"h1": {Host: "h1", Phase: jaybarrow.PhaseDraining}}})
	apply(jaybarrow.TeamKey("trail"), jaybarrow.Team{ID: "trail", Share: 2})
	apply(jaybarrow.AllotmentKey("trail"), jaybarrow.Allotment{Team: "trail", Limit: 9})

	all, one := fleet.NewHosts(d, nil, nil)
	hosts, err := all.Answer(ctx, fleet.AllRecords{})
	assert.NilError(t, err)
	assert.Equal(t, len(hosts), 2)
	assert.Equal(t, hosts[0].ID, jaybarrow.HostID("h1"))
	assert.Equal(t, hosts[0].Drain.Phase, jaybarrow.PhaseDraining)
	assert.Assert(t, hosts[1].Drain == nil)
	_, err = one.Answer(ctx, "h0")
	assert.Assert(t, jaybarrow.IsKind(err, jaybarrow.KindNotFound))

	_, team := fleet.NewTeams(d, nil)
	view, err := team.Answer(ctx, "trail")
	assert.NilError(t, err)
	assert.Equal(t, view.Limit.Limit, jaybarrow.Slots(9))
	assert.Equal(t, view.Limit.Revision, jaybarrow.Revision(7))
	data, err := json.Marshal([]any{view, hosts})
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(data), "Here"), "%s", data)
}
