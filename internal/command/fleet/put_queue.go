package fleet

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
)

// PutQueue creates or replaces a queue; the first open queue creates team public.
type PutQueue struct {
	Queue    jaybarrow.Queue
	Revision jaybarrow.Revision // 0 when the queue must not exist
}

// PutQueueHandler carries out PutQueue.
type PutQueueHandler struct {
	records *Records
	putTeam *PutTeamHandler
}

// NewPutQueue returns a PutQueueHandler that creates team public with putTeam.
func NewPutQueue(records *Records, putTeam *PutTeamHandler) *PutQueueHandler {
	return &PutQueueHandler{records: records, putTeam: putTeam}
}

// Handle writes the queue, whose pool must exist.
func (h *PutQueueHandler) Handle(ctx context.Context, in PutQueue) (Changed, error) {
	if err := checkQueue(in.Queue); err != nil {
		return Changed{}, err
	}
	if err := check(revisionRule(in.Revision)); err != nil {
		return Changed{}, err
	}
	if err := h.records.checkPoolExists(ctx, "pool", in.Queue.Pool); err != nil {
		return Changed{}, err
	}
	if in.Queue.Open {
		if err := h.ensurePublicTeam(ctx); err != nil {
			return Changed{}, err
		}
	}
	revision, err := h.records.put(ctx, jaybarrow.QueueKey(in.Queue.ID), in.Revision, in.Queue)
	return Changed{revision}, err
}

// checkPoolExists rejects the field's reference to a pool that does not exist.
func (r *Records) checkPoolExists(ctx context.Context, field string, id jaybarrow.PoolID) error {
	_, _, err := read[jaybarrow.Pool](ctx, r, jaybarrow.PoolKey(id))
	if jaybarrow.IsKind(err, jaybarrow.KindNotFound) {
		return invalidField(field, "an existing pool; there is no pool "+string(id))
	}
	return err
}
