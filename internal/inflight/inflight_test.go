package inflight_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/inflight"
)

// Guards against two requests in progress under one id of a team, against a duplicate that ends the record of the first one,
// against teams that share their ids, and against ids that stay in use.
func TestOneRequestForEachID(t *testing.T) {
	r := inflight.New()
	ctx, first, err := r.Begin(context.Background(), "trail", "r1")
	assert.NilError(t, err)
	first.HoldID()
	_, _, err = r.Begin(context.Background(), "trail", "r1")
	assert.Assert(t, jaybarrow.IsKind(err, jaybarrow.KindDuplicateRequest), "%v", err)
	otherCtx, other, err := r.Begin(context.Background(), "clubs", "r1")
	assert.NilError(t, err)
	defer other.End()
	assert.Assert(t, r.Cancel(context.Background(), "trail", "r1"))
	assert.Assert(t, ctx.Err() != nil)
	assert.NilError(t, otherCtx.Err())
	first.End()
	assert.Assert(t, !r.Cancel(context.Background(), "trail", "r1"))
	again, second, err := r.Begin(context.Background(), "trail", "r1")
	assert.NilError(t, err)
	defer second.End()
	assert.NilError(t, again.Err())
}

// Guards against a cancellation that waits without end for a claim, and against one that takes effect only after the wait.
func TestCancelEndsWithItsContext(t *testing.T) {
	r := inflight.New()
	ctx, begun, err := r.Begin(context.Background(), "trail", "r1")
	assert.NilError(t, err)
	defer begun.End()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Assert(t, !r.Cancel(ended, "trail", "r1"))
	assert.Assert(t, ctx.Err() != nil)
}
