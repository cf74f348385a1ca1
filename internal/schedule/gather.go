package schedule

import (
	"container/list"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

const (
	// runTimeSmoothing is the weight of the newest run in the mean run time.
	runTimeSmoothing = 0.05
	// minGatherWait is the shortest wait before gathering; without it, pools of very short work would gather slots all the time.
	minGatherWait = 2 * time.Second
	// gatherLookahead is how many items of a team are considered, so that one that fits no host does not block the others.
	gatherLookahead = 8
)

// gathering keeps the freed slots of one host for an item of several slots. Without it, one-slot work takes each slot that
// becomes free, and the item waits for as long as the pool is busy. Gathering bypasses the order, so each team may have only one
// running task at a time that started this way.
type gathering struct {
	waitFactor  float64                         // mean run times that an item waits first; 0 for never gathering
	meanRunTime time.Duration                   // exponentially smoothed run time of the pool's tasks
	waiting     map[jaybarrow.TeamID]*list.List // of jaybarrow.Item with several slots, in the order in which they were queued
	elements    map[jaybarrow.RequestID]*list.Element
	item        *jaybarrow.Item // item to start on the gathered slots; nil when no host is gathering
	host        jaybarrow.HostID
	running     map[jaybarrow.TeamID]jaybarrow.AttemptID // tasks that were started on gathered slots
	retryAt     map[jaybarrow.TeamID]time.Time           // next gathering for teams that lacked permits once the slots were free
}

func newGathering(waitFactor float64) *gathering {
	return &gathering{
		waitFactor: waitFactor, waiting: make(map[jaybarrow.TeamID]*list.List), elements: make(map[jaybarrow.RequestID]*list.Element),
		running: make(map[jaybarrow.TeamID]jaybarrow.AttemptID), retryAt: make(map[jaybarrow.TeamID]time.Time),
	}
}

// holds reports whether the host gathers slots, so that no other work is placed on it.
func (g *gathering) holds(id jaybarrow.HostID) bool { return g.item != nil && g.host == id }

func (g *gathering) add(item jaybarrow.Item) {
	if g.waitFactor <= 0 || item.Slots <= 1 {
		return
	}
	items, ok := g.waiting[item.Team]
	if !ok {
		items = list.New()
		g.waiting[item.Team] = items
	}
	g.elements[item.ID] = items.PushBack(item)
}

func (g *gathering) remove(id jaybarrow.RequestID) {
	if element, ok := g.elements[id]; ok {
		team := element.Value.(jaybarrow.Item).Team
		g.waiting[team].Remove(element)
		delete(g.elements, id)
		if g.waiting[team].Len() == 0 {
			delete(g.waiting, team)
		}
	}
	if g.item != nil && g.item.ID == id {
		g.item = nil
	}
}

// taskFinished updates the mean run time. If the task ran on gathered slots, its team may have slots gathered again.
func (g *gathering) taskFinished(start Start, ran time.Duration) {
	if g.running[start.Item.Team] == start.Attempt {
		delete(g.running, start.Item.Team)
	}
	if ran <= 0 {
		return
	}
	if g.meanRunTime == 0 {
		g.meanRunTime = ran
	}
	g.meanRunTime += time.Duration(runTimeSmoothing * float64(ran-g.meanRunTime))
}

// minWait returns how long an item waits before a host gathers slots for it.
func (g *gathering) minWait() time.Duration {
	return max(time.Duration(g.waitFactor*float64(g.meanRunTime)), minGatherWait)
}

// due reports whether the item has waited long enough and slots may be gathered for its team now.
func (g *gathering) due(now time.Time, item jaybarrow.Item) bool {
	_, running := g.running[item.Team]
	return !running && now.Sub(item.Arrived) >= g.minWait() && !now.Before(g.retryAt[item.Team])
}

// startGathered chooses a host to gather slots if an item has waited too long, and starts the item once enough slots are free.
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
		p.waiting.setSkipReason(item, SkipNoPermits)
		g.retryAt[item.Team] = now.Add(g.minWait())
		return Start{}, false
	}
	delete(g.retryAt, item.Team)
	p.order.Remove(item.ID)
	start := p.start(now, item, g.host)
	g.running[item.Team] = start.Attempt
	return start, true
}

// beginGathering selects the oldest due item that fits a host and did not last lack permits, and the host to gather slots on.
func (p *Pool) beginGathering(now time.Time) {
	g := p.gather
	for _, items := range g.waiting {
		element := items.Front()
		for n := 0; n < gatherLookahead && element != nil; n++ {
			item := element.Value.(jaybarrow.Item)
			element = element.Next()
			if !g.due(now, item) || p.waiting.skipReason(item) == SkipNoPermits || !older(item, g.item) {
				continue
			}
			if host, ok := p.hostToGather(item); ok {
				g.item, g.host = &item, host
			}
		}
	}
}

// older reports whether the item arrived before the other one; any item is older than nil.
func older(item jaybarrow.Item, than *jaybarrow.Item) bool {
	return than == nil || item.Arrived.Before(than.Arrived) || (item.Arrived.Equal(than.Arrived) && item.ID < than.ID)
}

// hostToGather returns the pool's own host that lacks the fewest slots for the item. Hosts that the item was tried on are left out
// if there is another.
func (p *Pool) hostToGather(item jaybarrow.Item) (best jaybarrow.HostID, found bool) {
	tried := p.tried[item.ID]
	if !p.HasOtherHost(item.Demand, tried) {
		tried = nil
	}
	mostFree := jaybarrow.Slots(0)
	for _, id := range p.hostIDs {
		free := p.hosts[id].free().Slots
		if p.canGather(id, item) && !slices.Contains(tried, id) && (!found || free > mostFree) {
			best, mostFree, found = id, free, true
		}
	}
	return best, found
}

// canGather reports whether the host accepts tasks, is no borrowed one and could run the item if all its slots were free.
func (p *Pool) canGather(id jaybarrow.HostID, item jaybarrow.Item) bool {
	h, ok := p.hosts[id]
	return ok && h.accepting && !h.borrowed && item.Demand.FitsIn(h.capacity)
}
