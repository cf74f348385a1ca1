package schedule

import (
	"container/list"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// waitingSet indexes the waiting items by team, for the bounds of the queue and for admission.
type waitingSet struct {
	teams map[jaybarrow.TeamID]*teamWaiting
	items map[jaybarrow.RequestID]*list.Element
}

type teamWaiting struct {
	share       jaybarrow.Share
	items       *list.List // of jaybarrow.Item, in the order in which they were queued
	slotTime    time.Duration
	slots       jaybarrow.Slots
	skipReasons map[jaybarrow.Demand]SkipReason
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
		t = &teamWaiting{items: list.New(), skipReasons: make(map[jaybarrow.Demand]SkipReason)}
		w.teams[item.Team] = t
	}
	t.share = max(item.Share, minShare)
	t.slotTime += slotTime(item)
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
	t.slotTime -= slotTime(item)
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

// minShare replaces a missing share, which would make the ratio of waiting items to share infinite.
const minShare jaybarrow.Share = 1e-6

// victimFor returns the item to evict for an arriving one: the most recently queued item of the team with the highest ratio of
// waiting items to share. It returns false when the arriving team would itself have a higher ratio than all others.
func (w *waitingSet) victimFor(arriving jaybarrow.Item) (jaybarrow.Item, bool) {
	highest := float64(w.count(arriving.Team)+1) / float64(max(arriving.Share, minShare))
	var newest jaybarrow.Item
	found := false
	for id, t := range w.teams {
		ratio := float64(t.items.Len()) / float64(t.share)
		tied := found && ratio == highest && id > newest.Team
		if id == arriving.Team || ratio < highest || tied {
			continue
		}
		highest, found = ratio, true
		newest = t.items.Back().Value.(jaybarrow.Item)
	}
	return newest, found
}

// setSkipReason records why items of this team and demand did not start when they were last considered.
func (w *waitingSet) setSkipReason(item jaybarrow.Item, reason SkipReason) {
	if t, ok := w.teams[item.Team]; ok {
		t.skipReasons[item.Demand] = reason
	}
}

func (w *waitingSet) skipReason(item jaybarrow.Item) SkipReason {
	if t, ok := w.teams[item.Team]; ok {
		return t.skipReasons[item.Demand]
	}
	return SkipNone
}

// slotTimeLackingPermits returns the estimated slot time of all waiting items of those other teams that last lacked permits for any
// of their demands.
func (w *waitingSet) slotTimeLackingPermits(team jaybarrow.TeamID) time.Duration {
	var total time.Duration
	for id, t := range w.teams {
		for _, reason := range t.skipReasons {
			if id != team && reason == SkipNoPermits {
				total += t.slotTime
				break
			}
		}
	}
	return total
}

// slotTime returns the item's estimated run time multiplied by its slots.
func slotTime(item jaybarrow.Item) time.Duration {
	return item.Estimate * time.Duration(max(item.Slots, 1))
}
