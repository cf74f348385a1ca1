package drain

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Host is what the decisions need to know of a host of the pool.
type Host struct {
	ID         jaybarrow.HostID
	Rack       jaybarrow.RackID
	DataCentre jaybarrow.DataCentreID
	Down       bool // the platform's list says that it is down, leaving or gone
}

// View is a pool with its hosts.
type View struct {
	Pool  jaybarrow.Pool
	Hosts []Host
}

func (v View) host(id jaybarrow.HostID) (Host, bool) {
	i := slices.IndexFunc(v.Hosts, func(h Host) bool { return h.ID == id })
	if i < 0 {
		return Host{}, false
	}
	return v.Hosts[i], true
}

// Unavailable counts the hosts, other than except, that are draining or down. A drain counts even when the view does not show
// its host, since the view may be older than the record.
func Unavailable(record jaybarrow.PoolDrains, view View, except jaybarrow.HostID) int {
	count := len(record.Drains)
	if _, ok := record.Drains[except]; ok {
		count--
	}
	for _, h := range view.Hosts {
		if _, draining := record.Drains[h.ID]; h.Down && !draining && h.ID != except {
			count++
		}
	}
	return count
}

// Begin adds a drain if the pool's availability budget allows one more unavailable host, or returns KindBudgetSpent. A host
// that is down already costs nothing more.
func Begin(record jaybarrow.PoolDrains, view View, d jaybarrow.Drain, now time.Time) (jaybarrow.PoolDrains, error) {
	h, ok := view.host(d.Host)
	if !ok {
		return record, jaybarrow.Errorf(jaybarrow.KindNotFound, "host %s is not in pool %s", d.Host, view.Pool.ID)
	}
	if old, ok := record.Drains[d.Host]; ok {
		return record, jaybarrow.Errorf(jaybarrow.KindConflict, "host %s is already %s for %s", d.Host, old.Phase, old.Purpose)
	}
	if used := Unavailable(record, view, d.Host); used+1 > view.Pool.MaxUnavailable {
		return record, jaybarrow.Errorf(jaybarrow.KindBudgetSpent, "%d hosts of pool %s are draining or down and its budget is %d",
			used, view.Pool.ID, view.Pool.MaxUnavailable)
	}
	next := clone(record, view.Pool.ID)
	d.Rack, d.Phase, d.StartedMs, d.PhaseMs = h.Rack, jaybarrow.PhaseDraining, now.UnixMilli(), now.UnixMilli()
	next.Drains[d.Host] = d
	next.Pending = slices.DeleteFunc(next.Pending, func(id jaybarrow.HostID) bool {
		return id == d.Host && d.Purpose == jaybarrow.PurposeReboot
	})
	return next.PoolDrains, nil
}

// current returns KindConflict when the record does not hold the drain in the phase in which it was seen: a driver with an
// older copy of the record must not act on a later drain of the same host.
func current(record jaybarrow.PoolDrains, seen jaybarrow.Drain) error {
	if d, ok := record.Drains[seen.Host]; !ok || d.ID != seen.ID || d.Phase != seen.Phase {
		return jaybarrow.Errorf(jaybarrow.KindConflict, "the drain of host %s is not %s any more", seen.Host, seen.Phase)
	}
	return nil
}

// Advance moves a drain to the next phase; it returns KindConflict when the drain has changed since it was seen.
func Advance(record jaybarrow.PoolDrains, seen jaybarrow.Drain, to jaybarrow.DrainPhase, now time.Time) (jaybarrow.PoolDrains, error) {
	if err := current(record, seen); err != nil {
		return record, err
	}
	next := clone(record, record.Pool)
	d := record.Drains[seen.Host]
	d.Phase, d.PhaseMs = to, now.UnixMilli()
	next.Drains[seen.Host] = d
	if d.Purpose == jaybarrow.PurposeMove && seen.Phase == jaybarrow.PhaseDrained && to == jaybarrow.PhaseReturning {
		next.Moves++
	}
	return next.PoolDrains, nil
}

// Cancel returns a host to service before its purpose was met; a host that reboots must finish first.
func Cancel(record jaybarrow.PoolDrains, host jaybarrow.HostID, now time.Time) (jaybarrow.PoolDrains, error) {
	d, ok := record.Drains[host]
	switch {
	case !ok:
		return record, jaybarrow.Errorf(jaybarrow.KindNotFound, "host %s is not draining", host)
	case d.Phase == jaybarrow.PhaseRebooting:
		return record, jaybarrow.Errorf(jaybarrow.KindConflict, "host %s is rebooting and returns by itself", host)
	}
	next := clone(record, record.Pool)
	d.Phase, d.PhaseMs, d.Purpose, d.MoveTo = jaybarrow.PhaseReturning, now.UnixMilli(), jaybarrow.PurposeHold, ""
	next.Drains[host] = d
	return next.PoolDrains, nil
}

// Remove ends a drain whose worker accepts work again, and the wave when this was its last host; it returns KindConflict when
// the drain has changed since it was seen.
func Remove(record jaybarrow.PoolDrains, seen jaybarrow.Drain, now time.Time) (jaybarrow.PoolDrains, error) {
	if err := current(record, seen); err != nil {
		return record, err
	}
	next := clone(record, record.Pool)
	delete(next.Drains, seen.Host)
	if seen.Wave {
		next.endWave(now)
	}
	return next.PoolDrains, nil
}

// BeginWave plans a reboot of every host of the pool, or returns KindConflict while a wave runs.
func BeginWave(record jaybarrow.PoolDrains, view View, now time.Time) (jaybarrow.PoolDrains, error) {
	if waveRuns(record) {
		return record, jaybarrow.Errorf(jaybarrow.KindConflict, "a wave over pool %s is running", view.Pool.ID)
	}
	next := clone(record, view.Pool.ID)
	for _, h := range inRackOrder(view.Hosts) {
		next.Pending = append(next.Pending, h.ID)
	}
	next.WaveStartedMs, next.WaveEndedMs = now.UnixMilli(), 0
	next.endWave(now)
	return next.PoolDrains, nil
}

// PruneWave drops hosts from the wave that are not in the pool any more.
func PruneWave(record jaybarrow.PoolDrains, view View, now time.Time) (next jaybarrow.PoolDrains, changed bool) {
	c := clone(record, view.Pool.ID)
	c.Pending = slices.DeleteFunc(c.Pending, func(id jaybarrow.HostID) bool {
		_, ok := view.host(id)
		return !ok
	})
	c.endWave(now)
	return c.PoolDrains, len(c.Pending) != len(record.Pending)
}

// NextOfWave returns the next host of the wave in the data centre that may begin to drain now. One rack of the pool is taken
// at a time, so that a rack that fails during the wave takes few other hosts with it; a rack that already has hosts
// unavailable goes first.
func NextOfWave(record jaybarrow.PoolDrains, view View, dataCentre jaybarrow.DataCentreID) (jaybarrow.HostID, bool) {
	if Unavailable(record, view, "")+1 > view.Pool.MaxUnavailable {
		return "", false
	}
	inProgress, damaged := make(map[jaybarrow.RackID]bool), make(map[jaybarrow.RackID]bool)
	for _, h := range view.Hosts {
		inProgress[h.Rack] = inProgress[h.Rack] || record.Drains[h.ID].Wave
		damaged[h.Rack] = damaged[h.Rack] || h.Down
	}
	var eligible []Host
	for _, h := range inRackOrder(view.Hosts) {
		if h.DataCentre == dataCentre && !h.Down && slices.Contains(record.Pending, h.ID) {
			eligible = append(eligible, h)
		}
	}
	if holds(inProgress) {
		return firstIn(eligible, inProgress)
	}
	if id, ok := firstIn(eligible, damaged); ok {
		return id, true
	}
	if len(eligible) == 0 {
		return "", false
	}
	return eligible[0].ID, true
}

func holds(racks map[jaybarrow.RackID]bool) bool {
	for _, in := range racks {
		if in {
			return true
		}
	}
	return false
}

func firstIn(hosts []Host, racks map[jaybarrow.RackID]bool) (jaybarrow.HostID, bool) {
	i := slices.IndexFunc(hosts, func(h Host) bool { return racks[h.Rack] })
	if i < 0 {
		return "", false
	}
	return hosts[i].ID, true
}

func inRackOrder(hosts []Host) []Host {
	ordered := slices.Clone(hosts)
	slices.SortFunc(ordered, func(a, b Host) int {
		if c := strings.Compare(string(a.Rack), string(b.Rack)); c != 0 {
			return c
		}
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return ordered
}

func waveRuns(record jaybarrow.PoolDrains) bool {
	return record.WaveStartedMs != 0 && record.WaveEndedMs == 0
}

// copied is a record that may be changed.
type copied struct{ jaybarrow.PoolDrains }

func clone(record jaybarrow.PoolDrains, pool jaybarrow.PoolID) copied {
	record.Pool = pool
	record.Drains = maps.Clone(record.Drains)
	if record.Drains == nil {
		record.Drains = make(map[jaybarrow.HostID]jaybarrow.Drain)
	}
	record.Pending = slices.Clone(record.Pending)
	return copied{record}
}

// endWave notes the end of a wave that has no host left.
func (c *copied) endWave(now time.Time) {
	if !waveRuns(c.PoolDrains) || len(c.Pending) > 0 {
		return
	}
	for _, d := range c.Drains {
		if d.Wave {
			return
		}
	}
	c.WaveEndedMs = now.UnixMilli()
}
