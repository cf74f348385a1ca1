package fleet

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
)

// PutPool creates or replaces a pool.
type PutPool struct {
	Pool     jaybarrow.Pool
	Revision jaybarrow.Revision // 0 when the pool must not exist
}

// PutPoolHandler carries out PutPool.
type PutPoolHandler struct {
	records *Records
}

// NewPutPool returns a PutPoolHandler.
func NewPutPool(records *Records) *PutPoolHandler { return &PutPoolHandler{records: records} }

// Handle writes the pool.
func (h *PutPoolHandler) Handle(ctx context.Context, in PutPool) (Changed, error) {
	err := check(nameRule("id", in.Pool.ID), rangeRule("maxUnavailable", in.Pool.MaxUnavailable, 0, maxPoolUnavailable), revisionRule(in.Revision))
	if err != nil {
		return Changed{}, err
	}
	revision, err := h.records.put(ctx, jaybarrow.PoolKey(in.Pool.ID), in.Revision, in.Pool)
	return Changed{revision}, err
}
