package gateway

import "github.com/jaybarrow/jaybarrow"

// The paths of the calls.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
	PathHosts     = "/platform/hosts"
)

// PathReboot returns the path that requests a reboot of the host.
func PathReboot(host jaybarrow.HostID) string { return PathHosts + "/" + string(host) + "/reboot" }

// Header is part of every answer.
type Header struct {
	Revision jaybarrow.Revision `json:"revision,string"`
}

// KeyValue is one record; a deleted one has no value.
type KeyValue struct {
	Key         []byte             `json:"key"`
	Value       []byte             `json:"value,omitempty"`
	ModRevision jaybarrow.Revision `json:"mod_revision,string"`
	Lease       jaybarrow.LeaseID  `json:"lease,string,omitempty"`
}

// RangeRequest reads one key, or with RangeEnd the keys below a prefix.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
}

// The only comparison that the store supports.
const (
	TargetMod   = "MOD"
	ResultEqual = "EQUAL"
)

// Compare is the condition of a transaction; ModRevision 0 requires that the record does not exist.
type Compare struct {
	Key         []byte             `json:"key"`
	Target      string             `json:"target"`
	Result      string             `json:"result"`
	ModRevision jaybarrow.Revision `json:"mod_revision,string"`
}

// PutRequest writes a record.
type PutRequest struct {
	Key   []byte            `json:"key"`
	Value []byte            `json:"value"`
	Lease jaybarrow.LeaseID `json:"lease,string,omitempty"`
}

// DeleteRequest removes a record.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// RequestOp is one operation of a transaction; exactly one field is set.
type RequestOp struct {
	Put         *PutRequest    `json:"request_put,omitempty"`
	DeleteRange *DeleteRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest is a compare-and-swap: exactly one comparison and one operation.
type TxnRequest struct {
	Compare []Compare   `json:"compare"`
	Success []RequestOp `json:"success"`
}

// TxnResponse answers a TxnRequest; Succeeded is absent when the comparison failed.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

// GrantRequest creates a lease; TTL is in seconds.
type GrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

// LeaseRequest renews or ends a lease.
type LeaseRequest struct {
	ID jaybarrow.LeaseID `json:"ID,string"`
}

// LeaseResponse answers the calls on leases; TTL is 0 or absent when the lease has ended.
type LeaseResponse struct {
	Header Header            `json:"header"`
	ID     jaybarrow.LeaseID `json:"ID,string,omitempty"`
	TTL    int64             `json:"TTL,string,omitempty"`
}

// KeepAliveResponse is one message of the keep-alive stream.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate selects the keys to watch; StartRevision is the first revision delivered.
type WatchCreate struct {
	Key            []byte             `json:"key"`
	RangeEnd       []byte             `json:"range_end,omitempty"`
	StartRevision  jaybarrow.Revision `json:"start_revision,string,omitempty"`
	ProgressNotify bool               `json:"progress_notify,omitempty"`
}

// EventDelete is the type of an event that removes a record; a put has no type.
const EventDelete = "DELETE"

// Event is one change.
type Event struct {
	Type string   `json:"type,omitempty"`
	Kv   KeyValue `json:"kv"`
}

// WatchResult is one message of a watch: its confirmation, changes, a cancellation, or otherwise a progress notice.
type WatchResult struct {
	Header          Header             `json:"header"`
	Created         bool               `json:"created,omitempty"`
	Canceled        bool               `json:"canceled,omitempty"`
	CompactRevision jaybarrow.Revision `json:"compact_revision,string,omitempty"`
	Events          []Event            `json:"events,omitempty"`
}

// WatchResponse is the envelope of a WatchResult.
type WatchResponse struct {
	Result WatchResult `json:"result"`
}

// The gRPC status codes that the gateway puts into an ErrorResponse.
const (
	CodeInvalidArgument = 3
	CodeNotFound        = 5
	CodeUnavailable     = 14
)

// ErrorResponse is the body of an answer with an error status.
type ErrorResponse struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// HostsResponse is the platform's list of hosts, which lags behind their actual state.
type HostsResponse struct {
	Hosts []jaybarrow.HostNotice `json:"hosts"`
}
