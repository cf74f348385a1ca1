package store

import (
	"sort"
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Reboot is an accepted request to reboot a host.
type Reboot struct {
	Host   jaybarrow.HostID `json:"host"`
	TimeNs int64            `json:"timeNs"` // wall clock
}

// Timing holds the delays of the host list.
type Timing struct {
	Lag    time.Duration // from a change of condition until the list shows it
	Reboot time.Duration // from a reboot request until the host is live again
}

// Hosts is the host list of the platform, which shows a change of condition only after a lag.
type Hosts struct {
	clock jaybarrow.Clock

	lock    sync.Mutex
	timing  Timing
	changes map[string][]conditionChange // by host and ascending time; the end of a reboot lies in the future
	reboots []Reboot
}

type conditionChange struct {
	at        time.Time
	condition jaybarrow.HostCondition
}

// NewHosts returns an empty host list.
func NewHosts(clock jaybarrow.Clock, timing Timing) *Hosts {
	return &Hosts{clock: clock, timing: timing, changes: make(map[string][]conditionChange)}
}

// SetTiming changes the timing. A new lag also applies to changes of condition that the list does not show yet.
func (h *Hosts) SetTiming(timing Timing) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.timing = timing
}

// SetCondition sets the condition of a host, which the list shows after the lag. It cancels the end of a running reboot.
func (h *Hosts) SetCondition(name string, condition jaybarrow.HostCondition) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.setCondition(name, condition)
}

func (h *Hosts) setCondition(name string, condition jaybarrow.HostCondition) {
	now := h.clock.Now()
	kept := h.changes[name]
	for len(kept) > 0 && kept[len(kept)-1].at.After(now) {
		kept = kept[:len(kept)-1]
	}
	h.changes[name] = append(kept, conditionChange{now, condition})
}

// Reboot marks the host as down, and as live after the reboot time. It reports false for a host that is gone.
func (h *Hosts) Reboot(host jaybarrow.HostID) bool {
	h.lock.Lock()
	defer h.lock.Unlock()
	now, name := h.clock.Now(), string(host)
	if condition, ok := h.condition(name, now); ok && condition == jaybarrow.HostGone {
		return false
	}
	h.reboots = append(h.reboots, Reboot{host, now.UnixNano()})
	h.setCondition(name, jaybarrow.HostDown)
	h.changes[name] = append(h.changes[name], conditionChange{now.Add(h.timing.Reboot), jaybarrow.HostLive})
	return true
}

// Reboots returns the accepted reboot requests, oldest first.
func (h *Hosts) Reboots() []Reboot {
	h.lock.Lock()
	defer h.lock.Unlock()
	return append([]Reboot{}, h.reboots...)
}

// List returns the conditions that the lagging list shows now, sorted by host.
func (h *Hosts) List() []jaybarrow.HostNotice {
	h.lock.Lock()
	defer h.lock.Unlock()
	shownUntil := h.clock.Now().Add(-h.timing.Lag)
	list := []jaybarrow.HostNotice{}
	for name := range h.changes {
		if condition, ok := h.condition(name, shownUntil); ok {
			list = append(list, jaybarrow.HostNotice{Host: name, Condition: condition})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Host < list[j].Host })
	return list
}

func (h *Hosts) condition(name string, at time.Time) (jaybarrow.HostCondition, bool) {
	changes := h.changes[name]
	for i := len(changes) - 1; i >= 0; i-- {
		if !changes[i].at.After(at) {
			return changes[i].condition, true
		}
	}
	return "", false
}
