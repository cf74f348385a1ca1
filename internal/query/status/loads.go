package status

import (
	"context"

	"github.com/jaybarrow/jaybarrow"
)

// Load is the last reported load of the scheduler of one pool in one data centre.
type Load struct {
	Pool       jaybarrow.PoolID       `json:"pool"`
	DataCentre jaybarrow.DataCentreID `json:"dataCentre"`
	Entry      jaybarrow.EntryID      `json:"entry"` // the scheduler's entry host
	Waiting    int                    `json:"waiting"`
	Running    int                    `json:"running"`
	FreeSlots  jaybarrow.Slots        `json:"freeSlots"`
}

// Loads provides the loads that this entry host knows.
type Loads interface {
	Loads() []Load
}

// AllLoads asks for the loads of all pools.
type AllLoads struct{}

// LoadsHandler answers AllLoads queries.
type LoadsHandler struct {
	loads Loads
}

// NewLoads returns a LoadsHandler.
func NewLoads(loads Loads) *LoadsHandler { return &LoadsHandler{loads: loads} }

// Answer returns the loads.
func (h *LoadsHandler) Answer(context.Context, AllLoads) ([]Load, error) {
	return append([]Load{}, h.loads.Loads()...), nil
}
