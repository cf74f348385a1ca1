package status

import (
	"context"
	"sort"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
)

// MaintenanceStats provides the number of host moves and the duration of maintenance waves.
type MaintenanceStats interface {
	// Moves returns the number of moves that have ended.
	Moves() int
	// LastRollOut returns the duration of the last finished wave; it reports false before the first.
	LastRollOut() (time.Duration, bool)
}

// ServiceStats provides the service that teams received.
type ServiceStats interface {
	// Received returns the slot-seconds that each team received recently on this entry host.
	Received() map[jaybarrow.TeamID]float64
}

// AllMeasures asks for the measures.
type AllMeasures struct{}

// TeamShare compares the service that a team received with its share among the teams that received any.
type TeamShare struct {
	Team        jaybarrow.TeamID `json:"team"`
	SlotSeconds float64          `json:"slotSeconds"`
	Received    float64          `json:"received"` // fraction of all received slot-seconds
	Entitled    float64          `json:"entitled"` // team's share as a fraction of the shares of all teams that received any
}

// Measures are the four measures of the system's efficiency: spare capacity, host moves, roll-out time and fairness.
type Measures struct {
	SpareHosts int             `json:"spareHosts"` // hosts in spare pools, which are the cost of the buffer
	SpareSlots jaybarrow.Slots `json:"spareSlots"`
	Moves      *int            `json:"moves"`     // null when moves are not counted
	RollOutMs  *int64          `json:"rollOutMs"` // duration of the last finished wave; null before the first
	Shares     []TeamShare     `json:"sharesHere"`
}

// MeasuresHandler answers AllMeasures queries.
type MeasuresHandler struct {
	directory   *directory.Directory
	maintenance MaintenanceStats
	service     ServiceStats
}

// NewMeasures returns a MeasuresHandler; with nil maintenance, Moves and RollOutMs are null.
func NewMeasures(d *directory.Directory, maintenance MaintenanceStats, service ServiceStats) *MeasuresHandler {
	return &MeasuresHandler{directory: d, maintenance: maintenance, service: service}
}

// Answer returns the measures.
func (h *MeasuresHandler) Answer(context.Context, AllMeasures) (Measures, error) {
	m := Measures{Shares: h.shares()}
	h.directory.Hosts.Each(func(_ jaybarrow.HostID, host jaybarrow.Host) {
		if pool, ok := h.directory.Pools.Get(host.Pool); ok && pool.Spare {
			m.SpareHosts++
			m.SpareSlots += host.Capacity.Slots
		}
	})
	if h.maintenance != nil {
		moves := h.maintenance.Moves()
		m.Moves = &moves
		if took, ok := h.maintenance.LastRollOut(); ok {
			ms := took.Milliseconds()
			m.RollOutMs = &ms
		}
	}
	return m, nil
}

// shares returns the shares of the teams that have a record and received any service, in order of team.
func (h *MeasuresHandler) shares() []TeamShare {
	shares := []TeamShare{}
	received, entitled := 0.0, 0.0
	for id, slotSeconds := range h.service.Received() {
		team, ok := h.directory.Teams.Get(id)
		if !ok || slotSeconds <= 0 {
			continue
		}
		share := float64(team.Share)
		if share <= 0 {
			share = 1 // like the scheduler's default for a record without a share
		}
		received += slotSeconds
		entitled += share
		shares = append(shares, TeamShare{Team: id, SlotSeconds: slotSeconds, Entitled: share})
	}
	for i := range shares {
		shares[i].Received = shares[i].SlotSeconds / received
		shares[i].Entitled /= entitled
	}
	sort.Slice(shares, func(i, j int) bool { return shares[i].Team < shares[j].Team })
	return shares
}
