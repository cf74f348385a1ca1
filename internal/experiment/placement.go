package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/placement/leastloaded"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// The placement experiment simulates one pool with one quick queue, in which one of ten workers is faulty from the start. There is
// no outlier ejection, so that the figures show the effect of placement alone.
const (
	placementWorkers = 10
	placementLength  = 5 * time.Minute
	placementLoad    = 0.6                    // of the pool's slots
	placementRun     = 300 * time.Millisecond // mean
	fastFailureTime  = 5 * time.Millisecond
	slowFailureTime  = time.Second
)

const (
	metricFailed         Metric = "failed%"
	metricFaultyAttempts Metric = "attemptsOnFaulty%"
	metricFaultySlotTime Metric = "slotTimeOnFaulty%"
)

var placementMetrics = []Metric{metricInTime, metricFailed, metricFaultyAttempts, metricFaultySlotTime}

// fault describes how the faulty worker handles each job.
type fault struct {
	name          string
	faulty        bool
	faultyAttempt func(j *job) attempt // nil without a fault
}

func faults() []fault {
	return []fault{
		{"no fault", false, nil},
		{"fails fast", true, func(*job) attempt { return attempt{fastFailureTime, jaybarrow.KindWorkerFailed} }},
		{"hangs", true, func(*job) attempt { return attempt{jaybarrow.TaskLease, jaybarrow.KindWorkerLost} }},
		{"fails slowly", true, func(*job) attempt { return attempt{slowFailureTime, jaybarrow.KindWorkerFailed} }},
		{"answers five times slower", true, func(j *job) attempt { return attempt{duration: 5 * j.run} }},
	}
}

func runPlacement(seed uint64) []Row {
	settings := schedule.Settings{MaxWaiting: 10000, Admission: true}
	variants := []poolVariant{
		{"two choices", newFairShare, newTwoChoices, settings, 0.9, false},
		{"least loaded", newFairShare, func(*rand.Rand) jaybarrow.Placement { return leastloaded.New() }, settings, 0.9, false},
		{"random", newFairShare, newRandom, settings, 0.9, false},
	}
	var rows []Row
	for _, f := range faults() {
		for _, v := range variants {
			rows = append(rows, Row{Variant: v.name, Subject: f.name, Values: runFault(seed, v, f)})
		}
	}
	return rows
}

// runFault simulates one variant with one fault and returns its figures.
func runFault(seed uint64, v poolVariant, f fault) map[Metric]float64 {
	l := newLoop()
	c := newCluster(l, rand.New(rand.NewPCG(seed, 1)), v, placementWorkers, workerSlots)
	var calls requestCounts
	var failed, attempts, attemptsOnFaulty, slotTime, slotTimeOnFaulty float64
	c.execute = func(host jaybarrow.HostID, j *job) attempt {
		if f.faulty && host == hostID(0) {
			return f.faultyAttempt(j)
		}
		return attempt{duration: j.run}
	}
	c.onAttemptEnd = func(_ *job, host jaybarrow.HostID, from, to time.Time) {
		attempts++
		slotTime += to.Sub(from).Seconds()
		if host == hostID(0) {
			attemptsOnFaulty++
			slotTimeOnFaulty += to.Sub(from).Seconds()
		}
	}
	r := rand.New(rand.NewPCG(seed, 2))
	rate := placementLoad * placementWorkers * workerSlots / placementRun.Seconds()
	for at := seconds(r.ExpFloat64() / rate); at < placementLength; at += seconds(r.ExpFloat64() / rate) {
		run := logNormal(r, placementRun, 0.5)
		j := &job{
			team: "a", queue: "quick", class: jaybarrow.ClassQuick, share: 1, slots: 1, run: run, declared: run, target: quickTarget,
			onEnd: func(o outcome) {
				if o.inTime {
					calls.inTime++
				}
				if o.kind == jaybarrow.KindWorkerFailed || o.kind == jaybarrow.KindWorkerLost {
					failed++
				}
			},
		}
		calls.offered++
		l.at(epoch.Add(at), func() { c.submit(j) })
	}
	l.runUntil(epoch.Add(placementLength + time.Minute))
	return map[Metric]float64{
		metricInTime: percent(calls.inTime, calls.offered), metricFailed: percent(failed, calls.offered),
		metricFaultyAttempts: percent(attemptsOnFaulty, attempts), metricFaultySlotTime: percent(slotTimeOnFaulty, slotTime),
	}
}
