package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/faultproxy"
	"github.com/jaybarrow/jaybarrow/internal/standin/worker"
)

// control sends a request to the control interface of the worker's stand-in, on a new connection that bypasses the proxy.
func (w *workerHost) control(method, name string, body any) {
	w.t.Helper()
	data, err := json.Marshal(body)
	assert.NilError(w.t, err)
	request, err := http.NewRequest(method, "http://"+string(w.directAddress)+"/control/"+name, bytes.NewReader(data))
	assert.NilError(w.t, err)
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	assert.NilError(w.t, err)
	_ = response.Body.Close()
	assert.Equal(w.t, response.StatusCode, http.StatusOK)
}

// injectFault replaces the fault of the worker's stand-in; the zero Fault ends it.
func (w *workerHost) injectFault(f worker.Fault) { w.control(http.MethodPost, "fault", f) }

// pool returns the workers of the pool in the data centre.
func (c *cluster) pool(pool jaybarrow.PoolID, dc jaybarrow.DataCentreID) []*workerHost {
	var found []*workerHost
	for _, w := range c.workers {
		if w.host.Pool == pool && w.host.DataCentre == dc {
			found = append(found, w)
		}
	}
	return found
}

// freezeOpen stops the traffic on the open connections of the proxies in both directions; new connections work.
func freezeOpen(proxies ...*faultproxy.Proxy) {
	for _, p := range proxies {
		p.FreezeOpen(faultproxy.Up)
		p.FreezeOpen(faultproxy.Down)
	}
}

// allPeerProxies returns the proxies between the data centres.
func (c *cluster) allPeerProxies() []*faultproxy.Proxy {
	var all []*faultproxy.Proxy
	for _, peerProxies := range c.peerProxies {
		for _, p := range peerProxies {
			all = append(all, p)
		}
	}
	return all
}

// awaitRunning waits until the condition holds for the running tasks, and returns them. The text in what describes a condition
// that does not hold.
func (c *cluster) awaitRunning(what string, holds func(running []worker.Entry) bool) []worker.Entry {
	c.t.Helper()
	var running []worker.Entry
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		running = nil
		for _, entries := range c.ledgers() {
			for _, e := range entries {
				if e.StartedNs != 0 && e.EndedNs == 0 {
					running = append(running, e)
				}
			}
		}
		if !holds(running) {
			return poll.Continue("%s; running: %+v", what, running)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(20*time.Millisecond))
	return running
}

// awaitRequest waits until the request runs and returns its ledger entry.
func (c *cluster) awaitRequest(id jaybarrow.RequestID) worker.Entry {
	c.t.Helper()
	var found worker.Entry
	c.awaitRunning(fmt.Sprintf("request %s does not run", id), func(running []worker.Entry) bool {
		for _, e := range running {
			if e.Request == id {
				found = e
				return true
			}
		}
		return false
	})
	return found
}

// limitOf returns the team's limit, its revision, and whether it is in force, as the entry host reports them to an operator.
func (c *cluster) limitOf(e *entryHost, team jaybarrow.TeamID) (jaybarrow.Slots, jaybarrow.Revision, bool, error) {
	t, err := c.operator(e).Team(context.Background(), team)
	return t.Limit.Limit, t.Limit.Revision, t.Limit.InForce, err
}

// awaitLimit waits until the entry host reports the limit as in force, and returns the time of that report.
func (c *cluster) awaitLimit(e *entryHost, team jaybarrow.TeamID, limit jaybarrow.Slots) time.Time {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		current, _, inForce, err := c.limitOf(e, team)
		if err != nil || current != limit || !inForce {
			return poll.Continue("limit %d, in force %v, want %d: %v", current, inForce, limit, err)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(20*time.Millisecond))
	return time.Now()
}

// sendAll makes the calls concurrently and returns their results in the order of the calls.
func (c *cluster) sendAll(h *history, e *entryHost, calls []call) []callResult {
	answers := make([]callResult, len(calls))
	var group sync.WaitGroup
	for i, in := range calls {
		group.Go(func() { answers[i] = c.send(h, e, in) })
	}
	group.Wait()
	return answers
}

// quickPlan has one pool with one queue of the quick class, and one team.
func quickPlan(dataCentres, entriesPerDC, workersPerPool int, limit jaybarrow.Slots) plan {
	return plan{
		dataCentres: dataCentres, entriesPerDC: entriesPerDC, workersPerPool: workersPerPool, pools: []jaybarrow.PoolID{"desk"},
		teams:  map[jaybarrow.TeamID]jaybarrow.Slots{"trail": limit},
		queues: []jaybarrow.Queue{{ID: "match", Pool: "desk", Class: jaybarrow.ClassQuick, TargetMs: 60000}},
	}
}

// assertInvariants asserts that the ledgers and the history satisfy every invariant.
func assertInvariants(t *testing.T, c *cluster, h *history) {
	t.Helper()
	assert.NilError(t, checkInvariants(c.ledgers(), h.list(), c.plan.teams))
}

var (
	refuseConnections = faultproxy.Faults{Refuse: true}
	noFaults          = faultproxy.Faults{}
)
