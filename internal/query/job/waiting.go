package job

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
)

// WaitingHandler counts the jobs of a queue that have started no task.
type WaitingHandler struct{ deps Deps }

// NewWaiting returns a WaitingHandler.
func NewWaiting(d Deps) *WaitingHandler { return &WaitingHandler{deps: d} }

// Handle returns the number of waiting jobs, or KindPeerLost when no scheduler responds.
func (h *WaitingHandler) Handle(ctx context.Context, queue jaybarrow.QueueID) (int, error) {
	readCtx, cancel := context.WithTimeout(ctx, h.deps.Settings.ReadTimeout)
	defer cancel()
	return h.deps.Directory.JobsWaiting(readCtx, queue)
}
