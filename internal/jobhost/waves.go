package jobhost

import (
	"context"
	"sync"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/fleetkeeper"
)

// waves are the maintenance waves that operators asked for; it implements fleetkeeper.Waves.
type waves struct {
	operators jaybarrow.Operators
	lock      sync.Mutex
	known     []fleetkeeper.KnownWave
}

func (w *waves) add(news []jaybarrow.Wave, now time.Time) {
	w.lock.Lock()
	defer w.lock.Unlock()
	for _, n := range news {
		if !w.knows(n.ID) {
			w.known = append(w.known, fleetkeeper.KnownWave{Wave: n, Since: now})
		}
	}
}

func (w *waves) knows(id jaybarrow.WaveID) bool {
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

// ReportWave tells operators the state of a wave.
func (w *waves) ReportWave(ctx context.Context, id jaybarrow.WaveID, state jaybarrow.WaveState) error {
	return w.operators.ReportWave(ctx, id, state)
}
