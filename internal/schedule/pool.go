package schedule

import (
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Settings bounds a pool's queue and says which of its rules are on.
type Settings struct {
	MaxWaiting     int     // requests that may wait in the pool; at the bound the team furthest above its share yields
	MaxTeamWaiting int     // requests of one team that may wait; 0: no bound of its own
	Admission      bool    // refuse requests whose deadline cannot be met
	QuickReserve   float64 // largest part of the slots that is held for recent quick work; 0: none
	GatherAfter    float64 // usual run times that work of several slots waits before a host gathers slots for it; 0: never
}

// Start is the decision to run an item on a host now.
type Start struct {
	Attempt jaybarrow.AttemptID
	Item    jaybarrow.Item
	Host    jaybarrow.HostID
}

// SkipReason says why a waiting item did not start when it was last considered.
type SkipReason string

// The reasons for a skip.
const (
	SkipNone      SkipReason = ""
	SkipNoRoom    SkipReason = "room"    // no host had room
	SkipNoPermits SkipReason = "permits" // the team had no permits
	SkipReserved  SkipReason = "reserve" // the free slots are held for quick work
)

// Signals gives a host's consecutive failures and its observed latency.
type Signals func(jaybarrow.HostID) (failures int, latency time.Duration)

// Inputs are what a decision takes from outside the pool.
type Inputs struct {
	Acquire func(jaybarrow.TeamID, jaybarrow.Slots) bool // takes permits; called only when a host has room
	Signals Signals                                      // nil: nothing is known of the hosts
}

type runningTask struct {
	start    Start
	at       time.Time
	reserved bool // counted in the team's reserve
}

// Pool is the scheduling state of one pool; its owner serializes all calls.
type Pool struct {
	settings  Settings
	order     jaybarrow.Order
	placement jaybarrow.Placement
	hosts     map[jaybarrow.HostID]*hostState
	ids       []jaybarrow.HostID // of hosts, sorted, so that decisions are reproducible
	running   map[jaybarrow.AttemptID]runningTask
	waiting   *waitingSet
	tried     map[jaybarrow.RequestID][]jaybarrow.HostID // hosts that a waiting item should not go to again
	reserve   *reserve
	reserved  bool // an item was skipped for the reserve since the last change
	gather    *gathering
	attempts  jaybarrow.AttemptID
	missed    int64 // requests refused or dropped for their deadlines
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

// Enqueue queues an item, or refuses it with KindDeadlineUnattainable or KindQueueFull; likely is the run time that
// admission assumes, 0 when unknown. The evicted items, at most one, left the queue in favour of the new one.
func (p *Pool) Enqueue(now time.Time, item jaybarrow.Item, likely time.Duration) (evicted []jaybarrow.Item, err error) {
	p.reserve.arrive(now, item)
	if err := p.attainable(now, item, likely); err != nil {
		p.missed++
		return nil, err
	}
	if n := p.waiting.count(item.Team); p.settings.MaxTeamWaiting > 0 && n >= p.settings.MaxTeamWaiting {
		return nil, jaybarrow.Errorf(jaybarrow.KindQueueFull, "%d requests of team %s are waiting", n, item.Team)
	}
	if p.order.Len() >= p.settings.MaxWaiting {
		victim, ok := p.waiting.mostAbove(item)
		if !ok {
			return nil, jaybarrow.Errorf(jaybarrow.KindQueueFull, "%d requests are waiting", p.order.Len())
		}
		p.Withdraw(victim.ID)
		evicted = append(evicted, victim)
	}
	p.push(now, item)
	return evicted, nil
}

func (p *Pool) push(now time.Time, item jaybarrow.Item) {
	p.order.Push(now, item)
	p.waiting.add(item)
	p.gather.add(item)
}

func (p *Pool) left(item jaybarrow.Item) {
	p.waiting.remove(item)
	p.gather.remove(item.ID)
	delete(p.tried, item.ID)
}

// Requeue queues an item again after an attempt, at its old place and outside the bounds; it avoids the tried hosts while
// another host could take it.
func (p *Pool) Requeue(now time.Time, item jaybarrow.Item, tried []jaybarrow.HostID) {
	p.push(now, item)
	p.tried[item.ID] = slices.Clone(tried)
}

// Next decides the next start, if any.
func (p *Pool) Next(now time.Time, in Inputs) (Start, bool) {
	p.reserved = false
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
	defer s.restore()
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
	p.left(item)
	p.attempts++
	start := Start{Attempt: p.attempts, Item: item, Host: host}
	p.hosts[host].charge(item.Demand, 1)
	r := runningTask{start, now, mayUse(now, item)}
	p.running[start.Attempt] = r
	if r.reserved {
		p.reserve.add(now, item, 1)
	}
	p.order.Started(now, item)
	return start
}

// Finished frees the host's slots after the end of the attempt is known; ran is 0 when it did not run.
func (p *Pool) Finished(now time.Time, attempt jaybarrow.AttemptID, ran time.Duration) {
	r, ok := p.running[attempt]
	if !ok {
		return
	}
	delete(p.running, attempt)
	if r.reserved {
		p.reserve.add(now, r.start.Item, -1)
	}
	p.order.Finished(now, r.start.Item, ran)
	p.gather.finished(r.start, ran)
	p.hosts[r.start.Host].charge(r.start.Item.Demand, -1)
	p.forgetHost(r.start.Host)
}

// Withdraw removes a waiting item; it reports whether the item was waiting.
func (p *Pool) Withdraw(id jaybarrow.RequestID) bool {
	item, ok := p.order.Remove(id)
	if ok {
		p.left(item)
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

// Expiry is a waiting item whose deadline passed, with the reason of its last skip.
type Expiry struct {
	Item       jaybarrow.Item
	SkipReason SkipReason
}

// Expired removes and returns the waiting items whose deadline passed.
func (p *Pool) Expired(now time.Time) []Expiry {
	var expired []Expiry
	for _, item := range p.order.Expired(now) {
		expired = append(expired, Expiry{item, p.waiting.skip(item)})
		p.missed++
		p.left(item)
	}
	return expired
}

// NextWake returns when time alone next changes a decision: a deadline passes, or waiting work can use a host after its
// backoff or slots that are no longer held for quick work. It is false when time alone changes nothing.
func (p *Pool) NextWake(now time.Time) (time.Time, bool) {
	wake, _ := p.order.NextDeadline()
	if p.order.Len() > 0 {
		for _, h := range p.hosts {
			if h.accepting && h.retryAt.After(now) {
				wake = earlier(wake, h.retryAt)
			}
		}
	}
	if p.reserved {
		wake = earlier(wake, p.reserve.until)
	}
	return wake, !wake.IsZero()
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// UsableSlots returns how many slots of the team's waiting work the free slots have room for.
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
	FreeSlots jaybarrow.Slots `json:"freeSlots"` // of own hosts, so that borrowed ones attract no work of other data centres
	// Missed counts the requests that the pool refused or dropped for their deadlines; it is known on this entry host only.
	Missed int64 `json:"-"`
}

// Load returns the current load.
func (p *Pool) Load(now time.Time) Load {
	return Load{Waiting: p.order.Len(), Running: len(p.running), FreeSlots: p.freeSlots(now, false), Missed: p.missed}
}
