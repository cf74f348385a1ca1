package store

import (
	"bytes"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/etcd/gateway"
)

// keySelector returns a predicate for the keys that a key and a range end select: one key, or the keys with a prefix.
func keySelector(key, end []byte) (func(jaybarrow.Key) bool, error) {
	switch {
	case len(end) == 0:
		return func(k jaybarrow.Key) bool { return string(k) == string(key) }, nil
	case bytes.Equal(end, gateway.PrefixEnd(key)):
		return func(k jaybarrow.Key) bool { return strings.HasPrefix(string(k), string(key)) }, nil
	}
	return nil, errors.New("range_end must be empty or the end of the prefix")
}

func (s *Server) readRange(w http.ResponseWriter, r *http.Request) {
	var request gateway.RangeRequest
	if !decode(w, r, &request) {
		return
	}
	selected, err := keySelector(request.Key, request.RangeEnd)
	if err != nil {
		writeError(w, http.StatusBadRequest, gateway.CodeInvalidArgument, err.Error())
		return
	}
	records, revision := s.readRecords(selected)
	response := gateway.RangeResponse{Header: gateway.Header{Revision: revision}}
	for _, record := range records {
		response.Kvs = append(response.Kvs, gateway.NewKeyValue(record))
	}
	writeJSON(w, response)
}

func (s *Server) readRecords(selected func(jaybarrow.Key) bool) ([]jaybarrow.Record, jaybarrow.Revision) {
	if revisionsAgo := s.faults.current().StaleBy; revisionsAgo > 0 {
		return s.core.Past(revisionsAgo, selected)
	}
	return s.core.Current(selected)
}

func (s *Server) txn(w http.ResponseWriter, r *http.Request) {
	var request gateway.TxnRequest
	if !decode(w, r, &request) {
		return
	}
	if err := checkTxn(request); err != nil {
		writeError(w, http.StatusBadRequest, gateway.CodeInvalidArgument, err.Error())
		return
	}
	revision, err := s.commit(r, request)
	switch {
	case jaybarrow.IsKind(err, jaybarrow.KindConflict):
		writeJSON(w, gateway.TxnResponse{Header: s.header()})
	case err != nil:
		writeError(w, http.StatusNotFound, gateway.CodeNotFound, "requested lease not found")
	case s.faults.losesAnswer(jaybarrow.Key(request.Compare[0].Key)):
		panic(http.ErrAbortHandler) // closes the connection without an answer
	default:
		writeJSON(w, gateway.TxnResponse{Header: gateway.Header{Revision: revision}, Succeeded: true})
	}
}

// checkTxn returns an error unless the transaction is a compare-and-swap of one key, the only one that the platform supports.
func checkTxn(t gateway.TxnRequest) error {
	if len(t.Compare) != 1 || len(t.Success) != 1 {
		return errors.New("exactly one compare and one success operation are supported")
	}
	compare, op := t.Compare[0], t.Success[0]
	if compare.Target != gateway.TargetMod || compare.Result != gateway.ResultEqual {
		return errors.New("only an EQUAL comparison of MOD is supported")
	}
	var key []byte
	switch {
	case op.Put != nil && op.DeleteRange == nil:
		key = op.Put.Key
	case op.DeleteRange != nil && op.Put == nil:
		key = op.DeleteRange.Key
	default:
		return errors.New("the operation must be one put or one delete_range")
	}
	if !bytes.Equal(key, compare.Key) {
		return errors.New("the operation must be on the compared key")
	}
	return nil
}

func (s *Server) commit(r *http.Request, t gateway.TxnRequest) (jaybarrow.Revision, error) {
	key, previous := jaybarrow.Key(t.Compare[0].Key), t.Compare[0].ModRevision
	if put := t.Success[0].Put; put != nil {
		return s.core.CompareAndSwap(r.Context(), key, previous, put.Value, put.Lease)
	}
	return s.core.Delete(r.Context(), key, previous)
}

func (s *Server) header() gateway.Header { return gateway.Header{Revision: s.core.Revision()} }

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var request gateway.GrantRequest
	if !decode(w, r, &request) {
		return
	}
	if request.TTL <= 0 {
		writeError(w, http.StatusBadRequest, gateway.CodeInvalidArgument, "TTL must be positive")
		return
	}
	id, _ := s.core.GrantLease(r.Context(), time.Duration(request.TTL)*time.Second)
	writeJSON(w, gateway.LeaseResponse{Header: s.header(), ID: id, TTL: request.TTL})
}

func (s *Server) keepAlive(w http.ResponseWriter, r *http.Request) {
	var request gateway.LeaseRequest
	if !decode(w, r, &request) {
		return
	}
	ttl, ok := s.core.renew(request.ID)
	response := gateway.LeaseResponse{Header: s.header(), ID: request.ID}
	if ok {
		response.TTL = int64(ttl / time.Second)
	}
	writeJSON(w, gateway.KeepAliveResponse{Result: response})
}

func (s *Server) revoke(w http.ResponseWriter, r *http.Request) {
	var request gateway.LeaseRequest
	if !decode(w, r, &request) {
		return
	}
	_ = s.core.RevokeLease(r.Context(), request.ID)
	writeJSON(w, gateway.LeaseResponse{Header: s.header()})
}

func (s *Server) listHosts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, gateway.HostsResponse{Hosts: s.hosts.List()})
}

func (s *Server) reboot(w http.ResponseWriter, r *http.Request) {
	host := r.PathValue("host")
	if !s.hosts.Reboot(jaybarrow.HostID(host)) {
		writeError(w, http.StatusNotFound, gateway.CodeNotFound, "host "+host+" is gone")
		return
	}
	writeJSON(w, struct{}{})
}
