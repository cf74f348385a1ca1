package store

import (
	"net/http"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// ConditionRequest is the body of a call that sets the condition of a host.
type ConditionRequest struct {
	Condition jaybarrow.HostCondition `json:"condition"`
}

// TimingRequest is the body of a call that sets the Timing of the host list.
type TimingRequest struct {
	LagMs    int64 `json:"lagMs"`
	RebootMs int64 `json:"rebootMs"`
}

// CompactRequest is the body of a call that compacts the store; see Core.Compact.
type CompactRequest struct {
	Revision jaybarrow.Revision `json:"revision"`
}

func (s *Server) controlRoutes() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("GET /control/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) })
	routes.HandleFunc("PUT /control/faults", s.putFaults)
	routes.HandleFunc("GET /control/calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) })
	routes.HandleFunc("GET /control/log", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, s.core.Log(jaybarrow.Key(r.FormValue("prefix"))))
	})
	routes.HandleFunc("GET /control/reboots", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.hosts.Reboots()) })
	routes.HandleFunc("PUT /control/hosts/{host}", s.putCondition)
	routes.HandleFunc("PUT /control/timing", s.putTiming)
	routes.HandleFunc("POST /control/compact", s.postCompact)
	return routes
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !decode(w, r, &faults) {
		return
	}
	if err := s.SetFaults(faults); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

func (s *Server) putCondition(w http.ResponseWriter, r *http.Request) {
	var request ConditionRequest
	if decode(w, r, &request) {
		s.hosts.SetCondition(r.PathValue("host"), request.Condition)
	}
}

func (s *Server) putTiming(w http.ResponseWriter, r *http.Request) {
	var request TimingRequest
	if decode(w, r, &request) {
		s.hosts.SetTiming(Timing{
			Lag:    time.Duration(request.LagMs) * time.Millisecond,
			Reboot: time.Duration(request.RebootMs) * time.Millisecond,
		})
	}
}

func (s *Server) postCompact(w http.ResponseWriter, r *http.Request) {
	var request CompactRequest
	if decode(w, r, &request) {
		s.core.Compact(request.Revision)
	}
}
