package fleetkeeper

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/fleetplan"
)

// waveRecord is the stored progress of a wave.
type waveRecord struct {
	Begun []jaybarrow.HostID `json:"begun"` // hosts whose maintenance has begun
}

// waveKey returns the key of a wave's record.
func waveKey(id jaybarrow.WaveID) jaybarrow.Key {
	return jaybarrow.JobWavePrefix + jaybarrow.Key(strconv.FormatInt(int64(id), 10))
}

// loadWaves adds new waves and begins to read their stored progress; a failed read is retried at the next call.
func (k *Keeper) loadWaves(ctx context.Context) {
	for _, known := range k.deps.Waves.Waves() {
		k.state.lock.Lock()
		w := k.state.waves[known.ID]
		if w == nil {
			w = &wave{
				KnownWave: known, maintenanceBegun: make(map[jaybarrow.HostID]bool),
				obstacles: make(map[jaybarrow.HostID]jaybarrow.DrainObstacle),
			}
			k.state.waves[known.ID] = w
		}
		due := !w.loaded
		k.state.lock.Unlock()
		if due {
			k.callForWave(ctx, w, k.loadWave)
		}
	}
}

// callForWave makes calls to the store for the wave in the background, unless earlier ones for it are still in progress. The decisions on
// hosts never wait for the store, which may take a second, and the writes of one wave stay in order.
func (k *Keeper) callForWave(ctx context.Context, w *wave, call func(context.Context, *wave)) {
	k.state.lock.Lock()
	busy := w.calling
	w.calling = true
	k.state.lock.Unlock()
	if busy {
		return
	}
	k.group.Go("progress of a wave", func() {
		call(ctx, w)
		k.state.lock.Lock()
		defer k.state.lock.Unlock()
		w.calling = false
	})
}

// loadWave reads the stored progress of the wave.
func (k *Keeper) loadWave(ctx context.Context, w *wave) {
	begun, revision, err := k.readWave(ctx, w.ID)
	if err != nil {
		k.deps.Log.Warn().Err(err).Int64("wave", int64(w.ID)).Msg("cannot read the progress of a wave; trying again")
		return
	}
	k.state.lock.Lock()
	for _, id := range begun {
		w.maintenanceBegun[id] = true
	}
	w.loaded, w.storedCount, w.revision = true, len(begun), revision
	k.state.lock.Unlock()
	k.deps.Log.Info().Int64("wave", int64(w.ID)).Int("hosts", len(w.Hosts)).Int("begun", len(begun)).Int("atOnce", w.AtOnce).
		Int64("withinMs", w.Within.Milliseconds()).Msg("wave")
}

// readWave returns the hosts whose maintenance has begun according to the wave's record, and its revision; none when there is no record.
func (k *Keeper) readWave(ctx context.Context, id jaybarrow.WaveID) ([]jaybarrow.HostID, jaybarrow.Revision, error) {
	limited, cancel := context.WithTimeout(ctx, k.deps.Settings.CallTimeout)
	defer cancel()
	r, err := k.deps.Store.Get(limited, waveKey(id))
	if jaybarrow.IsKind(err, jaybarrow.KindNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	var record waveRecord
	if err := json.Unmarshal(r.Value, &record); err != nil {
		return nil, 0, err
	}
	return record.Begun, r.Revision, nil
}

// reportWaves begins to store the progress of the waves and to report their states to operators, where either has changed.
func (k *Keeper) reportWaves(ctx context.Context) {
	now := k.deps.Clock.Now()
	k.state.lock.Lock()
	var due []*wave
	for _, w := range k.state.waves {
		if w.loaded && (w.storedCount != len(w.maintenanceBegun) || w.needsReport(k.waveStatus(w), now)) {
			due = append(due, w)
		}
	}
	k.state.lock.Unlock()
	for _, w := range due {
		k.callForWave(ctx, w, k.reportWave)
	}
}

// reportWave stores the progress of a wave if it has changed, and then reports the state of the wave if it has changed. The state is that of
// the progress that was stored, so that no wave is reported as completed before its progress is stored.
func (k *Keeper) reportWave(ctx context.Context, w *wave) {
	k.state.lock.Lock()
	begun := slices.Sorted(maps.Keys(w.maintenanceBegun))
	status := k.waveStatus(w)
	unreported, storedCount := w.needsReport(status, k.deps.Clock.Now()), w.storedCount
	k.state.lock.Unlock()
	limited, cancel := context.WithTimeout(ctx, k.deps.Settings.CallTimeout)
	defer cancel()
	if storedCount != len(begun) {
		if err := k.storeWave(limited, w, begun); err != nil {
			k.deps.Log.Warn().Err(err).Int64("wave", int64(w.ID)).Msg("cannot store the progress of a wave; trying again")
			return
		}
		k.state.lock.Lock()
		w.storedCount = len(begun)
		k.state.lock.Unlock()
	}
	if !unreported || !k.deps.Term.Valid() {
		return
	}
	if err := k.deps.Waves.ReportWave(limited, w.ID, status, k.deps.Term.Revision); err != nil {
		k.deps.Log.Warn().Err(err).Int64("wave", int64(w.ID)).Msg("cannot report the state of a wave; trying again")
		return
	}
	k.deps.Log.Info().Int64("wave", int64(w.ID)).Str("state", string(status.State)).Int("begun", len(begun)).Int("waiting", len(status.Waiting)).
		Msg("wave reported")
	k.state.lock.Lock()
	w.reported, w.reportedAt = status, k.deps.Clock.Now()
	k.state.lock.Unlock()
}

// waveStatus returns the status of a wave: completed once the maintenance of every host has begun that the platform still lists. The
// state's lock is held.
func (k *Keeper) waveStatus(w *wave) jaybarrow.WaveStatus {
	out := jaybarrow.WaveStatus{State: jaybarrow.WaveCompleted}
	for _, id := range w.Hosts {
		listed := slices.ContainsFunc(k.state.hosts, func(h jaybarrow.FleetHost) bool { return h.ID == id })
		if !listed || w.maintenanceBegun[id] {
			continue
		}
		out.State = jaybarrow.WaveRunning
		if obstacle := w.obstacles[id]; obstacle != "" {
			if out.Waiting == nil {
				out.Waiting = make(map[jaybarrow.HostID]jaybarrow.DrainObstacle)
			}
			out.Waiting[id] = obstacle
		}
	}
	return out
}

// waitingReportInterval is the least time between two reports of a wave that differ only in what its hosts wait for.
const waitingReportInterval = 2 * time.Second

// needsReport reports whether operators are to be told of the status.
func (w *wave) needsReport(status jaybarrow.WaveStatus, now time.Time) bool {
	if status.State != w.reported.State {
		return true
	}
	return !maps.Equal(status.Waiting, w.reported.Waiting) && now.Sub(w.reportedAt) >= waitingReportInterval
}

// noteObstacle records what keeps a host from being emptied for its maintenance, and logs it when it has changed.
func (k *Keeper) noteObstacle(m fleetplan.Maintenance, obstacle jaybarrow.DrainObstacle) {
	k.state.lock.Lock()
	w := k.state.waves[m.Wave]
	changed := w != nil && w.obstacles[m.Host.ID] != obstacle
	if changed {
		w.obstacles[m.Host.ID] = obstacle
	}
	k.state.lock.Unlock()
	if changed && obstacle != "" {
		k.deps.Log.Info().Str("host", string(m.Host.ID)).Int64("wave", int64(m.Wave)).Str("obstacle", string(obstacle)).Int("lasting", m.Host.Lasting).
			Msg("host cannot be emptied for its maintenance yet")
	}
}

// storeWave writes the progress on condition that the leader's record is still that of this term and that the wave's record is the one that it
// replaces, so that a write which the store carries out late cannot undo a newer one.
func (k *Keeper) storeWave(ctx context.Context, w *wave, begun []jaybarrow.HostID) error {
	value, err := json.Marshal(waveRecord{Begun: begun})
	if err != nil {
		return err
	}
	key := waveKey(w.ID)
	k.state.lock.Lock()
	replaced := w.revision
	k.state.lock.Unlock()
	revision, err := k.deps.Store.Commit(ctx, jaybarrow.Commit{
		Expect: []jaybarrow.Expectation{{Key: jaybarrow.JobLeaderKey, Revision: k.deps.Term.Revision}, {Key: key, Revision: replaced}},
		Puts:   []jaybarrow.Put{{Key: key, Value: value}},
	})
	var conflict *jaybarrow.ConflictError
	if errors.As(err, &conflict) {
		// An earlier write of this term may have been carried out without an answer.
		revision = revisionOf(key, conflict.Current)
	} else if err != nil {
		return err
	}
	k.state.lock.Lock()
	w.revision = revision
	k.state.lock.Unlock()
	return err
}

// revisionOf returns the revision of the record with the key; 0 when there is none.
func revisionOf(key jaybarrow.Key, records []jaybarrow.Record) jaybarrow.Revision {
	for _, r := range records {
		if r.Key == key && !r.Deleted {
			return r.Revision
		}
	}
	return 0
}
