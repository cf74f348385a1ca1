package budget_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow/internal/budget"
)

// Guards against reports that fill a slow link or a small processor, and against reports that are held back where there is room.
func TestReportsGrowRarerWithTheFleetOnSmallHosts(t *testing.T) {
	const least, most = 500 * time.Millisecond, 2 * time.Second
	cases := []struct {
		name    string
		host    budget.Host
		workers int
		want    func(time.Duration) bool
	}{
		{"few workers", budget.Host{Cores: 0.4, Link: 1000}, 50, func(d time.Duration) bool { return d == least }},
		{"unknown host", budget.Host{}, 5000, func(d time.Duration) bool { return d == least }},
		{"slow link", budget.Host{Cores: 0.8, Link: 2}, 130, func(d time.Duration) bool { return d == most }},
		{"large fleet", budget.Host{Cores: 0.8, Link: 200}, 1100, func(d time.Duration) bool { return d > least && d < most }},
		{"no workers", budget.Host{Cores: 0.1, Link: 1}, 0, func(d time.Duration) bool { return d == least }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := c.host.ReportInterval(c.workers, least, most)
			assert.Assert(t, c.want(got), "%v", got)
		})
	}
}

// Guards against a list of hosts that alone takes a slow link, as it did at 130 hosts and 2 Mbit/s when it was read ten times a second.
func TestAListOfHostsLeavesTheLinkToOthers(t *testing.T) {
	const least = 100 * time.Millisecond
	slow := budget.Host{Cores: 0.12, Link: 2}
	interval := slow.HostListInterval(130, least)
	const listBits = 130 * 220 * 8
	assert.Assert(t, listBits/interval.Seconds() <= 0.11*2e6, "%v", interval)
	assert.Equal(t, budget.Host{Cores: 0.4, Link: 1000}.HostListInterval(50, least), least)
}

// Guards against quick jobs that wait in a small pool for what a large one needs, and against a large pool that plans with each change.
func TestLargePoolsPlanMoreRarely(t *testing.T) {
	host := budget.Host{Cores: 0.8, Link: 200}
	small, large := host.PlanInterval(12), host.PlanInterval(250)
	assert.Assert(t, small <= time.Millisecond, "%v", small)
	assert.Assert(t, large >= 5*time.Millisecond && large <= 20*time.Millisecond, "%v", large)
	assert.Equal(t, budget.Host{}.PlanInterval(250), time.Duration(0))
}

// replay offers orders of 1.2 KB at a rate for some seconds to a link that answers late whatever exceeds its rate, and returns how many
// were sent in each second.
func replay(o *budget.Orders, now time.Time, seconds, offered, carried int) []int {
	var sent []int
	for range seconds {
		inSecond, waiting := 0, 0
		for tick := range 100 {
			now = now.Add(10 * time.Millisecond)
			waiting += offered / 100
			for ; waiting > 0 && o.TryTake(600, now); waiting-- {
				inSecond++
				o.Note(inSecond*100 <= carried*(tick+1), now)
			}
		}
		sent = append(sent, inSecond)
	}
	return sent
}

// Load pattern: a turn of five times what the link carries. Orders beyond the link's rate are lost and sent again, so the rate must stay
// within the link however much waits.
func TestOrdersInATurnStayWithinTheLink(t *testing.T) {
	begin := time.Unix(1000, 0)
	const linkRate = 250_000 // bytes a second of 2 Mbit/s
	for second, sent := range replay(budget.NewOrders(budget.Host{Link: 2}, begin), begin, 8, 1000, 1000) {
		assert.Assert(t, sent*1200 <= linkRate*6/10, "%d orders in second %d", sent, second)
		assert.Assert(t, sent*1200 >= linkRate*4/10, "%d orders in second %d", sent, second)
	}
}

// Load pattern: a host whose processor carries far less than its link. Its orders must slow down to what is answered in time, and speed
// up again once the cause has gone.
func TestOrdersFollowWhatIsAnsweredInTime(t *testing.T) {
	begin := time.Unix(1000, 0)
	o := budget.NewOrders(budget.Host{Link: 100}, begin)
	slow := replay(o, begin, 10, 4000, 400)
	assert.Assert(t, slow[9] < 1200, "%v", slow)
	assert.Assert(t, slow[9] > 100, "%v", slow)
	recovered := replay(o, begin.Add(10*time.Second), 10, 4000, 8000)
	assert.Assert(t, recovered[9] > 3500, "%v", recovered)
}

// Guards against a placement that takes on more tasks than can be started soon, and against one that stops altogether.
func TestRoomIsWhatABurstCarries(t *testing.T) {
	begin := time.Unix(1000, 0)
	room := budget.NewOrders(budget.Host{Link: 2}, begin).Room(begin)
	assert.Assert(t, room >= 1 && room <= 40, "%d", room)
	assert.Assert(t, budget.NewOrders(budget.Host{}, begin).Room(begin) > 1000)
}
