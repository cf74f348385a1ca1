package schedule

import (
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Settings holds the bounds of a pool's queue and the parameters of its scheduling rules.
type Settings struct {
	MaxWaiting     int     // waiting requests of the pool; at the bound the newest one of the team furthest above its share is evicted
	MaxTeamWaiting int     // waiting requests of one team; 0 for no bound per team
	Admission      bool    // refuses requests whose deadline cannot be met
	QuickReserve   float64 // largest fraction of the slots that is held for quick work; 0 for none
	GatherAfter    float64 // mean run times that multi-slot work waits before a host gathers slots for it; 0 for never
}

// Start is a decision to run an item on a host now.
type Start struct {
	Attempt jaybarrow.AttemptID
	Item    jaybarrow.Item
	Host    jaybarrow.HostID
}

// SkipReason is the reason why a waiting item did not start when it was last considered.
type SkipReason string

// The reasons why an item was skipped.
const (
	SkipNone      SkipReason = ""
	SkipNoRoom    SkipReason = "room"    // no host had room
	SkipNoPermits SkipReason = "permits" // the team lacked permits
	SkipReserved  SkipReason = "reserve" // the free slots were held for quick work
)

// Signals returns the number of a host's consecutive failures and its observed latency.
type Signals func(jaybarrow.HostID) (failures int, latency time.Duration)

// Inputs are the functions that a decision calls for state outside the pool.
type Inputs struct {
	Acquire func(jaybarrow.TeamID, jaybarrow.Slots) bool // takes permits; called only when a host has room
	Signals Signals                                      // nil when no host has been observed
}

type runningTask struct {
	start     Start
	startedAt time.Time
	inReserve bool // its slots count against the team's reserve
}

// Pool is the scheduling state of one pool; its owner serializes all calls.
type Pool struct {
	settings          Settings
	order             jaybarrow.Order
	placement         jaybarrow.Placement
	hosts             map[jaybarrow.HostID]*hostState
	hostIDs           []jaybarrow.HostID // keys of hosts, sorted, so that decisions are reproducible
	running           map[jaybarrow.AttemptID]runningTask
	waiting           *waitingSet
	tried             map[jaybarrow.RequestID][]jaybarrow.HostID // hosts that a retried item avoids
	reserve           *reserve
	skippedForReserve bool // the last call of Next skipped an item for the reserve
	gather            *gathering
	lastAttempt       jaybarrow.AttemptID
	missedDeadlines   int64 // requests that were refused or dropped because of their deadlines
}

// New returns a Pool without hosts.
func New(settings Settings, order jaybarrow.Order, placement jaybarrow.Placement) *Pool {
	return &Pool{
		settings:  settings,
		order:     order,
		placement: placement,
		hosts:     make(map[jaybarrow.HostID]*hostState),
		running:   make(map[jaybarrow.AttemptID]runningTask),
		waiting:   newWaitingSet(),
		tried:     make(map[jaybarrow.RequestID][]jaybarrow.HostID),
		reserve:   newReserve(settings.QuickReserve),
		gather:    newGathering(settings.GatherAfter),
	}
}

// Enqueue adds an item to the queue, or refuses it with KindDeadlineUnattainable or KindQueueFull. expectedRun is the run time
// that admission assumes, 0 when unknown. The evicted items, at most one, were removed from the full queue for the new one.
func (p *Pool) Enqueue(now time.Time, item jaybarrow.Item, expectedRun time.Duration) (evicted []jaybarrow.Item, err error) {
	p.reserve.countArrival(now, item)
	if err := p.checkDeadline(now, item, expectedRun); err != nil {
		p.missedDeadlines++
		return nil, err
	}
	if n := p.waiting.count(item.Team); p.settings.MaxTeamWaiting > 0 && n >= p.settings.MaxTeamWaiting {
		return nil, jaybarrow.Errorf(jaybarrow.KindQueueFull, "%d requests of team %s are waiting", n, item.Team)
	}
	if p.order.Len() >= p.settings.MaxWaiting {
		victim, ok := p.waiting.victimFor(item)
		if !ok {
			return nil, jaybarrow.Errorf(jaybarrow.KindQueueFull, "%d requests are waiting", p.order.Len())
		}
		p.Withdraw(victim.ID)
		evicted = append(evicted, victim)
	}
	p.addWaiting(now, item)
	return evicted, nil
}

// addWaiting adds the item to the order and the indexes of waiting items.
func (p *Pool) addWaiting(now time.Time, item jaybarrow.Item) {
	p.order.Push(now, item)
	p.waiting.add(item)
	p.gather.add(item)
}

// removeWaiting removes an item that has left the order from the indexes of waiting items.
func (p *Pool) removeWaiting(item jaybarrow.Item) {
	p.waiting.remove(item)
	p.gather.remove(item.ID)
	delete(p.tried, item.ID)
}

// Requeue puts an item back into the queue after an attempt, at its old place and without regard to the queue's bounds. The item
// avoids the tried hosts while another host could run it.
func (p *Pool) Requeue(now time.Time, item jaybarrow.Item, tried []jaybarrow.HostID) {
	p.addWaiting(now, item)
	p.tried[item.ID] = slices.Clone(tried)
}

// Next decides the next start; false when no waiting item can start now.
func (p *Pool) Next(now time.Time, in Inputs) (Start, bool) {
	p.skippedForReserve = false
	if p.order.Len() == 0 {
		return Start{}, false
	}
	if start, ok := p.startGathered(now, in); ok {
		return start, true
	}
	if p.freeSlots(now, false)+p.freeSlots(now, true) == 0 {
		return Start{}, false
	}
	s := newSelection(p, now, in)
	defer s.restoreParked()
	for {
		item, ok := p.order.Next(now, s.accepts)
		if !ok {
			return Start{}, false
		}
		if s.chosen != nil {
			return p.start(now, item, s.chosen[p.placement.Choose(s.chosen)].Host), true
		}
		s.parked = append(s.parked, item)
	}
}

func (p *Pool) start(now time.Time, item jaybarrow.Item, host jaybarrow.HostID) Start {
	p.removeWaiting(item)
	p.lastAttempt++
	start := Start{Attempt: p.lastAttempt, Item: item, Host: host}
	p.hosts[host].adjustUsage(item.Demand, 1)
	r := runningTask{start, now, mayUseReserve(now, item)}
	p.running[start.Attempt] = r
	if r.inReserve {
		p.reserve.addRunning(now, item, 1)
	}
	p.order.Started(now, item)
	return start
}

// Finished frees the slots of an attempt that is known to have ended; ran is 0 when it did not run.
func (p *Pool) Finished(now time.Time, attempt jaybarrow.AttemptID, ran time.Duration) {
	r, ok := p.running[attempt]
	if !ok {
		return
	}
	delete(p.running, attempt)
	if r.inReserve {
		p.reserve.addRunning(now, r.start.Item, -1)
	}
	p.order.Finished(now, r.start.Item, ran)
	p.gather.taskFinished(r.start, ran)
	p.hosts[r.start.Host].adjustUsage(r.start.Item.Demand, -1)
	p.removeUnusedHost(r.start.Host)
}

// Withdraw removes a waiting item; it reports whether the item was waiting.
func (p *Pool) Withdraw(id jaybarrow.RequestID) bool {
	item, ok := p.order.Remove(id)
	if ok {
		p.removeWaiting(item)
	}
	return ok
}

// WithdrawAll removes and returns all waiting items.
func (p *Pool) WithdrawAll() []jaybarrow.Item {
	items := make([]jaybarrow.Item, 0, len(p.waiting.items))
	for _, element := range p.waiting.items {
		items = append(items, element.Value.(jaybarrow.Item))
	}
	for _, item := range items {
		p.Withdraw(item.ID)
	}
	return items
}

// Expiry is a waiting item whose deadline passed, with the reason why it was last skipped.
type Expiry struct {
	Item       jaybarrow.Item
	SkipReason SkipReason
}

// Expired removes and returns the waiting items whose deadline passed.
func (p *Pool) Expired(now time.Time) []Expiry {
	var expired []Expiry
	for _, item := range p.order.Expired(now) {
		expired = append(expired, Expiry{item, p.waiting.skipReason(item)})
		p.missedDeadlines++
		p.removeWaiting(item)
	}
	return expired
}

// NextWake returns the next time at which a decision may change without any other event: a deadline passes, a host's backoff
// ends, or slots are no longer held for quick work. It returns false when there is no such time.
func (p *Pool) NextWake(now time.Time) (time.Time, bool) {
	wake, _ := p.order.NextDeadline()
	if p.order.Len() > 0 {
		for _, h := range p.hosts {
			if h.accepting && h.retryAt.After(now) {
				wake = earlier(wake, h.retryAt)
			}
		}
	}
	if p.skippedForReserve {
		wake = earlier(wake, p.reserve.windowEnd)
	}
	return wake, !wake.IsZero()
}

// earlier returns the earlier of the two times; a zero a counts as unset.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// UsableSlots returns how many free slots the team's waiting work could fill, without regard to permits and the reserve.
func (p *Pool) UsableSlots(now time.Time, team jaybarrow.TeamID) jaybarrow.Slots {
	t, ok := p.waiting.teams[team]
	if !ok {
		return 0
	}
	return min(t.slots, p.freeSlots(now, false)+p.freeSlots(now, true))
}

// Load is a pool's load in one data centre.
type Load struct {
	Waiting   int             `json:"waiting"`
	Running   int             `json:"running"`   // on own and borrowed hosts
	FreeSlots jaybarrow.Slots `json:"freeSlots"` // on own hosts, so that borrowed ones attract no work of other data centres
	// Missed counts the requests that the pool refused or dropped because of their deadlines; it is known on this entry host only.
	Missed int64 `json:"-"`
}

// Load returns the current load.
func (p *Pool) Load(now time.Time) Load {
	return Load{Waiting: p.order.Len(), Running: len(p.running), FreeSlots: p.freeSlots(now, false), Missed: p.missedDeadlines}
}
