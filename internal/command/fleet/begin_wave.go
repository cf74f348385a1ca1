package fleet

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
)

// BeginWave requests a maintenance wave over a pool.
type BeginWave struct {
	Pool jaybarrow.PoolID
}

// BeginWaveHandler carries out BeginWave.
type BeginWaveHandler struct {
	maintenance Maintenance
}

// NewBeginWave returns a BeginWaveHandler.
func NewBeginWave(maintenance Maintenance) *BeginWaveHandler {
	return &BeginWaveHandler{maintenance: maintenance}
}

// Handle requests the wave.
func (h *BeginWaveHandler) Handle(ctx context.Context, in BeginWave) (Changed, error) {
	if err := check(nameRule("pool", in.Pool)); err != nil {
		return Changed{}, err
	}
	revision, err := h.maintenance.BeginWave(ctx, in.Pool)
	return Changed{revision}, err
}
