package pool

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// HostSource provides the hosts that this entry host may use and the shares of the teams.
type HostSource interface {
	// PoolHosts returns the hosts of the pool and whether each accepts work.
	PoolHosts(pool jaybarrow.PoolID) []schedule.HostView
	// Host returns the host's record.
	Host(id jaybarrow.HostID) (jaybarrow.Host, bool)
	// Share returns the team's share.
	Share(team jaybarrow.TeamID) jaybarrow.Share
	// Changed returns a channel that is closed at the next change of a pool's hosts or of whether they accept work.
	Changed() <-chan struct{}
}

// Observer receives the outcome of each task on a host, for worker health. A failure after a cancellation is not reported,
// because it shows no fault of the host.
type Observer interface {
	Observe(pool jaybarrow.PoolID, host jaybarrow.HostID, outcome error, took time.Duration)
}

// Signals provides the measurements of a host that placement uses.
type Signals interface {
	// Signals returns the host's consecutive failures and smoothed latency; both are 0 when unknown.
	Signals(host jaybarrow.HostID) (failures int, latency time.Duration)
}

// Estimates predicts run times from the observed run times of each team and queue.
type Estimates interface {
	// Estimate returns the expected run time; 0 when unknown.
	Estimate(team jaybarrow.TeamID, queue jaybarrow.QueueID, declared time.Duration) time.Duration
	// Quantile returns the q-quantile of the run time; 0 when unknown.
	Quantile(team jaybarrow.TeamID, queue jaybarrow.QueueID, declared time.Duration, q float64) time.Duration
	// Observe records the run time of a task that succeeded.
	Observe(team jaybarrow.TeamID, queue jaybarrow.QueueID, declared, ran time.Duration)
}

// Deps are the dependencies of a Scheduler; New replaces optional ones that are nil.
type Deps struct {
	Clock     jaybarrow.Clock
	Log       zerolog.Logger
	Hosts     HostSource
	Workers   jaybarrow.Workers
	Permits   jaybarrow.Permits
	NewPool   func() *schedule.Pool
	NewTaskID func(jaybarrow.RequestID) jaybarrow.TaskID
	Entry     jaybarrow.EntryID
	// Incarnation returns the incarnation of this process; 0 before it is registered.
	Incarnation func() jaybarrow.Incarnation
	StartWindow time.Duration // a task must start at the worker within this time after the attempt begins
	// CheckKey returns an error when no task may start for a request with the key, which is empty for a request without one.
	CheckKey func(jaybarrow.KeyHash) error

	Observer  Observer          // optional
	Signals   Signals           // optional
	Estimates Estimates         // optional; without it the declared run time is used
	Meter     jaybarrow.Meter   // optional
	Journal   jaybarrow.Journal // optional
	// AdmissionQuantile is the quantile of the run time that the check of a request's deadline assumes; 0 means
	// defaultAdmissionQuantile.
	AdmissionQuantile float64
	OnFault           rungroup.Handler // called when a background part fails; nil crashes the process
}

// defaultAdmissionQuantile keeps slots for requests that will meet their deadlines: with the median, half of the requests that
// are only just admitted end late and their work is lost (docs/measurements.md, bursts).
const defaultAdmissionQuantile = 0.9

func (d Deps) withDefaults() Deps {
	if d.Observer == nil {
		d.Observer = noop{}
	}
	if d.Signals == nil {
		d.Signals = noop{}
	}
	if d.Estimates == nil {
		d.Estimates = declaredEstimates{}
	}
	if d.Meter == nil {
		d.Meter = noop{}
	}
	if d.Journal == nil {
		d.Journal = noop{}
	}
	if d.AdmissionQuantile == 0 {
		d.AdmissionQuantile = defaultAdmissionQuantile
	}
	return d
}

// noop replaces optional dependencies that are nil: it discards reports and returns 0 signals.
type noop struct{}

func (noop) Observe(jaybarrow.PoolID, jaybarrow.HostID, error, time.Duration) {}

func (noop) Signals(jaybarrow.HostID) (int, time.Duration) { return 0, 0 }

func (noop) Started(jaybarrow.TeamID, jaybarrow.Class, time.Duration) {}

func (noop) Answered(jaybarrow.TeamID, jaybarrow.Class, jaybarrow.ErrorKind, time.Duration) {}

func (noop) Served(jaybarrow.TeamID, jaybarrow.Slots, time.Duration) {}

func (noop) Note(subject jaybarrow.Subject, decision, reason string) {}

// declaredEstimates returns the declared run times as estimates.
type declaredEstimates struct{}

func (declaredEstimates) Estimate(_ jaybarrow.TeamID, _ jaybarrow.QueueID, declared time.Duration) time.Duration {
	return declared
}

func (declaredEstimates) Quantile(_ jaybarrow.TeamID, _ jaybarrow.QueueID, declared time.Duration, _ float64) time.Duration {
	return declared
}

func (declaredEstimates) Observe(jaybarrow.TeamID, jaybarrow.QueueID, time.Duration, time.Duration) {}
