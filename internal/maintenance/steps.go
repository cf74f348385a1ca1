package maintenance

import (
	"context"
	"fmt"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/drain"
)

// observedDrain is a drain as stepAll read it from the local copy.
type observedDrain struct {
	pool  jaybarrow.PoolID
	host  jaybarrow.Host
	drain jaybarrow.Drain
	fence jaybarrow.Revision // revision of the pool's drains, the fencing token of the commands to the worker
}

// stepDrain advances one drain by at most one phase; a step that fails is retried in the next round.
func (m *Manager) stepDrain(o observedDrain) {
	ctx, cancel := context.WithTimeout(m.ctx, m.deps.Settings.CallTimeout)
	defer cancel()
	err := m.advanceDrain(ctx, o)
	if err != nil && !jaybarrow.IsKind(err, jaybarrow.KindConflict) {
		m.deps.Log.Warn().Err(err).Str("host", string(o.drain.Host)).Str("phase", string(o.drain.Phase)).Msg("cannot advance the drain; retrying in the next round")
	}
}

// advanceDrain does the work of the drain's phase, or removes the drain of a host that is gone or has no record.
func (m *Manager) advanceDrain(ctx context.Context, o observedDrain) error {
	if o.host.ID == "" {
		// The local copy of the host records may be older than the drain, so the store decides whether the host has a record.
		_, err := readRecord(ctx, m.deps.Store, jaybarrow.HostKey(o.drain.Host), &o.host)
		if jaybarrow.IsKind(err, jaybarrow.KindNotFound) {
			return m.removeDrain(ctx, o, "the host has no record")
		}
		if err != nil || o.host.DataCentre != m.deps.DataCentre {
			return err
		}
	}
	if m.deps.Conditions.Condition(string(o.drain.Host)) == jaybarrow.HostGone {
		return m.removeDrain(ctx, o, "the host is gone")
	}
	switch o.drain.Phase {
	case jaybarrow.PhaseDraining:
		return m.drainWorker(ctx, o)
	case jaybarrow.PhaseDrained:
		return m.executePurpose(ctx, o)
	case jaybarrow.PhaseRebooting:
		return m.awaitReboot(ctx, o)
	default:
		if err := m.deps.Workers.SetDraining(ctx, o.host, false, o.fence); err != nil {
			return err
		}
		return m.removeDrain(ctx, o, "the worker accepts work again")
	}
}

// drainWorker makes the worker refuse new tasks and advances the drain once none runs. After CheckpointAfter it asks the running
// tasks for checkpoints; it never stops a task.
func (m *Manager) drainWorker(ctx context.Context, o observedDrain) error {
	status, err := m.refuseTasks(ctx, o)
	if err != nil {
		return err
	}
	if status.Empty() {
		return m.setPhase(ctx, o, jaybarrow.PhaseDrained, "no task runs")
	}
	if m.timeInPhase(o.drain) < m.deps.Settings.CheckpointAfter {
		return nil
	}
	for _, id := range status.Running {
		if err := m.deps.Workers.Checkpoint(ctx, o.host, id); err != nil {
			m.deps.Log.Debug().Err(err).Str("task", string(id)).Msg("cannot checkpoint the task; waiting for it to end")
		}
	}
	return nil
}

// refuseTasks makes the worker refuse new tasks and returns its status, with the tasks that are still running.
func (m *Manager) refuseTasks(ctx context.Context, o observedDrain) (jaybarrow.WorkerStatus, error) {
	if err := m.deps.Workers.SetDraining(ctx, o.host, true, o.fence); err != nil {
		return jaybarrow.WorkerStatus{}, err
	}
	return m.deps.Workers.Status(ctx, o.host)
}

// executePurpose moves or reboots the drained host, as the drain's purpose requires. It first makes the worker refuse tasks once
// more, because a paused driver of an earlier drain may have made it accept tasks again.
func (m *Manager) executePurpose(ctx context.Context, o observedDrain) error {
	if status, err := m.refuseTasks(ctx, o); err != nil || !status.Empty() {
		return err
	}
	switch o.drain.Purpose {
	case jaybarrow.PurposeMove:
		if err := m.moveHost(ctx, o.drain.Host, o.pool, o.drain.MoveTo); err != nil {
			return err
		}
		return m.setPhase(ctx, o, jaybarrow.PhaseReturning, "moved to pool "+string(o.drain.MoveTo))
	case jaybarrow.PurposeReboot:
		if err := m.setPhase(ctx, o, jaybarrow.PhaseRebooting, "reboot requested"); err != nil {
			return err
		}
		return m.deps.Platform.Reboot(ctx, o.drain.Host)
	default:
		return nil
	}
}

// awaitReboot advances the drain once the worker has restarted since the phase began, and requests the reboot again if that takes
// too long. The platform's list may be older than the reboot, so the worker's own clock is used to detect the restart.
func (m *Manager) awaitReboot(ctx context.Context, o observedDrain) error {
	status, err := m.deps.Workers.Status(ctx, o.host)
	if err != nil {
		return nil // the worker does not answer while it reboots
	}
	elapsed := m.timeInPhase(o.drain)
	if time.Duration(status.Clock)*time.Millisecond < elapsed {
		return m.setPhase(ctx, o, jaybarrow.PhaseReturning, "the worker has restarted")
	}
	if elapsed > m.deps.Settings.RebootRetryInterval && elapsed%m.deps.Settings.RebootRetryInterval < m.deps.Settings.Interval {
		return m.deps.Platform.Reboot(ctx, o.drain.Host)
	}
	return nil
}

// timeInPhase returns how long the drain has been in its phase.
func (m *Manager) timeInPhase(d jaybarrow.Drain) time.Duration {
	return m.deps.Clock.Now().Sub(time.UnixMilli(d.PhaseMs))
}

func (m *Manager) setPhase(ctx context.Context, o observedDrain, to jaybarrow.DrainPhase, reason string) error {
	_, err := m.updateDrains(ctx, o.pool, func(record jaybarrow.PoolDrains) (jaybarrow.PoolDrains, error) {
		return drain.Advance(record, o.drain, to, m.deps.Clock.Now())
	})
	if err == nil {
		m.recordDecision(jaybarrow.SubjectHost, string(o.drain.Host), fmt.Sprintf("drain is %s", to), reason)
	}
	return err
}

func (m *Manager) removeDrain(ctx context.Context, o observedDrain, reason string) error {
	_, err := m.updateDrains(ctx, o.pool, func(record jaybarrow.PoolDrains) (jaybarrow.PoolDrains, error) {
		return drain.Remove(record, o.drain, m.deps.Clock.Now())
	})
	if err == nil {
		m.recordDecision(jaybarrow.SubjectHost, string(o.drain.Host), "drain ended", reason)
	}
	return err
}

// stepWave begins as many drains of the pool's wave as the budget and the rack order allow.
func (m *Manager) stepWave(pool jaybarrow.PoolID) {
	for {
		ctx, cancel := context.WithTimeout(m.ctx, m.deps.Settings.CallTimeout)
		begun, err := m.beginNextOfWave(ctx, pool)
		cancel()
		if err != nil && !jaybarrow.IsKind(err, jaybarrow.KindBudgetSpent) && !jaybarrow.IsKind(err, jaybarrow.KindConflict) {
			m.deps.Log.Warn().Err(err).Str("pool", string(pool)).Msg("cannot begin the next drain of the wave; retrying in the next round")
		}
		if !begun || err != nil {
			return
		}
	}
}

// beginNextOfWave begins the drain of the wave's next host. It reports false when it has only removed hosts from the wave that
// are not in the pool any more.
func (m *Manager) beginNextOfWave(ctx context.Context, pool jaybarrow.PoolID) (begun bool, err error) {
	view, err := m.view(ctx, pool)
	if err != nil {
		return false, err
	}
	var host jaybarrow.HostID
	_, err = m.updateDrains(ctx, pool, func(record jaybarrow.PoolDrains) (jaybarrow.PoolDrains, error) {
		host, begun = "", false
		if pruned, changed := drain.PruneWave(record, view, m.deps.Clock.Now()); changed {
			return pruned, nil
		}
		next, ok := drain.NextOfWave(record, view, m.deps.DataCentre)
		if !ok {
			return record, jaybarrow.Errorf(jaybarrow.KindBudgetSpent, "no host of pool %s may drain now", pool)
		}
		host, begun = next, true
		return drain.Begin(record, view, jaybarrow.Drain{ID: m.deps.NewChange(), Host: next, Purpose: jaybarrow.PurposeReboot, Wave: true}, m.deps.Clock.Now())
	})
	if err == nil && begun {
		m.recordDecision(jaybarrow.SubjectHost, string(host), "drain begun", "wave over pool "+string(pool))
	}
	return begun, err
}
