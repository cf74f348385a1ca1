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

// Guards against starting waiting items in the wrong order; each case names the rule.
func TestOrderOfStarts(t *testing.T) {
	cases := []struct {
		name    string
		started []jaybarrow.Item // started before the items arrive
		items   []jaybarrow.Item
		now     float64
		want    string
	}{
		{"quick by target", nil, []jaybarrow.Item{quick("a", "late", 9, 1), quick("a", "early", 4, 1)}, 0, "[early late]"},
		{"slow by latest start", nil, []jaybarrow.Item{slow("a", "short", 900, 10), slow("a", "long", 1000, 300)}, 0, "[long short]"},
		{"quick before slow that has time left", nil, []jaybarrow.Item{slow("a", "slow", 900, 10), quick("a", "quick", 4, 1)}, 0, "[quick slow]"},
		{"slow is urgent at its latest start", nil, []jaybarrow.Item{quick("a", "quick", 104, 1), slow("a", "slow", 200, 100)}, 100, "[slow quick]"},
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
			"urgent work of a team above its entitlement waits for its turn",
			[]jaybarrow.Item{quick("a", "a0", 5, 2), quick("a", "a1", 5, 2), slow("b", "b0", 900, 1)},
			[]jaybarrow.Item{quick("a", "a2", 4, 2), slow("b", "b1", 900, 1)},
			0, "[b1 a2]",
		},
		{
			"urgent work of a team below its entitlement goes first despite its service",
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
			for it, ok := o.Next(at(c.now), acceptAll); ok; it, ok = o.Next(at(c.now), acceptAll) {
				o.Started(at(c.now), it)
				got = append(got, it.ID)
			}
			assert.Equal(t, fmt.Sprint(got), c.want)
		})
	}
}

func acceptAll(jaybarrow.Item) bool { return true }

// pool simulates a pool whose tasks all run one second, whatever their estimates.
type pool struct {
	order     *fairshare.Order
	now       time.Time
	nextID    int
	completed map[jaybarrow.TeamID]float64 // tasks
}

func newPool() *pool {
	return &pool{order: fairshare.New(), now: epoch, completed: make(map[jaybarrow.TeamID]float64)}
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

// runRound starts one task on each slot and ends all of them a second later.
func (p *pool) runRound(slots int) {
	var running []jaybarrow.Item
	for range slots {
		if it, ok := p.order.Next(p.now, acceptAll); ok {
			p.order.Started(p.now, it)
			running = append(running, it)
		}
	}
	p.now = p.now.Add(time.Second)
	for _, it := range running {
		p.order.Finished(p.now, it, time.Second)
		p.completed[it.Team]++
	}
}

// Guards against teams that get more or less than their share of a full pool when estimates are off by up to ten times and teams
// have queues of different lengths.
func TestSharesAreMetInAFullPool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, total := newPool(), 0.0
		shares := rapid.SliceOfN(rapid.IntRange(1, 5), 2, 5).Draw(t, "shares")
		for i, share := range shares {
			factor := rapid.SampledFrom([]float64{0.1, 1, 10}).Draw(t, "factor")
			waiting := rapid.SampledFrom([]int{1000, 4000}).Draw(t, "waiting")
			p.push(jaybarrow.TeamID(fmt.Sprint(i)), float64(share), waiting, time.Duration(factor*float64(time.Second)))
			total += float64(share)
		}
		const rounds, slots = 100, 8
		for range rounds {
			p.runRound(slots)
		}
		for i, share := range shares {
			part := p.completed[jaybarrow.TeamID(fmt.Sprint(i))] / (rounds * slots)
			entitled := float64(share) / total
			assert.Assert(t, part > entitled-0.03 && part < entitled+0.03, "team %d got %.3f of the pool instead of %.3f", i, part, entitled)
		}
	})
}

// Guards against credit for idle time: a team that becomes active again must not displace the others to make up for its absence.
func TestReturningTeamHasNoCredit(t *testing.T) {
	p := newPool()
	p.push("busy", 1, 2000, time.Second)
	for range 50 {
		p.runRound(8)
	}
	before := p.completed["busy"]
	p.push("idle", 1, 1000, time.Second)
	for range 10 {
		p.runRound(8)
	}
	assert.Equal(t, p.completed["busy"]-before, 40.0)
	assert.Equal(t, p.completed["idle"], 40.0)
}

// Guards against operations that scan all waiting items: a queue that is ten times as long must not make them ten times slower.
// Each of the 250 teams already runs its entitlement, which is the worst case of the search for urgent work.
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
				running[i], _ = o.Next(epoch, acceptAll)
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
				*ended, _ = o.Next(epoch, acceptAll)
				o.Started(epoch, *ended)
			}
		})
	}
}
