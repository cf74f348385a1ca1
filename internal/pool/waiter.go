package pool

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
)

// requestKey is "team/request": callers choose request ids, so two teams may choose the same one.
type requestKey string

func keyOf(team jaybarrow.TeamID, id jaybarrow.RequestID) requestKey {
	return requestKey(string(team) + "/" + string(id))
}

// waiter is a request that is queued or running, until it is answered.
type waiter struct {
	request jaybarrow.Request
	pool    *poolRuntime
	result  chan result     // buffered; receives exactly one result
	ctx     context.Context // ends when the request is cancelled
	cancel  context.CancelFunc

	// Only the goroutine of the request's current task uses these fields.
	started    bool
	retries    int
	triedHosts []jaybarrow.HostID

	mayHaveRun bool // an earlier attempt ran or may have run; set before the request returns to the queue
}

type result struct {
	body []byte
	err  error
}

// newWaiter returns a waiter whose context keeps the values of ctx but does not end with it.
func newWaiter(ctx context.Context, request jaybarrow.Request, p *poolRuntime) *waiter {
	taskCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	return &waiter{request: request, pool: p, result: make(chan result, 1), ctx: taskCtx, cancel: cancel}
}

func (w *waiter) key() requestKey { return keyOf(w.request.Team, w.request.ID) }

// itemID returns the id of the request's item in the pool's order.
func (w *waiter) itemID() jaybarrow.RequestID { return jaybarrow.RequestID(w.key()) }

// finish answers the request. When the last attempt did not run but an earlier one may have, the error says so.
func (w *waiter) finish(body []byte, err error) {
	if effectOf(err) == jaybarrow.EffectNotRun && w.mayHaveRun {
		err = jaybarrow.AsError(err).WithEffect(jaybarrow.EffectMayHaveRun)
	}
	select {
	case w.result <- result{body, err}:
	default:
	}
}

func (w *waiter) subject() jaybarrow.Subject {
	return jaybarrow.Subject{Kind: jaybarrow.SubjectRequest, ID: string(w.request.ID)}
}
