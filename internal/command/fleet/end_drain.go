package fleet

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
)

// EndDrain returns a host to service.
type EndDrain struct {
	Host jaybarrow.HostID
}

// EndDrainHandler carries out EndDrain.
type EndDrainHandler struct {
	maintenance Maintenance
}

// NewEndDrain returns an EndDrainHandler.
func NewEndDrain(maintenance Maintenance) *EndDrainHandler {
	return &EndDrainHandler{maintenance: maintenance}
}

// Handle ends the drain.
func (h *EndDrainHandler) Handle(ctx context.Context, in EndDrain) (Changed, error) {
	if err := check(nameRule("host", in.Host)); err != nil {
		return Changed{}, err
	}
	revision, err := h.maintenance.EndDrain(ctx, in.Host)
	return Changed{revision}, err
}
