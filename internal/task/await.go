package task

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/jaybarrow/jaybarrow"
)

// AwaitEnd blocks until the task is known not to run, now or later, because the worker reported it or the lease has ended.
func (c *Client) AwaitEnd(host jaybarrow.Host, t jaybarrow.Task) {
	defer c.attempts.Delete(t.ID)
	a, ok := c.attempts.Get(t.ID)
	if !ok {
		a = &attempt{host: host, task: t}
	}
	poll := c.settings.RenewEvery / fastRenewalDivisor
	for !a.hasEnded() {
		remaining := a.leaseEnd(c.settings.Lease).Sub(c.clock.Now())
		if remaining <= 0 {
			return
		}
		reported, err := c.ask(host, fasthttp.MethodGet, t.ID, "", noExtraHeaders)
		if err == nil && a.cannotRun(reported) {
			return
		}
		<-c.clock.After(min(poll, max(remaining, time.Millisecond)))
	}
}
