package fairshare_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/order/fairshare"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

func item(team, id string, class jaybarrow.Class, target, estimate float64) jaybarrow.Item {
	return jaybarrow.Item{
		ID: jaybarrow.RequestID(id), Team: jaybarrow.TeamID(team), Class: class, Slots: 1, Demand: jaybarrow.Demand{Slots: 1}, Share: 1,
		Arrived: epoch, Target: at(target), Estimate: at(estimate).Sub(epoch),
	}
}

func quick(team, id string, target, estimate float64) jaybarrow.Item {
	return item(team, id, jaybarrow.ClassQuick, target, estimate)
}

func slow(team, id string, target, estimate float64) jaybarrow.Item {
	return item(team, id, jaybarrow.ClassSlow, target, estimate)
}

// Guards against a wrong choice between waiting items; each case names the failure.
func TestOrderOfStarts(t *testing.T) {
	cases := []struct {
		name    string
		started []jaybarrow.Item // before the others arrive
		items   []jaybarrow.Item
		now     float64
		want    string
	}{
		{"quick by time left", nil, []jaybarrow.Item{quick("a", "late", 9, 1), quick("a", "early", 4, 1)}, 0, "[early late]"},
		{"slow by latest start", nil, []jaybarrow.Item{slow("a", "short", 900, 10), slow("a", "long", 1000, 300)}, 0, "[long short]"},
		{"quick before slow with time left", nil, []jaybarrow.Item{slow("a", "slow", 900, 10), quick("a", "quick", 4, 1)}, 0, "[quick slow]"},
		{"slow at its latest start is urgent", nil, []jaybarrow.Item{quick("a", "quick", 104, 1), slow("a", "slow", 200, 100)}, 100, "[slow quick]"},
		{
			"quick that cannot meet its target comes last", nil,
			[]jaybarrow.Item{quick("a", "lost", 4, 2), slow("b", "slow", 900, 10), quick("b", "quick", 7, 2)},
			3, "[quick slow lost]",
		},
		{
			"slow that cannot meet its target comes after slow that can", nil,
			[]jaybarrow.Item{slow("a", "overdue", 50, 40), slow("a", "open", 900, 40)},
			45, "[open overdue]",
		},
		{
			"least service first",
			[]jaybarrow.Item{slow("a", "a0", 900, 60)},
			[]jaybarrow.Item{slow("a", "a1", 900, 10), slow("b", "b1", 900, 40), slow("b", "b2", 900, 40)},
			0, "[b1 b2 a1]",
		},
		{
			"urgent work of a team above its part waits its turn",
			[]jaybarrow.Item{quick("a", "a0", 5, 2), quick("a", "a1", 5, 2), slow("b", "b0", 900, 1)},
			[]jaybarrow.Item{quick("a", "a2", 4, 2), slow("b", "b1", 900, 1)},
			0, "[b1 a2]",
		},
		{
			"urgent work of a team below its part goes first despite its service",
			[]jaybarrow.Item{slow("a", "a0", 900, 300), slow("b", "b0", 900, 1), slow("b", "b1", 900, 1)},
			[]jaybarrow.Item{quick("a", "a1", 4, 1), slow("b", "b2", 900, 1)},
			0, "[a1 b2]",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := fairshare.New()
			for _, it := range c.started {
				o.Push(epoch, it)
			}
			for range c.started {
				it, _ := o.Next(epoch, func(jaybarrow.Item) bool { return true })
				o.Started(epoch, it)
			}
			for _, it := range c.items {
				o.Push(epoch, it)
			}
			var got []jaybarrow.RequestID
			for it, ok := o.Next(at(c.now), all); ok; it, ok = o.Next(at(c.now), all) {
				o.Started(at(c.now), it)
				got = append(got, it.ID)
			}
			assert.Equal(t, fmt.Sprint(got), c.want)
		})
	}
}

func all(jaybarrow.Item) bool { return true }

// pool runs one-second tasks on slots that are always full; estimates are off by the factor.
type pool struct {
	order  *fairshare.Order
	now    time.Time
	nextID int
	served map[jaybarrow.TeamID]float64
}

func newPool() *pool {
	return &pool{order: fairshare.New(), now: epoch, served: make(map[jaybarrow.TeamID]float64)}
}

func (p *pool) push(team jaybarrow.TeamID, share float64, count int, estimate time.Duration) {
	for range count {
		p.nextID++
		p.order.Push(p.now, jaybarrow.Item{
			ID: jaybarrow.RequestID(fmt.Sprint(p.nextID)), Team: team, Class: jaybarrow.ClassSlow, Slots: 1,
			Demand: jaybarrow.Demand{Slots: 1}, Share: jaybarrow.Share(share), Arrived: p.now, Target: p.now.Add(time.Hour), Estimate: estimate,
		})
	}
}

// round runs one task on each slot and finishes all of them a second later.
func (p *pool) round(slots int) {
	var running []jaybarrow.Item
	for range slots {
		if it, ok := p.order.Next(p.now, all); ok {
			p.order.Started(p.now, it)
			running = append(running, it)
		}
	}
	p.now = p.now.Add(time.Second)
	for _, it := range running {
		p.order.Finished(p.now, it, time.Second)
		p.served[it.Team]++
	}
}

// Guards against shares that are missed in a full pool, with run times that are off by ten times, a flooding team included.
func TestSharesAreMetInAFullPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, total := newPool(), 0.0
		shares := rapid.SliceOfN(rapid.IntRange(1, 5), 2, 5).Draw(t, "shares")
		for i, share := range shares {
			factor := rapid.SampledFrom([]float64{0.1, 1, 10}).Draw(t, "factor")
			flood := rapid.SampledFrom([]int{1000, 4000}).Draw(t, "waiting")
			p.push(jaybarrow.TeamID(fmt.Sprint(i)), float64(share), flood, time.Duration(factor*float64(time.Second)))
			total += float64(share)
		}
		const rounds, slots = 100, 8
		for range rounds {
			p.round(slots)
		}
		for i, share := range shares {
			part := p.served[jaybarrow.TeamID(fmt.Sprint(i))] / (rounds * slots)
			entitled := float64(share) / total
			assert.Assert(t, part > entitled-0.03 && part < entitled+0.03, "team %d got %.3f of the pool instead of %.3f", i, part, entitled)
		}
	})
}

// Guards against credit for idle time: a team that returns must not displace the others to make up for its absence.
func TestReturningTeamHasNoCredit(t *testing.T) {
	p := newPool()
	p.push("busy", 1, 2000, time.Second)
	for range 50 {
		p.round(8)
	}
	before := p.served["busy"]
	p.push("idle", 1, 1000, time.Second)
	for range 10 {
		p.round(8)
	}
	assert.Equal(t, p.served["busy"]-before, 40.0)
	assert.Equal(t, p.served["idle"], 40.0)
}

// Guards against operations that scan all waiting items: with a tenfold queue they must not get tenfold slower. Each of the
// 250 teams runs its part of the pool, which is the longest search for urgent work.
func BenchmarkLoadedOrder(b *testing.B) {
	for _, waiting := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			o := fairshare.New()
			next := 0
			push := func() jaybarrow.Item {
				next++
				it := quick(fmt.Sprint("t", next%250), fmt.Sprint(next), 1e6+float64(next), 1)
				it.Deadline = it.Target
				o.Push(epoch, it)
				return it
			}
			for range waiting {
				push()
			}
			running := make([]jaybarrow.Item, 500)
			for i := range running {
				running[i], _ = o.Next(epoch, all)
				o.Started(epoch, running[i])
			}
			b.ResetTimer()
			for i := range b.N {
				push()
				o.Remove(push().ID)
				o.BacklogAhead(epoch, running[0])
				o.Expired(epoch)
				o.NextDeadline()
				ended := &running[i%len(running)]
				o.Finished(epoch, *ended, time.Second)
				*ended, _ = o.Next(epoch, all)
				o.Started(epoch, *ended)
			}
		})
	}
}
