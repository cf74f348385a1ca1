package pool

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
)

// requestKey names a request among those of all teams; callers choose ids, so two teams may choose the same.
type requestKey string

func keyOf(team jaybarrow.TeamID, id jaybarrow.RequestID) requestKey {
	return requestKey(string(team) + "/" + string(id))
}

// waiter is a request between its arrival and its answer.
type waiter struct {
	request jaybarrow.Request
	pool    *poolRun
	result  chan result     // buffered, gets exactly one result
	ctx     context.Context // ends when the request is cancelled
	cancel  context.CancelFunc

	// Only the goroutine of the request's current task uses these.
	started bool
	retries int
	tried   []jaybarrow.HostID

	ran bool // an earlier attempt ran or may have run; set before the request returns to the queue
}

type result struct {
	body []byte
	err  error
}

func newWaiter(ctx context.Context, request jaybarrow.Request, p *poolRun) *waiter {
	taskCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	return &waiter{request: request, pool: p, result: make(chan result, 1), ctx: taskCtx, cancel: cancel}
}

func (w *waiter) key() requestKey { return keyOf(w.request.Team, w.request.ID) }

// itemID is the id under which the order knows the request.
func (w *waiter) itemID() jaybarrow.RequestID { return jaybarrow.RequestID(w.key()) }

// finish answers the request. An attempt that was not started does not undo an earlier one that ran.
func (w *waiter) finish(body []byte, err error) {
	if effectOf(err) == jaybarrow.EffectNotRun && w.ran {
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
