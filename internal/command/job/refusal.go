package job

import (
	"net/http"

	"github.com/jaybarrow/jaybarrow"
)

// recordRefusal records a job that was refused with 429 or 503. Scheduled and lasting jobs are never too late, so that nobody needs to know
// since when their callers try.
func (h *AcceptHandler) recordRefusal(in Accept, err error) {
	if err == nil || h.deps.Refusals == nil || in.Recurrence != nil || isLasting(in.Steps) || !mayReturn(jaybarrow.AsError(err)) {
		return
	}
	h.deps.Refusals.Record(jaybarrow.RefusedJob{ID: in.ID, Pool: in.Queue.Pool, Work: workOf(in.Steps)})
}

// mayReturn reports whether the job was certainly not accepted and may be accepted when its caller hands it in again.
func mayReturn(e *jaybarrow.Error) bool {
	if e.Effect != jaybarrow.EffectNotRun {
		return false
	}
	status := e.Kind.Info().Status
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || e.Kind == jaybarrow.KindPeerLost
}
