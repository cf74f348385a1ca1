package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/faultproxy"
	"github.com/jaybarrow/jaybarrow/internal/standin/store"
	"github.com/jaybarrow/jaybarrow/internal/standin/worker"
	"github.com/jaybarrow/jaybarrow/internal/task"
)

// fetchJSON reads a JSON value from a stand-in's HTTP interface.
func fetchJSON[T any](t *testing.T, address jaybarrow.Address, path string) T {
	t.Helper()
	var value T
	response, err := http.Get("http://" + string(address) + path)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&value))
	return value
}

// storeWrites returns the writes that the store accepted for keys with the prefix, in order of revision.
func (c *cluster) storeWrites(prefix jaybarrow.Key) []store.Change {
	c.t.Helper()
	return fetchJSON[[]store.Change](c.t, c.storeControl, "/control/log?prefix="+string(prefix))
}

// ledger returns the ledger of the worker's current process.
func (w *workerHost) ledger() []worker.Entry {
	w.t.Helper()
	return fetchJSON[[]worker.Entry](w.t, w.directAddress, "/ledger")
}

// killProcess kills the worker's process unless it is already stopped, and returns the tasks that were running. The proxy
// refuses connections first, so that no task starts after the ledger was read.
func (w *workerHost) killProcess() (running []jaybarrow.TaskID) {
	w.Lock()
	defer w.Unlock()
	if w.stopped {
		return nil
	}
	w.stopped = true
	assert.Check(w.t, w.proxy.Set(faultproxy.Faults{Refuse: true}))
	w.proxy.Cut()
	for _, e := range w.ledger() {
		if e.Outcome == task.OutcomeRunning {
			running = append(running, e.Task)
			e.EndedNs = time.Now().UnixNano()
		}
		w.earlierEntries = append(w.earlierEntries, e)
	}
	w.kill()
	return running
}

// restart starts a stopped worker again on its address.
func (w *workerHost) restart() {
	w.Lock()
	defer w.Unlock()
	if !w.stopped {
		return
	}
	w.stopped = false
	w.process, _ = startStandin(w.t, "worker", "-listen", string(w.directAddress), "-id", string(w.host.ID), "-slots", fmt.Sprint(workerSlots))
	assert.Check(w.t, w.proxy.Set(faultproxy.Faults{}))
}

// rebooter is a stand-in for the part of the platform that reboots hosts.
type rebooter struct {
	sync.WaitGroup
	stopped     chan struct{}
	interrupted []jaybarrow.TaskID // tasks that were running on a host when it was rebooted
	reboots     int
}

// startRebooter starts to restart the worker of each host for which a reboot is requested. The store's stand-in sets the host's
// condition.
func (c *cluster) startRebooter() *rebooter {
	r := &rebooter{stopped: make(chan struct{})}
	r.Go(func() {
		for {
			requested := fetchJSON[[]store.Reboot](c.t, c.storeControl, "/control/reboots")
			for ; r.reboots < len(requested); r.reboots++ {
				w := c.worker(requested[r.reboots].Host)
				r.interrupted = append(r.interrupted, w.killProcess()...)
				w.restart()
			}
			select {
			case <-r.stopped:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	})
	return r
}

func (r *rebooter) stop() {
	close(r.stopped)
	r.Wait()
}

func (c *cluster) worker(id jaybarrow.HostID) *workerHost {
	for _, w := range c.workers {
		if w.host.ID == id {
			return w
		}
	}
	c.t.Errorf("no worker %s", id)
	return nil
}
