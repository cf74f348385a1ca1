package schedule

import (
	"container/list"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// waitingSet counts the waiting items of each team, for the bounds of the queue.
type waitingSet struct {
	teams map[jaybarrow.TeamID]*teamWaiting
	items map[jaybarrow.RequestID]*list.Element
}

type teamWaiting struct {
	share jaybarrow.Share
	items *list.List // of jaybarrow.Item, oldest push first
	work  time.Duration
	slots jaybarrow.Slots
	skips map[jaybarrow.Demand]SkipReason
}

func newWaitingSet() *waitingSet {
	return &waitingSet{
		teams: make(map[jaybarrow.TeamID]*teamWaiting),
		items: make(map[jaybarrow.RequestID]*list.Element),
	}
}

func (w *waitingSet) add(item jaybarrow.Item) {
	t, ok := w.teams[item.Team]
	if !ok {
		t = &teamWaiting{items: list.New(), skips: make(map[jaybarrow.Demand]SkipReason)}
		w.teams[item.Team] = t
	}
	t.share = max(item.Share, minShare)
	t.work += work(item)
	t.slots += item.Slots
	w.items[item.ID] = t.items.PushBack(item)
}

func (w *waitingSet) remove(item jaybarrow.Item) {
	element, ok := w.items[item.ID]
	if !ok {
		return
	}
	delete(w.items, item.ID)
	t := w.teams[item.Team]
	t.items.Remove(element)
	t.work -= work(item)
	t.slots -= item.Slots
	if t.items.Len() == 0 {
		delete(w.teams, item.Team)
	}
}

func (w *waitingSet) count(team jaybarrow.TeamID) int {
	if t, ok := w.teams[team]; ok {
		return t.items.Len()
	}
	return 0
}

// minShare keeps the ratio of a team without a share finite.
const minShare jaybarrow.Share = 1e-6

// mostAbove returns the newest item of the team whose waiting items exceed its share most, if an item of the arriving
// team would be no further above; false means that the arriving team is itself the furthest above.
func (w *waitingSet) mostAbove(arriving jaybarrow.Item) (jaybarrow.Item, bool) {
	worst := float64(w.count(arriving.Team)+1) / float64(max(arriving.Share, minShare))
	var newest jaybarrow.Item
	found := false
	for id, t := range w.teams {
		ratio := float64(t.items.Len()) / float64(t.share)
		tied := found && ratio == worst && id > newest.Team
		if id == arriving.Team || ratio < worst || tied {
			continue
		}
		worst, found = ratio, true
		newest = t.items.Back().Value.(jaybarrow.Item)
	}
	return newest, found
}

// setSkip remembers why items of the team and demand did not start when they were last considered.
func (w *waitingSet) setSkip(item jaybarrow.Item, skip SkipReason) {
	if t, ok := w.teams[item.Team]; ok {
		t.skips[item.Demand] = skip
	}
}

func (w *waitingSet) skip(item jaybarrow.Item) SkipReason {
	if t, ok := w.teams[item.Team]; ok {
		return t.skips[item.Demand]
	}
	return SkipNone
}

// lackingPermits is the estimated slot time of the other teams' items that lacked permits when last considered.
func (w *waitingSet) lackingPermits(team jaybarrow.TeamID) time.Duration {
	var total time.Duration
	for id, t := range w.teams {
		for _, skip := range t.skips {
			if id != team && skip == SkipNoPermits {
				total += t.work
				break
			}
		}
	}
	return total
}

func work(item jaybarrow.Item) time.Duration {
	return item.Estimate * time.Duration(max(item.Slots, 1))
}
