package schedule

import (
	"maps"
	"slices"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Bounds of the backoff of a host that refused a task or was unreachable; the backoff doubles with each consecutive refusal.
// The first one is short, because a refusal often only means that the worker's slot count lags by one task.
const (
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 5 * time.Second
)

// HostView describes one host of a pool.
type HostView struct {
	ID        jaybarrow.HostID
	Capacity  jaybarrow.Demand
	Accepting bool // false while the host drains, leaves, is down or is ejected
	Borrowed  bool // lent by a spare pool; used only by work that finds no room on the pool's own hosts
}

type hostState struct {
	capacity  jaybarrow.Demand
	used      jaybarrow.Demand
	running   int
	accepting bool
	borrowed  bool
	backoff   time.Duration
	retryAt   time.Time // no task is placed on the host before this time
}

func (h *hostState) free() jaybarrow.Demand {
	return jaybarrow.Demand{
		Slots:        h.capacity.Slots - h.used.Slots,
		Memory:       h.capacity.Memory - h.used.Memory,
		Accelerators: h.capacity.Accelerators - h.used.Accelerators,
	}
}

// adjustUsage adds the demand of a started task, or with the sign -1 subtracts that of a finished one.
func (h *hostState) adjustUsage(d jaybarrow.Demand, sign int) {
	h.used.Slots += d.Slots * jaybarrow.Slots(sign)
	h.used.Memory += d.Memory * jaybarrow.Megabytes(sign)
	h.used.Accelerators += d.Accelerators * jaybarrow.Accelerators(sign)
	h.running += sign
}

func (h *hostState) usable(now time.Time) bool { return h.accepting && !h.retryAt.After(now) }

// SetHosts replaces the set of hosts. A removed host is kept without new tasks until its running tasks end.
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
		p.removeUnusedHost(id)
	}
	p.hostIDs = slices.Sorted(maps.Keys(p.hosts))
}

// removeUnusedHost removes the host if it accepts no tasks and runs none.
func (p *Pool) removeUnusedHost(id jaybarrow.HostID) {
	if h := p.hosts[id]; !h.accepting && h.running == 0 {
		delete(p.hosts, id)
		p.hostIDs = slices.DeleteFunc(p.hostIDs, func(other jaybarrow.HostID) bool { return other == id })
	}
}

// HostRefused starts the backoff of a host that did not accept a task. Refusals during a backoff do not lengthen it.
func (p *Pool) HostRefused(now time.Time, id jaybarrow.HostID) {
	if h, ok := p.hosts[id]; ok && !h.retryAt.After(now) {
		h.backoff = min(max(2*h.backoff, firstBackoff), maxBackoff)
		h.retryAt = now.Add(h.backoff)
	}
}

// HostAccepted resets the backoff of a host that accepted a task.
func (p *Pool) HostAccepted(id jaybarrow.HostID) {
	if h, ok := p.hosts[id]; ok {
		h.backoff, h.retryAt = 0, time.Time{}
	}
}

// candidates returns the pool's own or its borrowed hosts that have room for the demand now, sorted by id. The host that is
// gathering slots is left out.
func (p *Pool) candidates(now time.Time, d jaybarrow.Demand, signals Signals, borrowed bool) []jaybarrow.Candidate {
	var candidates []jaybarrow.Candidate
	for _, id := range p.hostIDs {
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

// freeSlots returns the number of free slots on the pool's own or its borrowed hosts that a task could be placed on now.
func (p *Pool) freeSlots(now time.Time, borrowed bool) jaybarrow.Slots {
	free := jaybarrow.Slots(0)
	for id, h := range p.hosts {
		if h.borrowed == borrowed && h.usable(now) && !p.gather.holds(id) {
			free += max(h.free().Slots, 0)
		}
	}
	return free
}

// totalSlots returns the number of slots of the pool's own accepting hosts.
func (p *Pool) totalSlots() jaybarrow.Slots {
	total := jaybarrow.Slots(0)
	for _, h := range p.hosts {
		if h.accepting && !h.borrowed {
			total += h.capacity.Slots
		}
	}
	return total
}
