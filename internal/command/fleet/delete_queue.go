package fleet

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
)

// DeleteQueue deletes a queue; the requests that it has accepted still run.
type DeleteQueue struct {
	ID       jaybarrow.QueueID
	Revision jaybarrow.Revision
}

// DeleteQueueHandler carries out DeleteQueue.
type DeleteQueueHandler struct {
	records *Records
}

// NewDeleteQueue returns a DeleteQueueHandler.
func NewDeleteQueue(records *Records) *DeleteQueueHandler {
	return &DeleteQueueHandler{records: records}
}

// Handle deletes the queue.
func (h *DeleteQueueHandler) Handle(ctx context.Context, in DeleteQueue) (Changed, error) {
	if err := check(nameRule("id", in.ID)); err != nil {
		return Changed{}, err
	}
	revision, err := h.records.remove(ctx, jaybarrow.QueueKey(in.ID), in.Revision)
	return Changed{revision}, err
}
