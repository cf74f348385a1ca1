package leader

import (
	"context"
	"sync"
	"time"
)

// unfencedCalls counts the calls of a term that only the leader may make and that their receiver need not refuse by the fence. The lead is freed
// after the last of them.
type unfencedCalls struct {
	lock     sync.Mutex
	closed   bool // no call may begin any more
	underWay int
	ended    chan struct{} // closed once no call is under way or can begin
}

func newUnfencedCalls() *unfencedCalls { return &unfencedCalls{ended: make(chan struct{})} }

// do makes the call with a context that ends after the limit, and before the lease can end.
func (c *unfencedCalls) do(ctx context.Context, validity *validity, limit time.Duration, call func(context.Context)) error {
	if !c.begin() {
		return ErrLeadEnded
	}
	defer c.end()
	left := validity.left()
	if left <= 0 {
		return ErrLeadEnded
	}
	limited, cancel := context.WithTimeout(ctx, min(limit, left))
	defer cancel()
	call(limited)
	return nil
}

// begin counts a call; it reports false when none may begin any more.
func (c *unfencedCalls) begin() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.closed {
		return false
	}
	c.underWay++
	return true
}

// end counts the end of a call.
func (c *unfencedCalls) end() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.underWay--
	c.signalEnd()
}

// close lets no call begin any more, and returns how many are under way.
func (c *unfencedCalls) close() int {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.closed = true
	c.signalEnd()
	return c.underWay
}

// signalEnd closes ended after the last call; the lock is held.
func (c *unfencedCalls) signalEnd() {
	if c.closed && c.underWay == 0 {
		close(c.ended)
	}
}
