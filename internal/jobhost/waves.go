package jobhost

import (
	"context"
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/fleetkeeper"
)

// waves holds the maintenance waves that operators have requested; it implements fleetkeeper.Waves.
type waves struct {
	operators jaybarrow.Operators
	lock      sync.Mutex
	known     []fleetkeeper.KnownWave
}

// add adds the waves that are not known yet.
func (w *waves) add(received []jaybarrow.Wave, now time.Time) {
	w.lock.Lock()
	defer w.lock.Unlock()
	for _, wave := range received {
		if !w.contains(wave.ID) {
			w.known = append(w.known, fleetkeeper.KnownWave{Wave: wave, ReceivedAt: now})
		}
	}
}

// contains reports whether the wave is known; the caller holds the lock.
func (w *waves) contains(id jaybarrow.WaveID) bool {
	for _, k := range w.known {
		if k.ID == id {
			return true
		}
	}
	return false
}

// Waves returns every known wave.
func (w *waves) Waves() []fleetkeeper.KnownWave {
	w.lock.Lock()
	defer w.lock.Unlock()
	return append([]fleetkeeper.KnownWave(nil), w.known...)
}

// ReportWave reports the status of a wave to operators, unless the leader's record has another revision.
func (w *waves) ReportWave(ctx context.Context, id jaybarrow.WaveID, status jaybarrow.WaveStatus, leader jaybarrow.Revision) error {
	return w.operators.ReportWave(ctx, id, status, leader)
}
