package pool

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// HostSource gives the hosts of a pool that this entry host may use.
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

// Observer learns the outcome of each task on a host, for worker health; a task that its caller cancelled is not reported.
type Observer interface {
	Observe(pool jaybarrow.PoolID, host jaybarrow.HostID, outcome error, took time.Duration)
}

// Signals gives what is known of a host, for placement.
type Signals interface {
	// Signals returns the consecutive failures and the smoothed latency; 0 when unknown.
	Signals(host jaybarrow.HostID) (failures int, latency time.Duration)
}

// Estimates learns run times by team and queue.
type Estimates interface {
	Estimate(team jaybarrow.TeamID, queue jaybarrow.QueueID, declared time.Duration) time.Duration
	Quantile(team jaybarrow.TeamID, queue jaybarrow.QueueID, declared time.Duration, q float64) time.Duration
	Observe(team jaybarrow.TeamID, queue jaybarrow.QueueID, declared, ran time.Duration)
}

// Deps are what a Scheduler depends on; New fills in the optional ones.
type Deps struct {
	Clock     jaybarrow.Clock
	Log       zerolog.Logger
	Hosts     HostSource
	Workers   jaybarrow.Workers
	Permits   jaybarrow.Permits
	NewPool   func() *schedule.Pool
	NewTaskID func(jaybarrow.RequestID) jaybarrow.TaskID
	Entry     jaybarrow.EntryID
	// Incarnation returns the registration of this process; 0 before it is registered.
	Incarnation func() jaybarrow.Incarnation
	StartWindow time.Duration // a task must start at the worker within this time of its decision

	Observer  Observer          // optional
	Signals   Signals           // optional
	Estimates Estimates         // optional; the declared run time without it
	Meter     jaybarrow.Meter   // optional
	Journal   jaybarrow.Journal // optional
	// AdmissionQuantile of the run time is assumed when a request's deadline is checked; 0 means defaultQuantile.
	AdmissionQuantile float64
}

// defaultQuantile keeps slots for requests that will be in time: with the median, half of the requests that are admitted at
// the limit end late and their work is lost (docs/measurements.md, bursts).
const defaultQuantile = 0.9

func (d Deps) withDefaults() Deps {
	if d.Observer == nil {
		d.Observer = absent{}
	}
	if d.Signals == nil {
		d.Signals = absent{}
	}
	if d.Estimates == nil {
		d.Estimates = declaredOnly{}
	}
	if d.Meter == nil {
		d.Meter = absent{}
	}
	if d.Journal == nil {
		d.Journal = absent{}
	}
	if d.AdmissionQuantile == 0 {
		d.AdmissionQuantile = defaultQuantile
	}
	return d
}

// absent stands for optional parts that were not given.
type absent struct{}

func (absent) Observe(jaybarrow.PoolID, jaybarrow.HostID, error, time.Duration) {}

func (absent) Signals(jaybarrow.HostID) (int, time.Duration) { return 0, 0 }

func (absent) Started(jaybarrow.TeamID, jaybarrow.Class, time.Duration) {}

func (absent) Answered(jaybarrow.TeamID, jaybarrow.Class, jaybarrow.ErrorKind, time.Duration) {}

func (absent) Served(jaybarrow.TeamID, jaybarrow.Slots, time.Duration) {}

func (absent) Note(subject jaybarrow.Subject, decision, reason string) {}

// declaredOnly estimates by the declared run time alone.
type declaredOnly struct{}

func (declaredOnly) Estimate(_ jaybarrow.TeamID, _ jaybarrow.QueueID, declared time.Duration) time.Duration {
	return declared
}

func (declaredOnly) Quantile(_ jaybarrow.TeamID, _ jaybarrow.QueueID, declared time.Duration, _ float64) time.Duration {
	return declared
}

func (declaredOnly) Observe(jaybarrow.TeamID, jaybarrow.QueueID, time.Duration, time.Duration) {}
