package job

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
)

// Cancel asks to end a job.
type Cancel struct {
	Queue *jaybarrow.JobQueue
	Key   string
	ID    jaybarrow.JobID
}

// CancelHandler stores cancellations.
type CancelHandler struct{ deps Deps }

// NewCancel returns a CancelHandler.
func NewCancel(d Deps) *CancelHandler { return &CancelHandler{deps: d} }

// Handle returns the job's id once the cancellation is stored; KindNotFound when there is no such job.
func (h *CancelHandler) Handle(ctx context.Context, in Cancel) (jaybarrow.JobID, error) {
	if _, err := h.deps.Authorizer.Team(in.Queue, in.Key); err != nil {
		return "", err
	}
	limited, cancel := context.WithTimeout(ctx, h.deps.Settings.Read)
	defer cancel()
	accepted, err := h.deps.Store.Get(limited, jaybarrow.JobAcceptedKey(in.ID))
	if err != nil {
		return "", err
	}
	key := jaybarrow.JobCancelledKey(in.ID)
	return in.ID, writeOnce(ctx, h.deps, jaybarrow.Commit{
		Expect: []jaybarrow.Expectation{{Key: key}, {Key: accepted.Key, Revision: accepted.Revision}},
		Puts:   []jaybarrow.Put{{Key: key, Value: []byte("{}")}},
	})
}
