package jobhost

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/scheduler"
)

// applyEvacuations applies the evacuations of a complete list or of changes, which hold what the store had acknowledged at readAt.
func (h *Host) applyEvacuations(log zerolog.Logger, updates []jaybarrow.OperatorInput, complete bool, readAt time.Time) {
	var changes []jaybarrow.EvacuationChange
	for _, u := range updates {
		changes = append(changes, u.Evacuations...)
	}
	update := h.evacuations.Apply
	if complete {
		update = h.evacuations.Replace
	}
	began, ended := update(changes, readAt)
	s := h.activeScheduler.Load()
	for _, id := range began {
		logEvacuation(log, s, id, "evacuation of a data centre begins")
	}
	for _, id := range ended {
		logEvacuation(log, s, id, "evacuation of a data centre ends")
	}
}

// logEvacuationsInForce logs the evacuations that a new leader finds in force.
func (h *Host) logEvacuationsInForce(log zerolog.Logger, s *scheduler.Scheduler) {
	for _, id := range h.evacuations.DataCentres() {
		logEvacuation(log, s, id, "evacuation of a data centre is in force")
	}
}

// logEvacuation logs the message with the data centre and, where this entry host leads, the number of runs left there.
func logEvacuation(log zerolog.Logger, s *scheduler.Scheduler, id jaybarrow.DataCentreID, message string) {
	line := log.Info().Str("dataCentre", fmt.Sprintf("%.100s", string(id))) // operators choose the name
	if s != nil {
		line = line.Int("runsLeft", s.RunsLeft(id))
	}
	line.Msg(message)
}

// registerEvacuationGauges registers the number of evacuations in force and, on the leader, of the runs left in their data centres.
func (h *Host) registerEvacuationGauges() {
	h.deps.Metrics.Gauge("evacuation.dataCentres", func() int64 { return int64(len(h.evacuations.DataCentres())) })
	h.deps.Metrics.Gauge("evacuation.runsLeft", func() int64 {
		s := h.activeScheduler.Load()
		if s == nil {
			return 0
		}
		n := 0
		for _, id := range h.evacuations.DataCentres() {
			n += s.RunsLeft(id)
		}
		return int64(n)
	})
}
