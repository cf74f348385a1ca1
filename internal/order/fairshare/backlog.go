package fairshare

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// BacklogAhead estimates the slot time that would run before the item if it arrived now. It is the work of the item's own team,
// and of each other team the work that its share allows in the meantime, at most its waiting work. A long task ahead occupies its
// slot but does not have to end before the item starts, so it counts for no more than the time left to the item's target.
func (o *Order) BacklogAhead(now time.Time, item jaybarrow.Item) time.Duration {
	o.reclassify(now)
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
	urgent := e.tier == tierQuick || e.tier == tierUrgentSlow
	timeLeft := max(item.Target.Sub(now), 0)
	own := t.loadBefore(urgent)
	if urgent && o.withinEntitlement(t, item.Slots) {
		return own.boundedWork(own.work, timeLeft) + o.urgentBacklog(t, own.work+e.work(), share, timeLeft)
	}
	serviceAtStart := t.service
	if t.waiting == 0 {
		serviceAtStart = max(serviceAtStart, o.virtualTime)
	}
	serviceAtStart += service(own.work.Seconds() / float64(share))
	return own.boundedWork(own.work, timeLeft) + o.backlogByService(t, serviceAtStart, timeLeft)
}

// loadBefore returns the team's load that precedes a new item of the team.
func (t *team) loadBefore(urgent bool) load {
	sum := t.load[tierQuick].plus(t.load[tierUrgentSlow])
	if !urgent {
		sum = sum.plus(t.load[tierSlow])
	}
	return sum
}

func (l load) plus(m load) load { return load{l.count + m.count, l.work + m.work} }

// boundedWork returns the load's work up to maxWork, scaled down so that the mean entry counts for no more than the time left.
func (l load) boundedWork(maxWork, timeLeft time.Duration) time.Duration {
	if l.count == 0 {
		return 0
	}
	maxWork = min(maxWork, l.work)
	mean := l.work / time.Duration(l.count)
	if mean <= timeLeft {
		return maxWork
	}
	return time.Duration(float64(maxWork) * float64(timeLeft) / float64(mean))
}

// urgentBacklog returns the urgent work that the other teams run, by their shares, while the team runs ownWork.
func (o *Order) urgentBacklog(t *team, ownWork time.Duration, share jaybarrow.Share, timeLeft time.Duration) time.Duration {
	var work time.Duration
	for _, other := range o.byUrgency.Items() {
		if other != t {
			work += other.loadBefore(true).boundedWork(time.Duration(float64(ownWork)*float64(other.share/share)), timeLeft)
		}
	}
	return work
}

// backlogByService returns the work that the other teams run until their service reaches serviceAtStart: their urgent work, then
// the rest.
func (o *Order) backlogByService(t *team, serviceAtStart service, timeLeft time.Duration) time.Duration {
	var work time.Duration
	for _, other := range o.byService.Items() {
		if other == t || other.service >= serviceAtStart {
			continue
		}
		due := time.Duration(float64(serviceAtStart-other.service) * float64(other.share) * float64(time.Second))
		urgent, rest := other.loadBefore(true), other.load[tierSlow].plus(other.load[tierOverdue])
		work += urgent.boundedWork(due, timeLeft) + rest.boundedWork(max(due-urgent.work, 0), timeLeft)
	}
	return work
}
