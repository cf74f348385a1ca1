package status

import (
	"context"
	"sort"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/directory"
)

// Movements counts moves of hosts and times maintenance waves.
type Movements interface {
	// Moves returns the number of moves that have ended.
	Moves() int
	// LastRollOut returns how long the last finished wave took; false before the first.
	LastRollOut() (time.Duration, bool)
}

// Service gives the slot-seconds that each team received recently on this entry host.
type Service interface {
	Received() map[jaybarrow.TeamID]float64
}

// AllMeasures asks for the measures.
type AllMeasures struct{}

// TeamShare compares what a team received with its share among the teams that received anything.
type TeamShare struct {
	Team        jaybarrow.TeamID `json:"team"`
	SlotSeconds float64          `json:"slotSeconds"`
	Received    float64          `json:"received"` // part of all received slot-seconds
	Entitled    float64          `json:"entitled"` // part of the shares of the teams that received any
}

// Measures are the four figures by which a firm judges the system.
type Measures struct {
	SpareHosts int             `json:"spareHosts"` // buffer cost: hosts in spare pools
	SpareSlots jaybarrow.Slots `json:"spareSlots"`
	Moves      *int            `json:"moves"`     // null when moves are not counted
	RollOutMs  *int64          `json:"rollOutMs"` // of the last finished wave; null before the first
	Shares     []TeamShare     `json:"sharesHere"`
}

// MeasuresHandler answers AllMeasures.
type MeasuresHandler struct {
	directory *directory.Directory
	movements Movements
	service   Service
}

// NewMeasures returns a MeasuresHandler; without movements, moves and roll-out times are left out.
func NewMeasures(d *directory.Directory, movements Movements, service Service) *MeasuresHandler {
	return &MeasuresHandler{directory: d, movements: movements, service: service}
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
	if h.movements != nil {
		moves := h.movements.Moves()
		m.Moves = &moves
		if took, ok := h.movements.LastRollOut(); ok {
			ms := took.Milliseconds()
			m.RollOutMs = &ms
		}
	}
	return m, nil
}

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
			share = 1 // as the scheduler treats a record without a share
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
