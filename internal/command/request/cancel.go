package request

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
)

// Cancel asks to end a request of the key's team.
type Cancel struct {
	Key string
	ID  jaybarrow.RequestID
}

// CancelHandler ends requests.
type CancelHandler struct {
	directory *directory.Directory
	runner    jaybarrow.Runner
}

// NewCancel returns a CancelHandler.
func NewCancel(d *directory.Directory, runner jaybarrow.Runner) *CancelHandler {
	return &CancelHandler{directory: d, runner: runner}
}

// Handle ends the request and returns its id, or KindNotFound.
func (h *CancelHandler) Handle(ctx context.Context, in Cancel) (jaybarrow.RequestID, error) {
	access, ok := h.directory.AccessKeys.Get(Hash(in.Key))
	if !ok || access.Withdrawn {
		return in.ID, jaybarrow.Errorf(jaybarrow.KindBadKey, "the key is unknown or withdrawn")
	}
	known, err := h.runner.Cancel(ctx, access.Team, in.ID)
	if err != nil {
		return in.ID, err
	}
	if !known {
		return in.ID, jaybarrow.Errorf(jaybarrow.KindNotFound, "no queued or running request %s", in.ID)
	}
	return in.ID, nil
}
