package fairshare

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// BacklogAhead estimates the slot time that would run before the item if it arrived now. Work of the item's own team counts in
// full; another team counts with what its share allows meanwhile, at most its own waiting work. A long task ahead holds its
// slot but does not have to end before the item starts, so it counts with no more than the time left to the item's target.
func (o *Order) BacklogAhead(now time.Time, item jaybarrow.Item) time.Duration {
	o.advance(now)
	t, ok := o.teams[item.Team]
	if !ok {
		t = newTeam(item.Team)
	}
	share := t.share
	if item.Share > 0 {
		share = item.Share
	}
	e := newEntry(item, t)
	e.classify(now)
	urgent := e.tier == tierQuick || e.tier == tierPressing
	left := max(item.Target.Sub(now), 0)
	own := t.before(urgent)
	if urgent && o.withinPart(t, item.Slots) {
		return own.within(own.work, left) + o.urgentAhead(t, own.work+e.work(), share, left)
	}
	reached := t.service
	if t.waiting == 0 {
		reached = max(reached, o.virtual)
	}
	reached += service(own.work.Seconds() / float64(share))
	return own.within(own.work, left) + o.fairAhead(t, reached, left)
}

// before is the team's own work that precedes a new item.
func (t *team) before(urgent bool) load {
	sum := t.load[tierQuick].and(t.load[tierPressing])
	if !urgent {
		sum = sum.and(t.load[tierSlow])
	}
	return sum
}

func (l load) and(m load) load { return load{l.count + m.count, l.work + m.work} }

// within returns at most the given part of the load's work, with no entry counted longer than the time left.
func (l load) within(part, left time.Duration) time.Duration {
	if l.count == 0 {
		return 0
	}
	part = min(part, l.work)
	mean := l.work / time.Duration(l.count)
	if mean <= left {
		return part
	}
	return time.Duration(float64(part) * float64(left) / float64(mean))
}

func (o *Order) urgentAhead(t *team, own time.Duration, share jaybarrow.Share, left time.Duration) time.Duration {
	var work time.Duration
	for _, other := range o.byUrgency.Items() {
		if other != t {
			work += other.before(true).within(time.Duration(float64(own)*float64(other.share/share)), left)
		}
	}
	return work
}

// fairAhead is what the other teams run until their service reaches the given one: their urgent work, then the rest.
func (o *Order) fairAhead(t *team, reached service, left time.Duration) time.Duration {
	var work time.Duration
	for _, other := range o.byService.Items() {
		if other == t || other.service >= reached {
			continue
		}
		due := time.Duration(float64(reached-other.service) * float64(other.share) * float64(time.Second))
		urgent, rest := other.before(true), other.load[tierSlow].and(other.load[tierOverdue])
		work += urgent.within(due, left) + rest.within(max(due-urgent.work, 0), left)
	}
	return work
}
