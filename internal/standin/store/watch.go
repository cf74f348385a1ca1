package store

import (
	"encoding/json"
	"net/http"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/etcd/gateway"
)

// watch streams changes from the start revision on, and progress events while there are none.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	var request gateway.WatchRequest
	if !decode(w, r, &request) {
		return
	}
	selected, err := keySelector(request.Create.Key, request.Create.RangeEnd)
	if err != nil {
		writeError(w, http.StatusBadRequest, gateway.CodeInvalidArgument, err.Error())
		return
	}
	stream := &stream{w: w, encoder: json.NewEncoder(w), frozen: s.freezeCheck(r)}
	revision := s.core.Revision()
	stream.send(gateway.WatchResult{Header: gateway.Header{Revision: revision}, Created: true})
	from := request.Create.StartRevision - 1
	if request.Create.StartRevision == 0 {
		from = revision
	}
	changes, err := s.core.Watch(r.Context(), jaybarrow.Key(request.Create.Key), from)
	if err != nil {
		stream.send(gateway.WatchResult{Header: s.header(), Canceled: true, CompactRevision: s.core.Compacted()})
		return
	}
	defer changes.Close()
	for {
		event, err := changes.Next()
		if err != nil {
			return
		}
		result := gateway.WatchResult{Header: gateway.Header{Revision: event.Revision}}
		for _, record := range event.Records {
			if selected(record.Key) {
				result.Events = append(result.Events, gateway.NewEvent(record))
			}
		}
		stream.send(result)
	}
}

// freezeCheck registers a new watch. The returned function reports whether the watch is frozen. For a frozen watch it blocks
// until the client has closed the connection.
func (s *Server) freezeCheck(r *http.Request) func() bool {
	number := s.faults.registerWatch()
	return func() bool {
		if !s.faults.frozen(number) {
			return false
		}
		<-r.Context().Done()
		return true
	}
}

// stream sends the results of a watch.
type stream struct {
	w       http.ResponseWriter
	encoder *json.Encoder
	frozen  func() bool // blocks while the watch is frozen
}

func (s *stream) send(result gateway.WatchResult) {
	if s.frozen() {
		return
	}
	_ = s.encoder.Encode(gateway.WatchResponse{Result: result})
	_ = http.NewResponseController(s.w).Flush()
}
