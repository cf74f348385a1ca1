package pool

import (
	"context"
	"sync"

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
	stop    context.CancelFunc

	answering sync.Mutex // orders a cancellation and the answer, so that no answer ignores an accepted cancellation
	answered  bool

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
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	return &waiter{request: request, pool: p, result: make(chan result, 1), ctx: taskCtx, stop: stop}
}

func (w *waiter) key() requestKey { return keyOf(w.request.Team, w.request.ID) }

// itemID returns the id of the request's item in the pool's order.
func (w *waiter) itemID() jaybarrow.RequestID { return jaybarrow.RequestID(w.key()) }

// cancel ends the request's context; it reports false when the request has been answered.
func (w *waiter) cancel() bool {
	w.answering.Lock()
	defer w.answering.Unlock()
	if !w.answered {
		w.stop()
	}
	return !w.answered
}

// finish answers the request. A cancelled request whose last attempt did not run is answered with KindCancelled, so that it is
// not routed again. When an earlier attempt may have run, the error says so.
func (w *waiter) finish(body []byte, err error) {
	w.answering.Lock()
	defer w.answering.Unlock()
	if w.answered {
		return
	}
	w.answered = true
	if effectOf(err) == jaybarrow.EffectNotRun {
		e := jaybarrow.AsError(err)
		if w.ctx.Err() != nil && e.Kind != jaybarrow.KindCancelled {
			e = jaybarrow.Errorf(jaybarrow.KindCancelled, "cancelled before a worker took the task: %w", err)
		}
		if w.mayHaveRun {
			e = e.WithEffect(jaybarrow.EffectMayHaveRun)
		}
		err = e
	}
	w.result <- result{body, err}
}

func (w *waiter) subject() jaybarrow.Subject {
	return jaybarrow.Subject{Kind: jaybarrow.SubjectRequest, ID: string(w.request.ID)}
}
