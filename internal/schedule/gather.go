package schedule

import (
	"container/list"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

const (
	// usualSmoothing is the weight of one run in the usual run time.
	usualSmoothing = 0.05
	// minGatherWait keeps pools of very short work from gathering all the time.
	minGatherWait = 2 * time.Second
	// gatherLookahead is how many items of a team are looked at, so that one that fits no host does not stop the others.
	gatherLookahead = 8
)

// gathering collects the slots of one host for an item of several slots. Without it, one-slot work takes each slot that
// becomes free, and the item waits for as long as the pool is busy. It passes the order by, so each team may have only one
// task at a time that started this way.
type gathering struct {
	after   float64                         // usual run times that an item waits first; 0: never gather
	usual   time.Duration                   // smoothed run time of the pool
	waiting map[jaybarrow.TeamID]*list.List // of jaybarrow.Item with several slots, oldest push first
	places  map[jaybarrow.RequestID]*list.Element
	item    *jaybarrow.Item // nil: no host is gathering
	host    jaybarrow.HostID
	running map[jaybarrow.TeamID]jaybarrow.AttemptID // tasks that were started on gathered slots
	retryAt map[jaybarrow.TeamID]time.Time           // of teams that lacked permits when the slots were there
}

func newGathering(after float64) *gathering {
	return &gathering{
		after: after, waiting: make(map[jaybarrow.TeamID]*list.List), places: make(map[jaybarrow.RequestID]*list.Element),
		running: make(map[jaybarrow.TeamID]jaybarrow.AttemptID), retryAt: make(map[jaybarrow.TeamID]time.Time),
	}
}

// holds reports whether the host gathers slots, so that other work keeps off it.
func (g *gathering) holds(id jaybarrow.HostID) bool { return g.item != nil && g.host == id }

func (g *gathering) add(item jaybarrow.Item) {
	if g.after <= 0 || item.Slots <= 1 {
		return
	}
	items, ok := g.waiting[item.Team]
	if !ok {
		items = list.New()
		g.waiting[item.Team] = items
	}
	g.places[item.ID] = items.PushBack(item)
}

func (g *gathering) remove(id jaybarrow.RequestID) {
	if place, ok := g.places[id]; ok {
		team := place.Value.(jaybarrow.Item).Team
		g.waiting[team].Remove(place)
		delete(g.places, id)
		if g.waiting[team].Len() == 0 {
			delete(g.waiting, team)
		}
	}
	if g.item != nil && g.item.ID == id {
		g.item = nil
	}
}

// finished learns the usual run time and ends the hold of a gathered start on its team.
func (g *gathering) finished(start Start, ran time.Duration) {
	if g.running[start.Item.Team] == start.Attempt {
		delete(g.running, start.Item.Team)
	}
	if ran <= 0 {
		return
	}
	if g.usual == 0 {
		g.usual = ran
	}
	g.usual += time.Duration(usualSmoothing * float64(ran-g.usual))
}

// wait is how long an item waits before a host gathers slots for it.
func (g *gathering) wait() time.Duration {
	return max(time.Duration(g.after*float64(g.usual)), minGatherWait)
}

// due reports whether slots may be gathered for the item now.
func (g *gathering) due(now time.Time, item jaybarrow.Item) bool {
	_, running := g.running[item.Team]
	return !running && now.Sub(item.Arrived) >= g.wait() && !now.Before(g.retryAt[item.Team])
}

// startGathered chooses a host to gather slots if an item has waited too long, and starts the item once its slots are free.
func (p *Pool) startGathered(now time.Time, in Inputs) (Start, bool) {
	g := p.gather
	if g.item != nil && !p.canGather(g.host, *g.item) {
		g.item = nil
	}
	if g.item == nil {
		p.beginGathering(now)
	}
	if g.item == nil {
		return Start{}, false
	}
	item, h := *g.item, p.hosts[g.host]
	if !h.usable(now) || !item.Demand.FitsIn(h.free()) {
		return Start{}, false
	}
	g.item = nil
	if !in.Acquire(item.Team, item.Slots) {
		p.waiting.setSkip(item, SkipNoPermits)
		g.retryAt[item.Team] = now.Add(g.wait())
		return Start{}, false
	}
	delete(g.retryAt, item.Team)
	p.order.Remove(item.ID)
	start := p.start(now, item, g.host)
	g.running[item.Team] = start.Attempt
	return start, true
}

// beginGathering takes the oldest due item that fits a host but found no room.
func (p *Pool) beginGathering(now time.Time) {
	g := p.gather
	for _, items := range g.waiting {
		place := items.Front()
		for n := 0; n < gatherLookahead && place != nil; n++ {
			item := place.Value.(jaybarrow.Item)
			place = place.Next()
			if !g.due(now, item) || p.waiting.skip(item) == SkipNoPermits || !older(item, g.item) {
				continue
			}
			if host, ok := p.hostToGather(item); ok {
				g.item, g.host = &item, host
			}
		}
	}
}

func older(item jaybarrow.Item, than *jaybarrow.Item) bool {
	return than == nil || item.Arrived.Before(than.Arrived) || (item.Arrived.Equal(than.Arrived) && item.ID < than.ID)
}

// hostToGather returns the own host with the fewest slots missing for the item, outside the hosts that the item was tried
// on if there is another.
func (p *Pool) hostToGather(item jaybarrow.Item) (best jaybarrow.HostID, found bool) {
	tried := p.tried[item.ID]
	if !p.HasOtherHost(item.Demand, tried) {
		tried = nil
	}
	most := jaybarrow.Slots(0)
	for _, id := range p.ids {
		free := p.hosts[id].free().Slots
		if p.canGather(id, item) && !slices.Contains(tried, id) && (!found || free > most) {
			best, most, found = id, free, true
		}
	}
	return best, found
}

func (p *Pool) canGather(id jaybarrow.HostID, item jaybarrow.Item) bool {
	h, ok := p.hosts[id]
	return ok && h.accepting && !h.borrowed && item.Demand.FitsIn(h.capacity)
}
