package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/store"
)

// Guards against an entry host that uses permits while its store write that transfers them is in flight or unconfirmed because
// the answer was lost. Bursts of load alternate between two entry hosts while the store answers slowly.
func TestPermitsMoveThroughASlowStore(t *testing.T) {
	t.Parallel()
	c := newCluster(t, quickPlan(2, 1, 2, 8))
	h := &history{}
	c.faults(store.Faults{DelayMs: 300, LostAnswers: store.LostAnswers{All: true}})
	burst := func(n int, burstDuration time.Duration) {
		load := c.startLoad(h, 16, func(int, int) *entryHost { return c.entries[n%2] }, func(caller, i int) call {
			return call{team: "trail", queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("r-%d-%d-%d", n, caller, i)), run: 40 * time.Millisecond, within: 5 * time.Second}
		})
		time.Sleep(burstDuration)
		load.stop()
	}
	for n := range 12 {
		burst(n, time.Duration(400+n*100)*time.Millisecond)
	}
	c.faults(store.Faults{})
	assertInvariants(t, c, h)
}
