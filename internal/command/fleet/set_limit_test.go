package fleet_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/command/fleet"
	"github.com/jaybarrow/jaybarrow/internal/identity"
)

// Guards against a change of a limit that fails because grants moved since the limit was read, that overwrites a concurrent
// change of the limit, or that does not report which entry hosts still hold too many permits.
func TestSetLimit(t *testing.T) {
	l, records := newStore()
	set := fleet.NewSetLimit(records, identity.NewChangeID)
	key := jaybarrow.AllotmentKey("trail")
	a := jaybarrow.Allotment{Team: "trail", Limit: 20, Grants: map[jaybarrow.EntryID]jaybarrow.Grant{"e1": {Slots: 4}, "e2": {Slots: 10}}}
	from := writeRecord(t, l, key, a)
	a.Grants["e1"] = jaybarrow.Grant{Slots: 5}
	writeRecord(t, l, key, a) // a grant moved after the operator read the limit
	out, err := set.Handle(ctx, fleet.SetLimit{Team: "trail", Limit: 10, Revision: from})
	assert.NilError(t, err)
	assert.Assert(t, !out.InForce)
	assert.Equal(t, out.Granted, jaybarrow.Slots(15))
	assert.Equal(t, len(out.Pending), 1)
	assert.Equal(t, out.Pending[0].Entry, jaybarrow.EntryID("e2"))
	_, err = set.Handle(ctx, fleet.SetLimit{Team: "trail", Limit: 30, Revision: from})
	assertError(t, err, jaybarrow.KindConflict, jaybarrow.EffectNotRun, fmt.Sprintf("at revision %d", out.Revision))

	l.responsesToLose, l.applyLost = 1, true
	l.afterLost = func() { // a grant moves before the outcome of the lost response is read back
		moved := readRecord[jaybarrow.Allotment](t, l, key)
		moved.Grants["e2"], moved.Change = jaybarrow.Grant{Slots: 1}, "other"
		writeRecord(t, l, key, moved)
	}
	out, err = set.Handle(ctx, fleet.SetLimit{Team: "trail", Limit: 6, Revision: out.Revision})
	assert.NilError(t, err)
	assert.Assert(t, out.InForce)
	assert.Equal(t, out.Granted, jaybarrow.Slots(6))
}
