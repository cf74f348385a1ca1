package permit

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/allotment"
	"github.com/jaybarrow/jaybarrow/internal/directory"
)

// runLoop makes the team's decisions and writes until the Keeper is closed. It sets no timer when nothing is due.
func (k *Keeper) runLoop(h *holding) {
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

// step makes at most one call to the store and returns how long until the next step, which is negative when only an event can
// cause one.
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
		notify(k.emptied)
	}
	return plan.wait
}

// plan is the outcome of a step's decision: at most one call to the store.
type plan struct {
	read          bool
	write         bool
	next          jaybarrow.Allotment
	previous      jaybarrow.Revision
	pendingBefore pendingWrites // restored when the write certainly had no effect
	wait          time.Duration
}

// plan applies the newest record, decides, and prepares the call that is due. It lowers the usable permits under the same lock
// as the decision, before the write is sent.
func (k *Keeper) plan(h *holding) plan {
	now := k.deps.Clock.Now()
	view := k.fleet.Load()
	h.Lock()
	defer h.Unlock()
	h.incarnation, h.fenced = view.incarnation, view.fenced
	h.applyRecord(now, k.deps.Directory.Allotments.Latest(h.id))
	h.usage.rotate(now, h.settings.IdleWindow, h.used)
	probe := h.demand.probe(now, h.settings.ProbeInterval)
	ended, wait := k.endedHolders(h.record)
	olderTasksEnded := !now.Before(view.olderTasksEndAt)
	decision := allotment.Decide(h.record, h.decisionState(now, olderTasksEnded), view.decisionFleet(ended))
	h.ceiling = decision.Ceiling
	if h.updateLastUsable() || probe {
		h.demand.takeRefused()
		k.signalAvailable()
	}
	h.demand.endIfMet(now, h.usable(), h.used)
	if left := k.initialGrantDelay(h, now, view, decision); left > 0 {
		decision.Write = false
		wait = shorterWait(wait, left)
	}
	return k.planWrite(h, now, decision, shorterWait(wait, h.nextTimedStep(now, decision, view)))
}

// initialGrantDelay returns how long this host still waits before it writes the first floors of a team without demand. The wait
// restarts when the set of live entry hosts changes, so that hosts that start together know each other. It is one interval longer
// for each rank, so that one write serves all hosts and few writes collide.
func (k *Keeper) initialGrantDelay(h *holding, now time.Time, view *fleetView, decision allotment.Decision) time.Duration {
	if len(h.record.Grants) > 0 || decision.Urgency != allotment.UrgencyIdle {
		return 0
	}
	intervals := 1 + allotment.Rank(h.id, view.live, h.entry)
	return view.changedAt.Add(time.Duration(intervals) * h.settings.InitialGrantInterval).Sub(now)
}

// planWrite turns the decision into a plan, unless the team's pacing or the write budget delays it.
func (k *Keeper) planWrite(h *holding, now time.Time, decision allotment.Decision, wait time.Duration) plan {
	// A pending write that the read-back did not find may still take effect. Another write against the same revision
	// rules that out.
	write := decision.Write || h.pending.outstanding
	if h.fenced || h.incarnation == 0 || h.revision == 0 || h.deleted || !write {
		k.writes.remove(h)
		return plan{wait: wait}
	}
	if left := h.pacer.notBefore.Sub(now); left > 0 {
		k.writes.remove(h)
		return plan{wait: shorterWait(wait, left)}
	}
	if h.pending.needsReadBack {
		k.writes.remove(h)
		return plan{read: true}
	}
	if !k.writes.take(now, h, decision.Urgency) {
		return plan{wait: wait}
	}
	p := plan{write: true, next: decision.Next, previous: h.revision, pendingBefore: h.pending}
	p.next.Change = k.deps.NewChange()
	h.pending = h.pending.with(p.next.Grants[h.entry].Slots, p.next.Change)
	return p
}

// nextTimedStep returns how long until time alone may change the decision; negative when it cannot.
func (h *holding) nextTimedStep(now time.Time, decision allotment.Decision, view *fleetView) time.Duration {
	wait := time.Duration(-1)
	if decision.AboveFloor {
		wait = shorterWait(wait, max(0, h.settings.IdleWindow-now.Sub(h.usage.startedAt)))
	}
	if h.demand.unmet {
		wait = shorterWait(wait, h.demand.untilProbe(now, h.settings.ProbeInterval))
	}
	if holdLeft := h.settings.MinHold - now.Sub(h.gainedAt); decision.Contended && holdLeft > 0 {
		wait = shorterWait(wait, holdLeft)
	}
	if quarantineLeft := view.olderTasksEndAt.Sub(now); quarantineLeft > 0 && h.quarantined() > 0 {
		wait = shorterWait(wait, quarantineLeft)
	}
	return wait
}

// write sends the planned record and applies it, or keeps the write as pending when its outcome is unknown.
func (k *Keeper) write(h *holding, p plan) {
	value, err := json.Marshal(p.next)
	if err != nil {
		k.deps.Log.Error().Err(err).Str("team", string(h.id)).Msg("cannot encode the allotment; it is not written")
		return
	}
	ctx, cancel := context.WithTimeout(k.ctx, h.settings.CallTimeout)
	defer cancel()
	revision, err := k.deps.Store.CompareAndSwap(ctx, jaybarrow.AllotmentKey(h.id), p.previous, value, 0)
	now := k.deps.Clock.Now()
	h.Lock()
	defer h.Unlock()
	switch {
	case err == nil:
		h.applyRecord(now, directory.Versioned[jaybarrow.Allotment]{Value: p.next, Revision: revision})
		h.pacer.recordSuccess(now, h.settings.MinWriteInterval)
		return
	case jaybarrow.IsKind(err, jaybarrow.KindStoreUnavailable) && jaybarrow.AsError(err).Effect == jaybarrow.EffectNotRun:
		h.pending = p.pendingBefore
	default:
		// A conflict is read back as well, because an earlier write of unknown outcome may be its cause.
		h.pending.needsReadBack = true
	}
	h.pacer.recordFailure(now, h.settings.FirstBackoff, h.settings.MaxBackoff)
	k.deps.Log.Debug().Err(err).Str("team", string(h.id)).Msg("cannot write the allotment; retrying after a backoff")
}

// readBack reads the record after a write of unknown outcome; the change id shows whether the record is that write. After any
// newer record the write can no longer take effect, because its revision is outdated. After an unchanged record it still can.
func (k *Keeper) readBack(h *holding) {
	ctx, cancel := context.WithTimeout(k.ctx, h.settings.CallTimeout)
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
		if read.Value.Change == h.pending.lastChange {
			h.pacer.recordSuccess(now, h.settings.MinWriteInterval)
		}
		h.pending.needsReadBack = false
		h.applyRecord(now, read)
	case jaybarrow.IsKind(err, jaybarrow.KindNotFound):
		// The record was deleted, so a write against its last revision can no longer take effect.
		h.record, h.deleted, h.pending = jaybarrow.Allotment{}, true, pendingWrites{}
	default:
		h.pacer.recordFailure(now, h.settings.FirstBackoff, h.settings.MaxBackoff)
		k.deps.Log.Debug().Err(err).Str("team", string(h.id)).Msg("cannot read back the allotment; retrying after a backoff")
	}
}
