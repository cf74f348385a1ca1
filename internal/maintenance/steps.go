package maintenance

import (
	"context"
	"fmt"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/drain"
)

// job is a drain as a round saw it.
type job struct {
	pool  jaybarrow.PoolID
	host  jaybarrow.Host
	drain jaybarrow.Drain
	seen  jaybarrow.Revision // of the pool's drains; fences the commands to the worker
}

// step carries one drain on by at most one phase; what fails is tried again in the next round.
func (m *Manager) step(j job) {
	ctx, cancel := context.WithTimeout(m.ctx, m.deps.Settings.CallTimeout)
	defer cancel()
	err := m.advance(ctx, j)
	if err != nil && !jaybarrow.IsKind(err, jaybarrow.KindConflict) {
		m.deps.Log.Warn().Err(err).Str("host", string(j.drain.Host)).Str("phase", string(j.drain.Phase)).Msg("drain step failed; trying again")
	}
}

func (m *Manager) advance(ctx context.Context, j job) error {
	if j.host.ID == "" {
		// The local copy may be older than the drain; only the store knows whether the host has a record.
		_, err := read(ctx, m.deps.Store, jaybarrow.HostKey(j.drain.Host), &j.host)
		if jaybarrow.IsKind(err, jaybarrow.KindNotFound) {
			return m.remove(ctx, j, "the host has no record")
		}
		if err != nil || j.host.DataCentre != m.deps.DataCentre {
			return err
		}
	}
	if m.deps.Conditions.Condition(string(j.drain.Host)) == jaybarrow.HostGone {
		return m.remove(ctx, j, "the host is gone")
	}
	switch j.drain.Phase {
	case jaybarrow.PhaseDraining:
		return m.empty(ctx, j)
	case jaybarrow.PhaseDrained:
		return m.fulfil(ctx, j)
	case jaybarrow.PhaseRebooting:
		return m.awaitReboot(ctx, j)
	default:
		if err := m.deps.Workers.SetDraining(ctx, j.host, false, j.seen); err != nil {
			return err
		}
		return m.remove(ctx, j, "the worker accepts work again")
	}
}

// empty makes the worker refuse new tasks and waits until none runs; past the patience it asks for checkpoints, and never
// stops a task.
func (m *Manager) empty(ctx context.Context, j job) error {
	status, err := m.refuseTasks(ctx, j)
	if err != nil {
		return err
	}
	if status.Empty() {
		return m.phase(ctx, j, jaybarrow.PhaseDrained, "no task runs")
	}
	if m.since(j.drain) < m.deps.Settings.CheckpointAfter {
		return nil
	}
	for _, id := range status.Running {
		if err := m.deps.Workers.Checkpoint(ctx, j.host, id); err != nil {
			m.deps.Log.Debug().Err(err).Str("task", string(id)).Msg("task cannot be checkpointed; waiting for its end")
		}
	}
	return nil
}

// refuseTasks makes the worker refuse new tasks and returns what it still runs.
func (m *Manager) refuseTasks(ctx context.Context, j job) (jaybarrow.WorkerStatus, error) {
	if err := m.deps.Workers.SetDraining(ctx, j.host, true, j.seen); err != nil {
		return jaybarrow.WorkerStatus{}, err
	}
	return m.deps.Workers.Status(ctx, j.host)
}

// fulfil does what the host was drained for, after asking the worker once more: a driver of an earlier drain that was paused
// may have made it accept tasks again.
func (m *Manager) fulfil(ctx context.Context, j job) error {
	if status, err := m.refuseTasks(ctx, j); err != nil || !status.Empty() {
		return err
	}
	switch j.drain.Purpose {
	case jaybarrow.PurposeMove:
		if err := m.moveHost(ctx, j.drain.Host, j.pool, j.drain.MoveTo); err != nil {
			return err
		}
		return m.phase(ctx, j, jaybarrow.PhaseReturning, "moved to pool "+string(j.drain.MoveTo))
	case jaybarrow.PurposeReboot:
		if err := m.phase(ctx, j, jaybarrow.PhaseRebooting, "reboot requested"); err != nil {
			return err
		}
		return m.deps.Platform.Reboot(ctx, j.drain.Host)
	default:
		return nil
	}
}

// awaitReboot waits until the worker has restarted since the phase began. The platform's list may still be from before the
// reboot, so the worker's own clock decides.
func (m *Manager) awaitReboot(ctx context.Context, j job) error {
	status, err := m.deps.Workers.Status(ctx, j.host)
	if err != nil {
		return nil // it is rebooting
	}
	elapsed := m.since(j.drain)
	if time.Duration(status.Clock)*time.Millisecond < elapsed {
		return m.phase(ctx, j, jaybarrow.PhaseReturning, "the worker has restarted")
	}
	if elapsed > m.deps.Settings.RebootRetryInterval && elapsed%m.deps.Settings.RebootRetryInterval < m.deps.Settings.Interval {
		return m.deps.Platform.Reboot(ctx, j.drain.Host)
	}
	return nil
}

func (m *Manager) since(d jaybarrow.Drain) time.Duration {
	return m.deps.Clock.Now().Sub(time.UnixMilli(d.PhaseMs))
}

func (m *Manager) phase(ctx context.Context, j job, to jaybarrow.DrainPhase, reason string) error {
	_, err := m.change(ctx, j.pool, func(record jaybarrow.PoolDrains) (jaybarrow.PoolDrains, error) {
		return drain.Advance(record, j.drain, to, m.deps.Clock.Now())
	})
	if err == nil {
		m.note(jaybarrow.SubjectHost, string(j.drain.Host), fmt.Sprintf("drain is %s", to), reason)
	}
	return err
}

func (m *Manager) remove(ctx context.Context, j job, reason string) error {
	_, err := m.change(ctx, j.pool, func(record jaybarrow.PoolDrains) (jaybarrow.PoolDrains, error) {
		return drain.Remove(record, j.drain, m.deps.Clock.Now())
	})
	if err == nil {
		m.note(jaybarrow.SubjectHost, string(j.drain.Host), "drain ended", reason)
	}
	return err
}

// stepWave begins as many drains of the wave as the budget and the rack order allow.
func (m *Manager) stepWave(pool jaybarrow.PoolID) {
	for {
		ctx, cancel := context.WithTimeout(m.ctx, m.deps.Settings.CallTimeout)
		begun, err := m.beginNext(ctx, pool)
		cancel()
		if err != nil && !jaybarrow.IsKind(err, jaybarrow.KindBudgetSpent) && !jaybarrow.IsKind(err, jaybarrow.KindConflict) {
			m.deps.Log.Warn().Err(err).Str("pool", string(pool)).Msg("wave step failed; trying again")
		}
		if !begun || err != nil {
			return
		}
	}
}

func (m *Manager) beginNext(ctx context.Context, pool jaybarrow.PoolID) (begun bool, err error) {
	view, err := m.view(ctx, pool)
	if err != nil {
		return false, err
	}
	var host jaybarrow.HostID
	_, err = m.change(ctx, pool, func(record jaybarrow.PoolDrains) (jaybarrow.PoolDrains, error) {
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
		m.note(jaybarrow.SubjectHost, string(host), "drain begun", "wave over pool "+string(pool))
	}
	return begun, err
}
