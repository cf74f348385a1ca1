package e2e

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
)

// usableShare is the fraction of a limit that was used in an interval, measured from the ledgers, and the fractions that a
// static split over the entry hosts and an ideal global counter would have used for the same outstanding requests.
type usableShare struct{ measured, static, ideal float64 }

// shareOf sums the running tasks and the outstanding requests of the interval in steps of a millisecond.
func (c *cluster) shareOf(h *history, limit int, from, until time.Time) usableShare {
	steps := int(until.Sub(from) / time.Millisecond)
	addInterval := func(counts []int, startedAt, endedAt time.Time) {
		first, last := int(startedAt.Sub(from)/time.Millisecond), int(endedAt.Sub(from)/time.Millisecond)
		for i := max(first, 0); i < min(last, steps); i++ {
			counts[i]++
		}
	}
	running := make([]int, steps)
	for _, entries := range c.ledgers() {
		for _, e := range entries {
			if e.StartedNs != 0 && e.EndedNs != 0 {
				addInterval(running, time.Unix(0, e.StartedNs), time.Unix(0, e.EndedNs))
			}
		}
	}
	outstanding := make(map[jaybarrow.EntryID][]int)
	for _, e := range c.entries {
		outstanding[e.id] = make([]int, steps)
	}
	for _, t := range h.list() {
		addInterval(outstanding[t.entry], t.startedAt, t.endedAt)
	}
	var s usableShare
	for i := range steps {
		total, usableBySplit := 0, 0
		for _, counts := range outstanding {
			total += counts[i]
			usableBySplit += min(counts[i], limit/len(c.entries))
		}
		slotSteps := float64(limit * steps)
		s.measured += float64(running[i]) / slotSteps
		s.static += float64(usableBySplit) / slotSteps
		s.ideal += float64(min(total, limit)) / slotSteps
	}
	return s
}

// Guards against permits that stay unused at the wrong entry hosts when one entry host gets most of a team's requests, or when
// a data centre is partitioned. The bound is what a static split would use.
func TestUsableShareOfLimit(t *testing.T) {
	t.Parallel()
	const limit = 24
	cases := []struct {
		name   string
		before func(*cluster)
	}{
		{"one entry host gets 80%", func(*cluster) {}},
		{"a data centre is partitioned", func(c *cluster) { c.setIsolated("dc3", true) }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			p := quickPlan(3, 1, 3, limit)
			p.extraSettings = "[keys]\nwhenCutOff = serve\n" // otherwise the partitioned data centre refuses requests with a key after 5 s
			c := newCluster(t, p)
			h := &history{}
			load := c.startLoad(h, 40, func(caller, _ int) *entryHost {
				if caller%10 < 8 {
					return c.entries[0]
				}
				return c.entries[1+caller%2]
			}, func(caller, n int) call {
				return call{team: "trail", queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("r-%d-%d", caller, n)), run: 100 * time.Millisecond, within: waitTimeout}
			})
			time.Sleep(2 * time.Second)
			test.before(c)
			time.Sleep(3 * time.Second)
			from := time.Now()
			time.Sleep(5 * time.Second)
			until := time.Now()
			load.stop()
			share := c.shareOf(h, limit, from, until)
			t.Logf("%s: used %.2f of the limit, a static split %.2f, an ideal global counter %.2f", test.name, share.measured, share.static, share.ideal)
			assert.Check(t, share.measured > share.static, "%+v", share)
			assertInvariants(t, c, h)
		})
	}
}
