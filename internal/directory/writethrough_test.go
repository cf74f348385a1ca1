package directory_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
	"github.com/jaybarrow/jaybarrow/internal/standin/store"
)

// Guards against an accepted change that is missing from the copy of the entry host that made it, so that peers cannot fetch it,
// and against a rejected change that is applied to the copy.
func TestWriteThrough(t *testing.T) {
	ctx, key := context.Background(), jaybarrow.TeamKey("trail")
	core, d := store.NewCore(jaybarrow.SystemClock{}), directory.New()
	w := directory.NewWriteThrough(core, d)
	share := func() jaybarrow.Share {
		team, _ := d.Teams.Get("trail")
		return team.Share
	}
	first, err := w.CompareAndSwap(ctx, key, 0, []byte(`{"share":1}`), 0)
	assert.NilError(t, err)
	assert.Equal(t, share(), jaybarrow.Share(1))
	_, err = w.CompareAndSwap(ctx, key, 0, []byte(`{"share":9}`), 0)
	assert.Assert(t, jaybarrow.IsKind(err, jaybarrow.KindConflict), "%v", err)
	assert.Equal(t, share(), jaybarrow.Share(1))

	second, err := core.CompareAndSwap(ctx, key, first, []byte(`{"share":2}`), 0)
	assert.NilError(t, err)
	_, err = w.Get(ctx, key)
	assert.NilError(t, err)
	assert.Equal(t, share(), jaybarrow.Share(2), "the record that was read is not in the copy")

	assert.Equal(t, d.Applied(), jaybarrow.Revision(0), "a single record must not count as all changes up to it")
	records, _ := d.Since(first)
	assert.Equal(t, len(records), 1, "peers cannot fetch the change")
	_, err = w.Delete(ctx, key, second)
	assert.NilError(t, err)
	assert.Equal(t, share(), jaybarrow.Share(0))
}
