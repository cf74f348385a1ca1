package e2e

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/faultproxy"
	"github.com/jaybarrow/jaybarrow/internal/standin/worker"
)

// occupy makes the entry host use more than half of the limit for waitTimeout, and returns the number of slots that it uses.
func (c *cluster) occupy(h *history, e *entryHost, limit jaybarrow.Slots) (used jaybarrow.Slots) {
	for i := range int(limit) {
		go c.send(h, e, call{team: "trail", queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("long-%d", i)), nonIdempotent: true, run: waitTimeout})
	}
	c.awaitRunning("the entry host does not use more than half of the limit", func(running []worker.Entry) bool {
		used = 0
		for _, r := range running {
			if r.Entry == e.id {
				used += r.Slots
			}
		}
		return used > limit/2
	})
	return used
}

// startLoadThrough starts callers that send short requests through the entry hosts in turn.
func (c *cluster) startLoadThrough(h *history, callers int, through ...*entryHost) *load {
	return c.startLoad(h, callers, func(caller, n int) *entryHost { return through[(caller+n)%len(through)] }, func(caller, n int) call {
		return call{team: "trail", queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("load-%d-%d", caller, n)), run: 200 * time.Millisecond, within: waitTimeout}
	})
}

// Guards against permits of a killed entry host that are used again while its tasks may still run, and against permits that are
// never returned although the platform reports the host as gone.
func TestPermitsOfGoneEntryHost(t *testing.T) {
	t.Parallel()
	const limit = 8
	c := newCluster(t, quickPlan(2, 1, 2, limit))
	h := &history{}
	gone := c.entries[0]
	usedByGone := c.occupy(h, gone, limit)
	killedAt := time.Now()
	gone.kill()
	c.condition(string(gone.id), jaybarrow.HostGone)
	load := c.startLoadThrough(h, 2*limit, c.entries[1])
	time.Sleep(jaybarrow.TaskLease + 2*time.Second) // until the leases of all tasks of the killed host have expired
	c.awaitRunning("the permits of the killed host are not used", func(running []worker.Entry) bool { return len(running) >= limit })
	load.stop()
	allLedgers := ledgers(c.ledgers())
	otherEntries := make(ledgers)
	for host, entries := range allLedgers {
		for _, e := range entries {
			if e.Entry != gone.id {
				otherEntries[host] = append(otherEntries[host], e)
			}
		}
	}
	reusableAt := jaybarrow.LeaseEnd(killedAt)
	assert.NilError(t, checkLimitBetween(otherEntries, "trail", limit-usedByGone, killedAt.UnixNano(), reusableAt.UnixNano()), "before %s after the kill", reusableAt.Sub(killedAt))
	assertInvariants(t, c, h)
}

// Guards against a restarted entry host that uses the permits of its earlier process while tasks of that process may still run.
func TestPermitsOfRestartedEntryHost(t *testing.T) {
	t.Parallel()
	const limit = 8
	c := newCluster(t, quickPlan(2, 1, 2, limit))
	h := &history{}
	c.occupy(h, c.entries[0], limit)
	c.entries[0].kill()
	c.startEntry(c.entries[0])
	c.awaitEntryReady(c.entries[0])
	load := c.startLoadThrough(h, 2*limit, c.entries...)
	time.Sleep(jaybarrow.TaskLease + 2*time.Second) // until the leases of all tasks of the earlier process have expired
	c.awaitRunning("the permits of the earlier process are not used", func(running []worker.Entry) bool { return len(running) >= limit })
	load.stop()
	assertInvariants(t, c, h)
}

// Guards against a paused entry host that continues to use its permits after a new process has replaced it. The pause ends while
// the new process uses the permits.
func TestPausedEntryHostIsReplaced(t *testing.T) {
	t.Parallel()
	const limit = 8
	c := newCluster(t, quickPlan(2, 1, 2, limit))
	h := &history{}
	old := c.entries[0]
	load := c.startLoadThrough(h, 2*limit, c.entries...)
	time.Sleep(time.Second)
	old.signal(syscall.SIGSTOP)
	replacement := &entryHost{id: old.id, dataCentre: old.dataCentre, callers: freeAddress(t), peers: freeAddress(t), settings: old.settings + ".new"}
	text, err := os.ReadFile(old.settings)
	assert.NilError(t, err)
	newSettings := strings.NewReplacer(string(old.callers), string(replacement.callers), string(old.peers), string(replacement.peers)).Replace(string(text))
	assert.NilError(t, os.WriteFile(replacement.settings, []byte(newSettings), 0o600))
	c.startEntry(replacement)
	c.awaitEntryReady(replacement)
	replacementLoad := c.startLoad(h, 2*limit, func(int, int) *entryHost { return replacement }, func(caller, n int) call {
		return call{team: "trail", queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("more-%d-%d", caller, n)), run: 200 * time.Millisecond, within: waitTimeout}
	})
	time.Sleep(jaybarrow.LeaseEnd(time.Time{}).Sub(time.Time{}) + 3*time.Second) // until the permits of the old process are reusable
	old.signal(syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	old.kill() // ends the calls that still wait for it
	load.stop()
	replacementLoad.stop()
	assertInvariants(t, c, h)
}

// Guards against tasks that run over the limit because start messages of a killed entry host are delayed and reach the worker
// after its permits went to another entry host.
func TestLateStartsOfGoneEntryHost(t *testing.T) {
	t.Parallel()
	const limit = 8
	c := newCluster(t, quickPlan(2, 1, 2, limit))
	h := &history{}
	gone := c.entries[0]
	c.sendAll(h, gone, []call{ // the entry host reads the workers' clocks, so that a start needs only one message
		{team: "trail", queue: "match", id: "warm-1", run: 50 * time.Millisecond},
		{team: "trail", queue: "match", id: "warm-2", run: 50 * time.Millisecond},
		{team: "trail", queue: "match", id: "warm-3", run: 50 * time.Millisecond},
		{team: "trail", queue: "match", id: "warm-4", run: 50 * time.Millisecond},
	})
	for _, w := range c.pool("desk", gone.dataCentre) {
		assert.NilError(t, w.proxy.Set(faultproxy.Faults{Up: faultproxy.DirectionFaults{Frozen: true}}))
	}
	for i := range limit {
		go c.send(h, gone, call{team: "trail", queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("late-%d", i)), nonIdempotent: true, run: 5 * time.Second})
	}
	time.Sleep(time.Second) // within the start window of 2 s
	gone.kill()
	c.condition(string(gone.id), jaybarrow.HostGone)
	load := c.startLoadThrough(h, 2*limit, c.entries[1])
	c.awaitRunning("the permits of the killed host are not used", func(running []worker.Entry) bool { return len(running) >= limit })
	for _, w := range c.pool("desk", gone.dataCentre) {
		assert.NilError(t, w.proxy.Set(noFaults))
	}
	time.Sleep(2 * time.Second)
	load.stop()
	late := 0
	for _, entries := range c.ledgers() {
		for _, e := range entries {
			if strings.HasPrefix(string(e.Request), "late-") {
				late++
			}
		}
	}
	assert.Check(t, late > 0, "no start message reached a worker after the kill")
	assertInvariants(t, c, h)
}
