package request

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
)

// Cancel requests the cancellation of a request of the key's team.
type Cancel struct {
	Key string
	ID  jaybarrow.RequestID
}

// CancelHandler cancels requests.
type CancelHandler struct {
	keys   *Authenticator
	runner jaybarrow.Runner
}

// NewCancel returns a CancelHandler.
func NewCancel(keys *Authenticator, runner jaybarrow.Runner) *CancelHandler {
	return &CancelHandler{keys: keys, runner: runner}
}

// Handle cancels the request; it returns KindNotFound when the team has no request with the id in progress, queued or running.
func (h *CancelHandler) Handle(ctx context.Context, in Cancel) (jaybarrow.RequestID, error) {
	team, err := h.keys.Team(in.Key)
	if err != nil {
		return in.ID, err
	}
	known, err := h.runner.Cancel(ctx, team, in.ID)
	if err != nil {
		return in.ID, err
	}
	if !known {
		return in.ID, jaybarrow.Errorf(jaybarrow.KindNotFound, "no queued or running request %s", in.ID)
	}
	return in.ID, nil
}
