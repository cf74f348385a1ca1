package schedule

import (
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// overrunDivisor sets the shortest remaining run time that is assumed of a running task, even after its estimate has passed: the
// estimate divided by overrunDivisor.
const overrunDivisor = 8

// checkDeadline refuses an item that would be answered after its deadline if it runs for expectedRun. An item that could start
// now is never refused, so that a wrong estimate is corrected by the runs that it would otherwise prevent.
func (p *Pool) checkDeadline(now time.Time, item jaybarrow.Item, expectedRun time.Duration) error {
	if !p.settings.Admission || item.Deadline.IsZero() || expectedRun <= 0 {
		return nil
	}
	expectedWait, known := p.expectedWait(now, item)
	if !known || expectedWait <= 0 || !now.Add(expectedWait+expectedRun).After(item.Deadline) {
		return nil
	}
	return jaybarrow.Errorf(jaybarrow.KindDeadlineUnattainable, "expected wait of %v and run time of %v exceed the %v left",
		expectedWait.Round(time.Millisecond), expectedRun.Round(time.Millisecond), item.Deadline.Sub(now).Round(time.Millisecond))
}

// expectedWait estimates how long the item would wait for its start; false when that is unknown. The wait is 0 when free slots
// have room for the item, since the items that already wait could not use them.
func (p *Pool) expectedWait(now time.Time, item jaybarrow.Item) (time.Duration, bool) {
	s := newSelection(p, now, Inputs{})
	free := max(s.free-s.slotsToLeaveFree(item), 0)
	if candidates, _ := s.candidatesFor(item); len(candidates) > 0 {
		return 0, true
	}
	if mayBorrow(now, item) {
		free += p.freeSlots(now, true)
	}
	backlog := max(p.order.BacklogAhead(now, item)-p.waiting.slotTimeLackingPermits(item.Team), 0)
	return timeToStart(backlog, item.Slots, free, p.expectedReleases(now))
}

// release is a number of slots that become free after a delay.
type release struct {
	after time.Duration
	slots jaybarrow.Slots
}

// expectedReleases returns when the running tasks on accepting hosts are expected to free their slots, earliest first.
func (p *Pool) expectedReleases(now time.Time) []release {
	releases := make([]release, 0, len(p.running))
	for _, r := range p.running {
		if h := p.hosts[r.start.Host]; h == nil || !h.accepting {
			continue
		}
		estimate := r.start.Item.Estimate
		after := max(estimate-now.Sub(r.startedAt), estimate/overrunDivisor)
		releases = append(releases, release{after, r.start.Item.Slots})
	}
	slices.SortFunc(releases, func(a, b release) int { return int(a.after - b.after) })
	return releases
}

// timeToStart returns how long the free slots, and those that become free, take to run the backlog and have room for the item.
// It returns false when there are too few slots.
func timeToStart(backlog time.Duration, slots, free jaybarrow.Slots, releases []release) (time.Duration, bool) {
	elapsed := time.Duration(0)
	for _, r := range releases {
		done := (r.after - elapsed) * time.Duration(free)
		if free >= slots && done >= backlog {
			return elapsed + backlog/time.Duration(max(free, 1)), true
		}
		backlog = max(backlog-done, 0)
		elapsed, free = r.after, free+r.slots
	}
	if free <= 0 || free < slots {
		return 0, false
	}
	return elapsed + backlog/time.Duration(free), true
}
