package schedule

import (
	"maps"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// The delay before a host that refused a task, or could not be reached, is tried again; it doubles with each refusal in
// a row. The first is short, because a refusal often only means that the worker's count of slots lags by one task.
const (
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
)

// HostView is what a pool needs to know of one of its hosts.
type HostView struct {
	ID        jaybarrow.HostID
	Capacity  jaybarrow.Demand
	Accepting bool // false while it drains, leaves, is down or is ejected
	Borrowed  bool // of a spare pool; used only by work that finds no room on the pool's own hosts
}

type hostState struct {
	capacity  jaybarrow.Demand
	used      jaybarrow.Demand
	running   int
	accepting bool
	borrowed  bool
	backoff   time.Duration
	retryAt   time.Time // no task is placed before
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

func (h *hostState) usable(now time.Time) bool { return h.accepting && !h.retryAt.After(now) }

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
		h.capacity, h.accepting, h.borrowed = v.Capacity, v.Accepting, v.Borrowed
	}
	for id := range p.hosts {
		p.forgetHost(id)
	}
	p.ids = slices.Sorted(maps.Keys(p.hosts))
}

// forgetHost removes a host that accepts nothing and runs nothing.
func (p *Pool) forgetHost(id jaybarrow.HostID) {
	if h := p.hosts[id]; !h.accepting && h.running == 0 {
		delete(p.hosts, id)
		p.ids = slices.DeleteFunc(p.ids, func(other jaybarrow.HostID) bool { return other == id })
	}
}

// HostRefused delays the next try of a host that did not take a task.
func (p *Pool) HostRefused(now time.Time, id jaybarrow.HostID) {
	if h, ok := p.hosts[id]; ok && !h.retryAt.After(now) {
		h.backoff = min(max(2*h.backoff, firstBackoff), maxBackoff)
		h.retryAt = now.Add(h.backoff)
	}
}

// HostAccepted ends the delays of a host that took a task.
func (p *Pool) HostAccepted(id jaybarrow.HostID) {
	if h, ok := p.hosts[id]; ok {
		h.backoff, h.retryAt = 0, time.Time{}
	}
}

// candidates returns the own or the borrowed hosts that have room for the demand now, in the order of their ids. The host
// that is gathering slots is left out.
func (p *Pool) candidates(now time.Time, d jaybarrow.Demand, signals Signals, borrowed bool) []jaybarrow.Candidate {
	var candidates []jaybarrow.Candidate
	for _, id := range p.ids {
		h := p.hosts[id]
		if h.borrowed != borrowed || !h.usable(now) || p.gather.holds(id) || !d.FitsIn(h.free()) {
			continue
		}
		c := jaybarrow.Candidate{Host: id, Free: h.free(), Running: h.running}
		if signals != nil {
			c.Failures, c.Latency = signals(id)
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// HasOtherHost reports whether one of the pool's own accepting hosts, other than the tried ones, has the capacity for the demand.
// Borrowed hosts do not count, since the item may not be allowed on them when it is retried.
func (p *Pool) HasOtherHost(d jaybarrow.Demand, tried []jaybarrow.HostID) bool {
	for id, h := range p.hosts {
		if h.accepting && !h.borrowed && d.FitsIn(h.capacity) && !slices.Contains(tried, id) {
			return true
		}
	}
	return false
}

// freeSlots counts the slots of the own or the borrowed hosts that a task could be placed on now.
func (p *Pool) freeSlots(now time.Time, borrowed bool) jaybarrow.Slots {
	free := jaybarrow.Slots(0)
	for id, h := range p.hosts {
		if h.borrowed == borrowed && h.usable(now) && !p.gather.holds(id) {
			free += max(h.free().Slots, 0)
		}
	}
	return free
}

// totalSlots counts the slots of the own accepting hosts.
func (p *Pool) totalSlots() jaybarrow.Slots {
	total := jaybarrow.Slots(0)
	for _, h := range p.hosts {
		if h.accepting && !h.borrowed {
			total += h.capacity.Slots
		}
	}
	return total
}
