package fairshare

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Ahead estimates the slot time that would run before the item if it arrived now. Work of the item's own team counts in
// full; another team counts with what its share allows meanwhile, at most its own waiting work.
func (o *Order) Ahead(now time.Time, item jaybarrow.Item) time.Duration {
	o.advance(now)
	t, ok := o.teams[item.Team]
	if !ok {
		t = newTeam(item.Team)
	}
	share := t.share
	if item.Share > 0 {
		share = item.Share
	}
	e := entry{item: item}
	e.classify(now)
	urgent := e.tier == tierQuick || e.tier == tierPressing
	own := t.ahead(urgent)
	if urgent && o.withinPart(t, item.Slots) {
		return own + o.urgentAhead(t, own+e.work(), share)
	}
	reached := t.service
	if t.waiting == 0 {
		reached = max(reached, o.virtual)
	}
	reached += service(own.Seconds() / float64(share))
	return own + o.fairAhead(t, reached)
}

// ahead is the team's own work that precedes a new item.
func (t *team) ahead(urgent bool) time.Duration {
	work := t.work[tierQuick] + t.work[tierPressing]
	if !urgent {
		work += t.work[tierSlow]
	}
	return work
}

func (o *Order) urgentAhead(t *team, own time.Duration, share jaybarrow.Share) time.Duration {
	var work time.Duration
	for _, other := range o.byUrgency.Items() {
		if other != t {
			work += min(other.ahead(true), time.Duration(float64(own)*float64(other.share/share)))
		}
	}
	return work
}

// fairAhead is what the other teams run until their service reaches the given one.
func (o *Order) fairAhead(t *team, reached service) time.Duration {
	var work time.Duration
	for _, other := range o.byService.Items() {
		if other == t || other.service >= reached {
			continue
		}
		due := time.Duration(float64(reached-other.service) * float64(other.share) * float64(time.Second))
		work += min(other.ahead(false)+other.work[tierOverdue], due)
	}
	return work
}
