package fleet

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
)

// DeletePool deletes a pool that no host, queue or move refers to.
type DeletePool struct {
	ID       jaybarrow.PoolID
	Revision jaybarrow.Revision
}

// DeletePoolHandler carries out DeletePool.
type DeletePoolHandler struct {
	records *Records
}

// NewDeletePool returns a DeletePoolHandler.
func NewDeletePool(records *Records) *DeletePoolHandler { return &DeletePoolHandler{records: records} }

// Handle deletes the pool.
func (h *DeletePoolHandler) Handle(ctx context.Context, in DeletePool) (Changed, error) {
	if err := check(nameRule("id", in.ID)); err != nil {
		return Changed{}, err
	}
	if _, err := readAt[jaybarrow.Pool](ctx, h.records, jaybarrow.PoolKey(in.ID), in.Revision); err != nil {
		return Changed{}, err
	}
	if err := h.checkUnused(ctx, in.ID); err != nil {
		return Changed{}, err
	}
	revision, err := h.records.remove(ctx, jaybarrow.PoolKey(in.ID), in.Revision)
	return Changed{revision}, err
}

// checkUnused returns KindConflict while a host, queue or move refers to the pool.
func (h *DeletePoolHandler) checkUnused(ctx context.Context, id jaybarrow.PoolID) error {
	hosts, err := list[jaybarrow.Host](ctx, h.records, jaybarrow.HostPrefix)
	if err != nil {
		return err
	}
	for _, host := range hosts {
		if host.Pool == id {
			return jaybarrow.Errorf(jaybarrow.KindConflict, "host %s is in pool %s", host.ID, id)
		}
	}
	queues, err := list[jaybarrow.Queue](ctx, h.records, jaybarrow.QueuePrefix)
	if err != nil {
		return err
	}
	for _, queue := range queues {
		if queue.Pool == id {
			return jaybarrow.Errorf(jaybarrow.KindConflict, "queue %s sends to pool %s", queue.ID, id)
		}
	}
	return h.checkNoMoves(ctx, id)
}

func (h *DeletePoolHandler) checkNoMoves(ctx context.Context, id jaybarrow.PoolID) error {
	drains, err := list[jaybarrow.PoolDrains](ctx, h.records, jaybarrow.DrainPrefix)
	if err != nil {
		return err
	}
	for _, pool := range drains {
		for _, drain := range pool.Drains {
			if drain.MoveTo == id {
				return jaybarrow.Errorf(jaybarrow.KindConflict, "host %s is being moved to pool %s", drain.Host, id)
			}
		}
	}
	return nil
}
