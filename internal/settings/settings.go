package settings

import (
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// Settings are the settings of one entry host.
type Settings struct {
	Entry    Entry
	Peers    []Peer
	Platform Platform
	Queues   Queues
	Workers  Workers
	Keys     Keys
	Claims   Claims
	Moves    Moves
	Shutdown Shutdown
	Limits   Limits
}

// Limits are what clients outside the limits must not exceed; see package clientlimit.
type Limits struct {
	MemoryMB    int // that the process may take
	Descriptors int // that the process may open; 0 means as many as the operating system allows
}

// Entry identifies this entry host and sets its addresses and logging.
type Entry struct {
	ID              jaybarrow.EntryID
	DataCentre      jaybarrow.DataCentreID
	CallerAddress   jaybarrow.Address
	PeerAddress     jaybarrow.Address
	OperatorKeyHash jaybarrow.KeyHash // empty disables the operators' routes
	LogLevel        string
}

// Peer is another entry host.
type Peer struct {
	ID         jaybarrow.EntryID
	DataCentre jaybarrow.DataCentreID
	Address    jaybarrow.Address
}

// Platform locates the platform's store and bounds calls of it.
type Platform struct {
	StoreAddress jaybarrow.Address
	CallTimeout  time.Duration
}

// Queues bounds the requests that wait on this entry host and the size of their bodies.
type Queues struct {
	MaxWaiting        int
	MaxWaitingPerTeam int
	MaxBodyBytes      int
}

// Workers bounds the connections to workers and the calls of them.
type Workers struct {
	ConnectionsPerWorker int
	DialTimeout          time.Duration
	CallTimeout          time.Duration
	StartWindow          time.Duration
}

// CutOffRule decides whether requests with a key are accepted while the configuration may be out of date.
type CutOffRule string

// The rules for an entry host that is cut off from the store.
const (
	CutOffRefuse CutOffRule = "refuse"
	CutOffServe  CutOffRule = "serve"
)

// Keys sets how recently the configuration must have been confirmed for requests with a key to be accepted.
type Keys struct {
	WhenCutOff CutOffRule
	Freshness  time.Duration // maximum age of the last confirmation
}

// Claims bounds the rate at which request ids are claimed in the store.
type Claims struct {
	PerSecond int
}

// Moves controls whether and how readily hosts are moved between pools automatically.
type Moves struct {
	Automatic      bool
	EconomyPercent int // 0 favours meeting targets and shares, 100 favours few moves and a small spare pool
}

// Shutdown bounds a graceful shutdown.
type Shutdown struct {
	Grace time.Duration // how long running requests may take to finish
}

// Defaults returns the default settings; the entry host's id, data centre and addresses have no default.
func Defaults() Settings {
	return Settings{
		Entry:    Entry{LogLevel: "info"},
		Platform: Platform{CallTimeout: time.Second},
		Queues:   Queues{MaxWaiting: 10000, MaxWaitingPerTeam: 2000, MaxBodyBytes: 1 << 20},
		// Only the scheduler in a worker's own data centre connects to it: 8 slots need about 10 of its 64 connections.
		Workers: Workers{ConnectionsPerWorker: 16, DialTimeout: time.Second, CallTimeout: 2 * time.Second, StartWindow: 2 * time.Second},
		Keys:    Keys{WhenCutOff: CutOffRefuse, Freshness: 5 * time.Second},
		// Nine entry hosts at this rate stay below the several hundred writes a second that the store takes.
		Claims: Claims{PerSecond: 20},
		Moves:  Moves{Automatic: true, EconomyPercent: 50},
		// Slow requests that must finish by the morning run for hours, and a planned stop must not interrupt any request.
		Shutdown: Shutdown{Grace: 12 * time.Hour},
		Limits:   Limits{MemoryMB: 256},
	}
}
