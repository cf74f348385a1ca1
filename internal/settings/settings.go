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
}

// Entry names this entry host and its addresses.
type Entry struct {
	ID              jaybarrow.EntryID
	DataCentre      jaybarrow.DataCentreID
	CallerAddress   jaybarrow.Address
	PeerAddress     jaybarrow.Address
	OperatorKeyHash jaybarrow.KeyHash // empty: the operators' routes are closed
	LogLevel        string
}

// Peer is another entry host.
type Peer struct {
	ID         jaybarrow.EntryID
	DataCentre jaybarrow.DataCentreID
	Address    jaybarrow.Address
}

// Platform is the platform's service.
type Platform struct {
	StoreAddress jaybarrow.Address
	CallTimeout  time.Duration
}

// Queues bounds what waits on this entry host.
type Queues struct {
	MaxWaiting        int
	MaxWaitingPerTeam int
	MaxBodyBytes      int
}

// Workers bounds connections to and calls of workers.
type Workers struct {
	ConnectionsPerWorker int
	DialTimeout          time.Duration
	CallTimeout          time.Duration
	StartWindow          time.Duration
}

// CutOffRule says what happens to keyed work when the configuration may be out of date.
type CutOffRule string

// The rules for an entry host that is cut off.
const (
	CutOffRefuse CutOffRule = "refuse"
	CutOffServe  CutOffRule = "serve"
)

// Keys says how fresh the configuration must be for keyed work.
type Keys struct {
	WhenCutOff CutOffRule
	Freshness  time.Duration
}

// Claims bounds the rate of claims of request ids.
type Claims struct {
	PerSecond int
}

// Moves says whether and how eagerly hosts are moved between pools.
type Moves struct {
	Automatic      bool
	EconomyPercent int // 0: nearness to targets and shares first; 100: few moves and a small spare pool first
}

// Shutdown bounds a graceful shutdown.
type Shutdown struct {
	Grace time.Duration
}

// Defaults returns the settings of an empty file; the entry host's id, data centre and addresses have no default.
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
		// Slow work that must finish by dawn runs for hours, and a planned stop cuts off no request.
		Shutdown: Shutdown{Grace: 12 * time.Hour},
	}
}
