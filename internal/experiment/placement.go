package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/placement/leastloaded"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// The setting of the placement experiment: one pool, one quick queue, and one worker of ten with a fault from the start. No
// worker is ejected, so that the figures show what placement alone does.
const (
	placementWorkers = 10
	placementLength  = 5 * time.Minute
	placementLoad    = 0.6
	placementRun     = 300 * time.Millisecond
	failFast         = 5 * time.Millisecond
	failSlow         = time.Second
)

const (
	metricFailed Metric = "failed%"
	metricFaulty Metric = "attemptsOnFaulty%"
	metricSlots  Metric = "slotTimeOnFaulty%"
)

var placementMetrics = []Metric{metricInTime, metricFailed, metricFaulty, metricSlots}

// fault is what the faulty worker does with each task.
type fault struct {
	name   string
	faulty bool
	does   func(j *job) attempt
}

func faults() []fault {
	return []fault{
		{"no fault", false, nil},
		{"fails fast", true, func(*job) attempt { return attempt{failFast, jaybarrow.KindWorkerFailed} }},
		{"hangs", true, func(*job) attempt { return attempt{jaybarrow.TaskLease, jaybarrow.KindWorkerLost} }},
		{"fails slowly", true, func(*job) attempt { return attempt{failSlow, jaybarrow.KindWorkerFailed} }},
		{"answers five times slower", true, func(j *job) attempt { return attempt{took: 5 * j.run} }},
	}
}

func runPlacement(seed uint64) []Row {
	settings := schedule.Settings{MaxWaiting: 10000, Admission: true}
	models := []model{
		{"two choices", newFairShare, newTwoChoices, settings, 0.9, false},
		{"least loaded", newFairShare, func(*rand.Rand) jaybarrow.Placement { return leastloaded.New() }, settings, 0.9, false},
		{"random", newFairShare, newRandom, settings, 0.9, false},
	}
	var rows []Row
	for _, f := range faults() {
		for _, m := range models {
			rows = append(rows, Row{Variant: m.name, Subject: f.name, Values: runFault(seed, m, f)})
		}
	}
	return rows
}

func runFault(seed uint64, m model, f fault) map[Metric]float64 {
	l := newLoop()
	c := newCluster(l, rand.New(rand.NewPCG(seed, 1)), m, placementWorkers, workerSlots)
	var calls counts
	var failed, attempts, onFaulty, slotTime, slotTimeOnFaulty float64
	c.behave = func(host jaybarrow.HostID, j *job) attempt {
		if f.faulty && host == hostID(0) {
			return f.does(j)
		}
		return attempt{took: j.run}
	}
	c.served = func(_ *job, host jaybarrow.HostID, from, to time.Time) {
		attempts++
		slotTime += to.Sub(from).Seconds()
		if host == hostID(0) {
			onFaulty++
			slotTimeOnFaulty += to.Sub(from).Seconds()
		}
	}
	r := rand.New(rand.NewPCG(seed, 2))
	rate := placementLoad * placementWorkers * workerSlots / placementRun.Seconds()
	for at := seconds(r.ExpFloat64() / rate); at < placementLength; at += seconds(r.ExpFloat64() / rate) {
		run := logNormal(r, placementRun, 0.5)
		j := &job{
			team: "a", queue: "quick", class: jaybarrow.ClassQuick, share: 1, slots: 1, run: run, declared: run, target: quickTarget,
			done: func(o outcome) {
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
		metricFaulty: percent(onFaulty, attempts), metricSlots: percent(slotTimeOnFaulty, slotTime),
	}
}
