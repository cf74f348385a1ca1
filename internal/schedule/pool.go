package schedule

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Settings bounds a pool's queue.
type Settings struct {
	MaxWaiting int // requests; a further one is refused
}

// Start is the decision to run an item on a host now.
type Start struct {
	Item jaybarrow.Item
	Host jaybarrow.HostID
}

type hostState struct {
	capacity  jaybarrow.Demand
	used      jaybarrow.Demand
	running   int
	accepting bool
}

func (h *hostState) free() jaybarrow.Demand {
	return jaybarrow.Demand{
		Slots:        h.capacity.Slots - h.used.Slots,
		Memory:       h.capacity.Memory - h.used.Memory,
		Accelerators: h.capacity.Accelerators - h.used.Accelerators,
	}
}

func (h *hostState) charge(d jaybarrow.Demand, sign int) {
	h.used.Slots += d.Slots * jaybarrow.Slots(sign)
	h.used.Memory += d.Memory * jaybarrow.Megabytes(sign)
	h.used.Accelerators += d.Accelerators * jaybarrow.Accelerators(sign)
	h.running += sign
}

// HostView is what a pool needs to know of one of its hosts.
type HostView struct {
	ID        jaybarrow.HostID
	Capacity  jaybarrow.Demand
	Accepting bool // false while it drains, leaves, is down or is ejected
}

// Pool is the scheduling state of one pool; its owner serializes all calls.
type Pool struct {
	settings  Settings
	order     jaybarrow.Order
	placement jaybarrow.Placement
	hosts     map[jaybarrow.HostID]*hostState
	running   map[jaybarrow.RequestID]Start
}

// New returns a Pool without hosts.
func New(settings Settings, order jaybarrow.Order, placement jaybarrow.Placement) *Pool {
	return &Pool{
		settings:  settings,
		order:     order,
		placement: placement,
		hosts:     make(map[jaybarrow.HostID]*hostState),
		running:   make(map[jaybarrow.RequestID]Start),
	}
}

// SetHosts replaces the set of hosts; a removed host stays known until its running tasks end.
func (p *Pool) SetHosts(views []HostView) {
	for _, h := range p.hosts {
		h.accepting = false
	}
	for _, v := range views {
		h, ok := p.hosts[v.ID]
		if !ok {
			h = &hostState{}
			p.hosts[v.ID] = h
		}
		h.capacity, h.accepting = v.Capacity, v.Accepting
	}
	for id, h := range p.hosts {
		if !h.accepting && h.running == 0 {
			delete(p.hosts, id)
		}
	}
}

// Arrive queues an item, or refuses it with KindQueueFull.
func (p *Pool) Arrive(now time.Time, item jaybarrow.Item) error {
	if p.order.Len() >= p.settings.MaxWaiting {
		return jaybarrow.Errorf(jaybarrow.KindQueueFull, "%d requests are waiting", p.order.Len())
	}
	p.order.Push(now, item)
	return nil
}

// Next decides the next start, if any; acquire takes the team's permits and is called only when a host is free.
func (p *Pool) Next(now time.Time, acquire func(jaybarrow.TeamID, jaybarrow.Slots) bool) (Start, bool) {
	var candidates []jaybarrow.Candidate
	item, ok := p.order.Next(now, func(it jaybarrow.Item) bool {
		candidates = p.candidates(it.Demand)
		return len(candidates) > 0 && acquire(it.Team, it.Slots)
	})
	if !ok {
		return Start{}, false
	}
	start := Start{Item: item, Host: candidates[p.placement.Choose(candidates)].Host}
	p.hosts[start.Host].charge(item.Demand, 1)
	p.running[item.ID] = start
	p.order.Started(now, item)
	return start, true
}

func (p *Pool) candidates(d jaybarrow.Demand) []jaybarrow.Candidate {
	var candidates []jaybarrow.Candidate
	for id, h := range p.hosts {
		if h.accepting && d.FitsIn(h.free()) {
			candidates = append(candidates, jaybarrow.Candidate{Host: id, Free: h.free(), Running: h.running})
		}
	}
	return candidates
}

// Finished frees the host's slots after the end of the task is known.
func (p *Pool) Finished(now time.Time, id jaybarrow.RequestID, ran time.Duration) {
	start, ok := p.running[id]
	if !ok {
		return
	}
	delete(p.running, id)
	p.order.Finished(now, start.Item, ran)
	h := p.hosts[start.Host]
	h.charge(start.Item.Demand, -1)
	if !h.accepting && h.running == 0 {
		delete(p.hosts, start.Host)
	}
}

// Withdraw removes a waiting item; it reports whether the item was waiting.
func (p *Pool) Withdraw(id jaybarrow.RequestID) bool {
	_, ok := p.order.Remove(id)
	return ok
}

// Expired removes and returns the waiting items whose deadline passed.
func (p *Pool) Expired(now time.Time) []jaybarrow.Item { return p.order.Expired(now) }

// NextDeadline returns the earliest deadline of a waiting item; false when none has one.
func (p *Pool) NextDeadline() (time.Time, bool) { return p.order.NextDeadline() }

// Load is a pool's load in one data centre.
type Load struct {
	Waiting   int             `json:"waiting"`
	Running   int             `json:"running"`
	FreeSlots jaybarrow.Slots `json:"freeSlots"`
}

// Load returns the current load.
func (p *Pool) Load() Load {
	load := Load{Waiting: p.order.Len(), Running: len(p.running)}
	for _, h := range p.hosts {
		if h.accepting {
			load.FreeSlots += h.free().Slots
		}
	}
	return load
}
