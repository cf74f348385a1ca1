package schedule

import (
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// overrunPart of its estimate is assumed to remain of a task that runs longer than its estimate.
const overrunPart = 8

// attainable refuses an item that would be answered after its deadline; likely is its assumed run time. An item that could
// start now is never refused, so that a wrong estimate is corrected by the runs that it would otherwise prevent.
func (p *Pool) attainable(now time.Time, item jaybarrow.Item, likely time.Duration) error {
	if !p.settings.Admission || item.Deadline.IsZero() || likely <= 0 {
		return nil
	}
	wait, known := p.wait(now, item)
	if !known || wait <= 0 || !now.Add(wait+likely).After(item.Deadline) {
		return nil
	}
	return jaybarrow.Errorf(jaybarrow.KindDeadlineUnattainable, "expected wait of %v and run time of %v exceed the %v left",
		wait.Round(time.Millisecond), likely.Round(time.Millisecond), item.Deadline.Sub(now).Round(time.Millisecond))
}

// wait estimates how long the item would wait for its start; false when that is unknown. Free slots that have room for the
// item mean no wait, since the items that already wait could not use them.
func (p *Pool) wait(now time.Time, item jaybarrow.Item) (time.Duration, bool) {
	s := newSelection(p, now, Inputs{})
	free := max(s.free-s.heldFrom(item), 0)
	if candidates, _ := s.candidatesFor(item); len(candidates) > 0 {
		return 0, true
	}
	if mayBorrow(now, item) {
		free += p.freeSlots(now, true)
	}
	ahead := max(p.order.BacklogAhead(now, item)-p.waiting.lackingPermits(item.Team), 0)
	return drain(ahead, item.Slots, free, p.remaining(now))
}

// release is a number of slots that become free after a time.
type release struct {
	after time.Duration
	slots jaybarrow.Slots
}

// remaining returns the expected releases of the running tasks on accepting hosts, earliest first.
func (p *Pool) remaining(now time.Time) []release {
	releases := make([]release, 0, len(p.running))
	for _, r := range p.running {
		if h := p.hosts[r.start.Host]; h == nil || !h.accepting {
			continue
		}
		estimate := r.start.Item.Estimate
		after := max(estimate-now.Sub(r.at), estimate/overrunPart)
		releases = append(releases, release{after, r.start.Item.Slots})
	}
	slices.SortFunc(releases, func(a, b release) int { return int(a.after - b.after) })
	return releases
}

// drain returns when the slots, as they become free, have done the work ahead and leave room for the item.
func drain(ahead time.Duration, slots, free jaybarrow.Slots, releases []release) (time.Duration, bool) {
	at := time.Duration(0)
	for _, r := range releases {
		done := (r.after - at) * time.Duration(free)
		if free >= slots && done >= ahead {
			return at + ahead/time.Duration(max(free, 1)), true
		}
		ahead = max(ahead-done, 0)
		at, free = r.after, free+r.slots
	}
	if free <= 0 || free < slots {
		return 0, false
	}
	return at + ahead/time.Duration(free), true
}
