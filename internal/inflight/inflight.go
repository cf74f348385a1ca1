package inflight

import (
	"context"
	"sync"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/shard"
)

// Requests are the requests in progress, in shards by team and id.
type Requests struct {
	requests *shard.Map[requestKey, *Request]
}

// requestKey is "team/request": callers choose request ids, so two teams may choose the same one.
type requestKey string

func keyOf(team jaybarrow.TeamID, id jaybarrow.RequestID) requestKey {
	return requestKey(string(team) + "/" + string(id))
}

// Request is one request in progress.
type Request struct {
	requests *Requests
	key      requestKey
	cancel   context.CancelFunc
	settle   sync.Once
	settled  chan struct{} // closed once it is known whether the request holds its id
	holdsID  bool          // read only after settled is closed
}

// New returns Requests without any request.
func New() *Requests { return &Requests{requests: shard.New[requestKey, *Request]()} }

// Begin records a request as in progress until its End, and returns a context that ends when ctx ends or the request is cancelled.
// It returns KindDuplicateRequest when the team has a request with the id in progress here.
func (r *Requests) Begin(ctx context.Context, team jaybarrow.TeamID, id jaybarrow.RequestID) (context.Context, *Request, error) {
	ctx, cancel := context.WithCancel(ctx)
	begun := &Request{requests: r, key: keyOf(team, id), cancel: cancel, settled: make(chan struct{})}
	added := false
	r.requests.Update(begun.key, func(old *Request, present bool) (*Request, bool) {
		if present {
			return old, true
		}
		added = true
		return begun, true
	})
	if !added {
		cancel()
		return nil, nil, jaybarrow.Errorf(jaybarrow.KindDuplicateRequest, "request %s is already in progress", id)
	}
	return ctx, begun, nil
}

// HoldID records that no other request has the right to run under the id.
func (q *Request) HoldID() {
	q.settle.Do(func() {
		q.holdsID = true
		close(q.settled)
	})
}

// End removes the request and ends its context.
func (q *Request) End() {
	q.requests.requests.Delete(q.key)
	q.settle.Do(func() { close(q.settled) })
	q.cancel()
}

// Cancel ends the context of the team's request at once. It then waits until it is known whether the request holds its id, at
// most until ctx ends, and reports whether it does: if it does not, another entry host may have the request to cancel.
func (r *Requests) Cancel(ctx context.Context, team jaybarrow.TeamID, id jaybarrow.RequestID) bool {
	request, ok := r.requests.Get(keyOf(team, id))
	if !ok {
		return false
	}
	request.cancel()
	select {
	case <-request.settled:
		return request.holdsID
	case <-ctx.Done():
		return false
	}
}
