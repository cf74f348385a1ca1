package permit

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/allotment"
	"github.com/jaybarrow/jaybarrow/internal/directory"
)

// loop makes the team's decisions and writes until the Keeper is closed. It waits without a timer when nothing is due.
func (k *Keeper) loop(h *holding) {
	for {
		var timer <-chan time.Time
		if wait := k.step(h); wait >= 0 {
			timer = k.deps.Clock.After(wait)
		}
		select {
		case <-k.ctx.Done():
			return
		case <-h.wake:
		case <-timer:
		}
	}
}

// step does what is due for the team and returns how long until the next step; negative when only an event can cause one.
func (k *Keeper) step(h *holding) time.Duration {
	plan := k.plan(h)
	switch {
	case plan.read:
		k.readBack(h)
		return 0
	case plan.write:
		k.write(h, plan)
		return 0
	}
	if k.leaving.Load() {
		notify(k.progress)
	}
	return plan.wait
}

// plan is what a step does: at most one call to the store.
type plan struct {
	read     bool
	write    bool
	next     jaybarrow.Allotment
	previous jaybarrow.Revision
	before   pendingWrites // to restore when the write certainly had no effect
	wait     time.Duration
}

// plan observes the newest record, decides, and prepares the due call. The usable permits are lowered here, under the same
// lock as the decision and before the write is sent.
func (k *Keeper) plan(h *holding) plan {
	now := k.deps.Clock.Now()
	view := k.fleet.Load()
	h.Lock()
	defer h.Unlock()
	h.incarnation, h.fenced = view.incarnation, view.fenced
	h.observe(now, k.deps.Directory.Allotments.Latest(h.id))
	h.idle.advance(now, h.limits.IdleWindow, h.used)
	probe := h.demand.probe(now, h.limits.ProbeInterval)
	ended, wait := k.ended(h.record)
	settled := !now.Before(view.settledAt)
	decision := allotment.Decide(h.record, h.self(now, settled), view.fleet(ended))
	h.ceiling = decision.Ceiling
	if h.usableRose() || probe {
		h.demand.takeRefused()
		k.announce()
	}
	h.demand.settle(now, h.usable(), h.used)
	if left := k.foundingDelay(h, now, view, decision); left > 0 {
		decision.Write = false
		wait = earlier(wait, left)
	}
	return k.due(h, now, decision, earlier(wait, h.nextCheck(now, decision, view)))
}

// foundingDelay returns how long the first floors of a team without demand are left to others: until the entry hosts that start
// together know each other, and then a turn for each entry host, so that one write serves them all and few writes collide.
func (k *Keeper) foundingDelay(h *holding, now time.Time, view *fleetView, decision allotment.Decision) time.Duration {
	if len(h.record.Grants) > 0 || decision.Urgency != allotment.UrgencyIdle {
		return 0
	}
	turn := 1 + allotment.Rank(h.id, view.live, h.entry)
	return view.changedAt.Add(time.Duration(turn) * h.limits.InitialGrantInterval).Sub(now)
}

// due turns the decision into a plan, unless the pace of writes delays it.
func (k *Keeper) due(h *holding, now time.Time, decision allotment.Decision, wait time.Duration) plan {
	// A pending write that was not found by the read-back may still arrive; another write from the same revision settles it.
	write := decision.Write || h.pending.open
	if h.fenced || h.incarnation == 0 || h.revision == 0 || h.deleted || !write {
		k.turns.drop(h)
		return plan{wait: wait}
	}
	if left := h.retry.next.Sub(now); left > 0 {
		k.turns.drop(h)
		return plan{wait: earlier(wait, left)}
	}
	if h.pending.read {
		k.turns.drop(h)
		return plan{read: true}
	}
	if !k.turns.take(now, h, decision.Urgency) {
		return plan{wait: wait}
	}
	p := plan{write: true, next: decision.Next, previous: h.revision, before: h.pending}
	p.next.Change = k.deps.NewChange()
	h.pending = h.pending.with(p.next.Grants[h.entry].Slots, p.next.Change)
	return p
}

// nextCheck returns when time alone may change the decision; negative: never.
func (h *holding) nextCheck(now time.Time, decision allotment.Decision, view *fleetView) time.Duration {
	wait := time.Duration(-1)
	if decision.AboveFloor {
		wait = earlier(wait, max(0, h.limits.IdleWindow-now.Sub(h.idle.begun)))
	}
	if h.demand.lacking {
		wait = earlier(wait, h.demand.nextProbe(now, h.limits.ProbeInterval))
	}
	if turn := h.limits.MinHold - now.Sub(h.gained); decision.Contended && turn > 0 {
		wait = earlier(wait, turn)
	}
	if settle := view.settledAt.Sub(now); settle > 0 && h.quarantined() > 0 {
		wait = earlier(wait, settle)
	}
	return wait
}

// write sends the planned record.
func (k *Keeper) write(h *holding, p plan) {
	value, err := json.Marshal(p.next)
	if err != nil {
		k.deps.Log.Error().Err(err).Str("team", string(h.id)).Msg("cannot encode the allotment")
		return
	}
	ctx, cancel := context.WithTimeout(k.ctx, h.limits.CallTimeout)
	defer cancel()
	revision, err := k.deps.Store.CompareAndSwap(ctx, jaybarrow.AllotmentKey(h.id), p.previous, value, 0)
	now := k.deps.Clock.Now()
	h.Lock()
	defer h.Unlock()
	switch {
	case err == nil:
		h.observe(now, directory.Versioned[jaybarrow.Allotment]{Value: p.next, Revision: revision})
		h.retry.done(now, h.limits.MinWriteInterval)
		return
	case jaybarrow.IsKind(err, jaybarrow.KindStoreUnavailable) && jaybarrow.AsError(err).Effect == jaybarrow.EffectNotRun:
		h.pending = p.before
	default:
		// A conflict too is read back: an earlier write of unknown outcome may be its cause.
		h.pending.read = true
	}
	h.retry.failed(now, h.limits.FirstBackoff, h.limits.MaxBackoff)
	k.deps.Log.Debug().Err(err).Str("team", string(h.id)).Msg("allotment not written; trying again")
}

// readBack reads the record after a write of unknown outcome. The change id tells whether the record is that write. Any newer
// record settles the write too, because a write from an older revision can no longer take effect; an unchanged record does
// not, because the write may still arrive.
func (k *Keeper) readBack(h *holding) {
	ctx, cancel := context.WithTimeout(k.ctx, h.limits.CallTimeout)
	defer cancel()
	record, err := k.deps.Store.Get(ctx, jaybarrow.AllotmentKey(h.id))
	var read directory.Versioned[jaybarrow.Allotment]
	if err == nil {
		read.Revision = record.Revision
		err = json.Unmarshal(record.Value, &read.Value)
	}
	now := k.deps.Clock.Now()
	h.Lock()
	defer h.Unlock()
	switch {
	case err == nil:
		if read.Value.Change == h.pending.change {
			h.retry.done(now, h.limits.MinWriteInterval)
		}
		h.pending.read = false
		h.observe(now, read)
	case jaybarrow.IsKind(err, jaybarrow.KindNotFound):
		// The record was deleted; a write from its last revision can no longer take effect.
		h.record, h.deleted, h.pending = jaybarrow.Allotment{}, true, pendingWrites{}
	default:
		h.retry.failed(now, h.limits.FirstBackoff, h.limits.MaxBackoff)
		k.deps.Log.Debug().Err(err).Str("team", string(h.id)).Msg("allotment not read back; trying again")
	}
}
