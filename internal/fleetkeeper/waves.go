package fleetkeeper

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"

	"github.com/jaybarrow/jaybarrow"
)

// waveRecord is what is stored of a wave's progress.
type waveRecord struct {
	Begun []jaybarrow.HostID `json:"begun"` // hosts whose maintenance has begun
}

func waveKey(id jaybarrow.WaveID) jaybarrow.Key {
	return jaybarrow.JobWavePrefix + jaybarrow.Key(strconv.FormatInt(int64(id), 10))
}

// loadWaves takes over new waves with their stored progress.
func (k *Keeper) loadWaves(ctx context.Context) {
	for _, known := range k.deps.Waves.Waves() {
		k.state.lock.Lock()
		w := k.state.waves[known.ID]
		if w == nil {
			w = &wave{KnownWave: known, done: make(map[jaybarrow.HostID]bool)}
			k.state.waves[known.ID] = w
		}
		loaded := w.loaded
		k.state.lock.Unlock()
		if loaded {
			continue
		}
		begun, err := k.readWave(ctx, known.ID)
		if err != nil {
			k.deps.Log.Warn().Err(err).Int64("wave", int64(known.ID)).Msg("the progress of a wave cannot be read")
			continue
		}
		k.state.lock.Lock()
		for _, id := range begun {
			w.done[id] = true
		}
		w.loaded, w.stored = true, len(begun)
		k.state.lock.Unlock()
		k.deps.Log.Info().Int64("wave", int64(known.ID)).Int("hosts", len(known.Hosts)).Int("begun", len(begun)).Int("atOnce", known.AtOnce).
			Int64("withinMs", known.Within.Milliseconds()).Msg("wave")
	}
}

func (k *Keeper) readWave(ctx context.Context, id jaybarrow.WaveID) ([]jaybarrow.HostID, error) {
	limited, cancel := context.WithTimeout(ctx, k.deps.Settings.CallTimeout)
	defer cancel()
	r, err := k.deps.Store.Get(limited, waveKey(id))
	if jaybarrow.IsKind(err, jaybarrow.KindNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var record waveRecord
	if err := json.Unmarshal(r.Value, &record); err != nil {
		return nil, err
	}
	return record.Begun, nil
}

// reportWaves stores the progress of the waves and tells operators their states.
func (k *Keeper) reportWaves(ctx context.Context) {
	k.state.lock.Lock()
	waves := slices.Collect(maps.Values(k.state.waves))
	k.state.lock.Unlock()
	for _, w := range waves {
		if w.loaded {
			k.reportWave(ctx, w)
		}
	}
}

func (k *Keeper) reportWave(ctx context.Context, w *wave) {
	k.state.lock.Lock()
	begun := slices.Sorted(maps.Keys(w.done))
	state := k.stateOf(w)
	stale, stored := w.reported != state, w.stored
	k.state.lock.Unlock()
	limited, cancel := context.WithTimeout(ctx, k.deps.Settings.CallTimeout)
	defer cancel()
	if stored != len(begun) {
		if err := k.storeWave(limited, w.ID, begun); err != nil {
			k.deps.Log.Warn().Err(err).Int64("wave", int64(w.ID)).Msg("the progress of a wave cannot be stored")
			return
		}
		k.state.lock.Lock()
		w.stored = len(begun)
		k.state.lock.Unlock()
	}
	if !stale {
		return
	}
	if err := k.deps.Waves.ReportWave(limited, w.ID, state); err != nil {
		k.deps.Log.Warn().Err(err).Int64("wave", int64(w.ID)).Msg("the state of a wave cannot be reported")
		return
	}
	k.deps.Log.Info().Int64("wave", int64(w.ID)).Str("state", string(state)).Int("begun", len(begun)).Msg("wave reported")
	k.state.lock.Lock()
	w.reported = state
	k.state.lock.Unlock()
}

// stateOf returns the state of a wave: completed once the maintenance of every listed host has begun. The lock is held.
func (k *Keeper) stateOf(w *wave) jaybarrow.WaveState {
	for _, id := range w.Hosts {
		listed := slices.ContainsFunc(k.state.hosts, func(h jaybarrow.FleetHost) bool { return h.ID == id })
		if listed && !w.done[id] {
			return jaybarrow.WaveRunning
		}
	}
	return jaybarrow.WaveCompleted
}

// storeWave writes the progress, on condition that this entry host still leads.
func (k *Keeper) storeWave(ctx context.Context, id jaybarrow.WaveID, begun []jaybarrow.HostID) error {
	value, err := json.Marshal(waveRecord{Begun: begun})
	if err != nil {
		return err
	}
	_, err = k.deps.Store.Commit(ctx, jaybarrow.Commit{
		Expect: []jaybarrow.Expectation{{Key: jaybarrow.JobLeaderKey, Revision: k.deps.Term.Revision}},
		Puts:   []jaybarrow.Put{{Key: waveKey(id), Value: value}},
	})
	return err
}
