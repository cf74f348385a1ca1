package route

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/inflight"
)

// Local runs requests on the schedulers of this entry host, and cancels those that it has taken from callers or has queued or
// running. It calls no other entry host, so it answers theirs.
type Local struct {
	schedulers jaybarrow.Runner
	inFlight   *inflight.Requests
}

// NewLocal returns a Local.
func NewLocal(schedulers jaybarrow.Runner, inFlight *inflight.Requests) *Local {
	return &Local{schedulers: schedulers, inFlight: inFlight}
}

// Run runs the request on the local schedulers.
func (l *Local) Run(ctx context.Context, request jaybarrow.Request) ([]byte, error) {
	return l.schedulers.Run(ctx, request)
}

// Cancel ends the request here, and reports whether it was in progress, queued or running. It waits for a claim of the id that
// is under way.
func (l *Local) Cancel(ctx context.Context, team jaybarrow.TeamID, id jaybarrow.RequestID) (bool, error) {
	queued, err := l.schedulers.Cancel(ctx, team, id)
	inFlight := l.inFlight.Cancel(ctx, team, id)
	return queued || inFlight, err
}
