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

// Timing is how the platform's list behaves.
type Timing struct {
	Lag    time.Duration // from a host's condition to its appearance in the list
	Reboot time.Duration // from a reboot request until the host is live again
}

// Hosts is the platform's lagging list of hosts.
type Hosts struct {
	clock jaybarrow.Clock

	lock    sync.Mutex
	timing  Timing
	changes map[string][]conditionChange // in order of time; may lie in the future
	reboots []Reboot
}

type conditionChange struct {
	at        time.Time
	condition jaybarrow.HostCondition
}

// NewHosts returns an empty list.
func NewHosts(clock jaybarrow.Clock, timing Timing) *Hosts {
	return &Hosts{clock: clock, timing: timing, changes: make(map[string][]conditionChange)}
}

// SetTiming changes the timing, also for conditions that are not visible yet.
func (h *Hosts) SetTiming(timing Timing) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.timing = timing
}

// SetCondition sets a host's condition now; it becomes visible after the lag and replaces a pending end of a reboot.
func (h *Hosts) SetCondition(name string, condition jaybarrow.HostCondition) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.set(name, condition)
}

func (h *Hosts) set(name string, condition jaybarrow.HostCondition) {
	now := h.clock.Now()
	past := h.changes[name]
	for len(past) > 0 && past[len(past)-1].at.After(now) {
		past = past[:len(past)-1]
	}
	h.changes[name] = append(past, conditionChange{now, condition})
}

// Reboot marks the host as down, and as live after the reboot time; it reports false for a host that is gone.
func (h *Hosts) Reboot(host jaybarrow.HostID) bool {
	h.lock.Lock()
	defer h.lock.Unlock()
	now, name := h.clock.Now(), string(host)
	if condition, ok := h.condition(name, now); ok && condition == jaybarrow.HostGone {
		return false
	}
	h.reboots = append(h.reboots, Reboot{host, now.UnixNano()})
	h.set(name, jaybarrow.HostDown)
	h.changes[name] = append(h.changes[name], conditionChange{now.Add(h.timing.Reboot), jaybarrow.HostLive})
	return true
}

// Reboots returns the accepted reboot requests.
func (h *Hosts) Reboots() []Reboot {
	h.lock.Lock()
	defer h.lock.Unlock()
	return append([]Reboot{}, h.reboots...)
}

// List returns the conditions that are visible now, in order of name.
func (h *Hosts) List() []jaybarrow.HostNotice {
	h.lock.Lock()
	defer h.lock.Unlock()
	seen := h.clock.Now().Add(-h.timing.Lag)
	list := []jaybarrow.HostNotice{}
	for name := range h.changes {
		if condition, ok := h.condition(name, seen); ok {
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
