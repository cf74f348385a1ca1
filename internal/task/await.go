package task

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/jaybarrow/jaybarrow"
)

// AwaitEnd returns when the task is known not to run, now or later: the worker said so, or the lease has ended.
func (c *Client) AwaitEnd(host jaybarrow.Host, t jaybarrow.Task) {
	defer c.attempts.Delete(t.ID)
	a, ok := c.attempts.Get(t.ID)
	if !ok {
		a = &attempt{host: host, task: t}
	}
	poll := c.settings.RenewEvery / eagerness
	for !a.hasEnded() {
		left := a.leaseEnd(c.settings.Lease).Sub(c.clock.Now())
		if left <= 0 {
			return
		}
		result, err := c.ask(host, fasthttp.MethodGet, t.ID, "", unchanged)
		if err == nil && a.over(result) {
			return
		}
		<-c.clock.After(min(poll, max(left, time.Millisecond)))
	}
}
