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

// occupy makes the entry host use more than half of the limit for a minute and returns how much it uses.
func (c *cluster) occupy(h *history, e *entryHost, limit jaybarrow.Slots) (held jaybarrow.Slots) {
	for i := range int(limit) {
		go c.send(h, e, call{team: "trail", queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("long-%d", i)), nonIdempotent: true, run: patience})
	}
	c.awaitRunning("the entry host runs too little", func(running []worker.Entry) bool {
		held = 0
		for _, r := range running {
			if r.Entry == e.id {
				held += r.Slots
			}
		}
		return held > limit/2
	})
	return held
}

// loadThrough starts callers of short requests through the entry hosts.
func (c *cluster) loadThrough(h *history, callers int, through ...*entryHost) *load {
	return c.startLoad(h, callers, func(caller, n int) *entryHost { return through[(caller+n)%len(through)] }, func(caller, n int) call {
		return call{team: "trail", queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("load-%d-%d", caller, n)), run: 200 * time.Millisecond, within: patience}
	})
}

// Guards against permits of an ended entry host that are used again while its tasks may run, and against permits that never
// come back although the platform says that the host is gone.
func TestPermitsOfGoneEntryHost(t *testing.T) {
	t.Parallel()
	const limit = 8
	c := newCluster(t, quickPlan(2, 1, 2, limit))
	h := &history{}
	gone := c.entries[0]
	held := c.occupy(h, gone, limit)
	killed := time.Now()
	gone.kill()
	c.condition(string(gone.id), jaybarrow.HostGone)
	load := c.loadThrough(h, 2*limit, c.entries[1])
	time.Sleep(jaybarrow.TaskLease + 2*time.Second) // until every task of the ended host has been stopped by its lease
	c.awaitRunning("the permits of the ended host are not used", func(running []worker.Entry) bool { return len(running) >= limit })
	load.stop()
	ran := ledgers(c.ledgers())
	rest := make(ledgers)
	for host, entries := range ran {
		for _, e := range entries {
			if e.Entry != gone.id {
				rest[host] = append(rest[host], e)
			}
		}
	}
	usable := jaybarrow.LeaseEnd(killed)
	assert.NilError(t, checkLimitBetween(rest, "trail", limit-held, killed.UnixNano(), usable.UnixNano()), "before %s after the kill", usable.Sub(killed))
	checkEveryAnswer(t, c, h)
}

// Guards against a restarted entry host that uses its old grant while tasks of its earlier process may still run.
func TestPermitsOfRestartedEntryHost(t *testing.T) {
	t.Parallel()
	const limit = 8
	c := newCluster(t, quickPlan(2, 1, 2, limit))
	h := &history{}
	c.occupy(h, c.entries[0], limit)
	c.entries[0].kill()
	c.startEntry(c.entries[0])
	c.awaitEntry(c.entries[0])
	load := c.loadThrough(h, 2*limit, c.entries...)
	time.Sleep(jaybarrow.TaskLease + 2*time.Second) // until every task of the earlier process has been stopped by its lease
	c.awaitRunning("the permits of the earlier process are not used", func(running []worker.Entry) bool { return len(running) >= limit })
	load.stop()
	checkEveryAnswer(t, c, h)
}

// Guards against a paused entry host that goes on to use its permits after a new process has taken its place. The pause ends
// while the new process uses them.
func TestPausedEntryHostIsReplaced(t *testing.T) {
	t.Parallel()
	const limit = 8
	c := newCluster(t, quickPlan(2, 1, 2, limit))
	h := &history{}
	old := c.entries[0]
	load := c.loadThrough(h, 2*limit, c.entries...)
	time.Sleep(time.Second)
	old.signal(syscall.SIGSTOP)
	replacement := &entryHost{id: old.id, dataCentre: old.dataCentre, callers: freeAddress(t), peers: freeAddress(t), settings: old.settings + ".new"}
	text, err := os.ReadFile(old.settings)
	assert.NilError(t, err)
	moved := strings.NewReplacer(string(old.callers), string(replacement.callers), string(old.peers), string(replacement.peers)).Replace(string(text))
	assert.NilError(t, os.WriteFile(replacement.settings, []byte(moved), 0o600))
	c.startEntry(replacement)
	c.awaitEntry(replacement)
	more := c.startLoad(h, 2*limit, func(int, int) *entryHost { return replacement }, func(caller, n int) call {
		return call{team: "trail", queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("more-%d-%d", caller, n)), run: 200 * time.Millisecond, within: patience}
	})
	time.Sleep(jaybarrow.LeaseEnd(time.Time{}).Sub(time.Time{}) + 3*time.Second) // until the permits of the old process are usable again
	old.signal(syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	old.kill() // ends the calls that it still holds
	load.stop()
	more.stop()
	checkEveryAnswer(t, c, h)
}

// Guards against starts that an ended entry host sent and that reach their worker after its permits went to others.
func TestLateStartsOfGoneEntryHost(t *testing.T) {
	t.Parallel()
	const limit = 8
	c := newCluster(t, quickPlan(2, 1, 2, limit))
	h := &history{}
	gone := c.entries[0]
	c.sendAll(h, gone, []call{ // the entry host learns the workers' clocks, so that a start needs one message
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
	load := c.loadThrough(h, 2*limit, c.entries[1])
	c.awaitRunning("the permits of the ended host are not used", func(running []worker.Entry) bool { return len(running) >= limit })
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
	assert.Check(t, late > 0, "no start reached a worker late")
	checkEveryAnswer(t, c, h)
}
