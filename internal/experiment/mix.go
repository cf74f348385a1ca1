package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// The mix experiment simulates one pool in which one team always has long slow jobs waiting, and another team of equal share has
// quick work whose bursts need half of the pool's slots. The figures show what a reserve for quick work costs.
const (
	mixSlowRun  = time.Minute                    // mean
	mixPeakLoad = 0.5                            // of the pool's slots
	mixBacklog  = 2 * burstWorkers * workerSlots // slow jobs, running and waiting
)

const (
	metricBusy     Metric = "slotsBusy%"
	metricSlowWork Metric = "slowWork%ofSlots"
)

var mixMetrics = []Metric{metricQuick, metricSlowWork, metricBusy}

func runMix(seed uint64) []Row {
	var rows []Row
	for _, fraction := range []float64{0, 0.1, 0.25, 0.5} {
		settings := schedule.Settings{MaxWaiting: 50000, Admission: true, QuickReserve: fraction}
		v := poolVariant{fmt.Sprintf("fair share, reserve %g", fraction), newFairShare, newTwoChoices, settings, 0.9, false}
		rows = append(rows, Row{Variant: v.name, Subject: "all", Values: runMixVariant(seed, v)})
	}
	noAdmission := schedule.Settings{MaxWaiting: 50000}
	for _, v := range []poolVariant{
		{"one FIFO", newFIFO, newTwoChoices, noAdmission, 0, false},
		{"round robin", newRoundRobin, newTwoChoices, noAdmission, 0, false},
	} {
		rows = append(rows, Row{Variant: v.name, Subject: "all", Values: runMixVariant(seed, v)})
	}
	return rows
}

// runMixVariant simulates one variant and returns its figures.
func runMixVariant(seed uint64, v poolVariant) map[Metric]float64 {
	l := newLoop()
	c := newCluster(l, rand.New(rand.NewPCG(seed, 1)), v, burstWorkers, workerSlots)
	end := epoch.Add(burstsLength)
	var quick requestCounts
	var busy, slow float64
	c.onAttemptEnd = func(j *job, _ jaybarrow.HostID, from, to time.Time) {
		ran := max(earliest(to, end).Sub(from).Seconds(), 0)
		busy += ran
		if j.class == jaybarrow.ClassSlow {
			slow += ran
		}
	}
	r := rand.New(rand.NewPCG(seed, 2))
	for range mixBacklog {
		submitSlowJob(c, r)
	}
	for _, k := range burstCalls(rand.New(rand.NewPCG(seed, 3)), burstPeriod, mixPeakLoad) {
		quick.offered++
		k.job.team = "quick"
		k.job.onEnd = func(o outcome) {
			if o.inTime {
				quick.inTime++
			}
		}
		l.at(epoch.Add(k.firstAt), func() { c.submit(&k.job) })
	}
	l.runUntil(end.Add(10 * time.Minute))
	slots := burstWorkers * workerSlots * burstsLength.Seconds()
	return map[Metric]float64{
		metricQuick: percent(quick.inTime, quick.offered), metricSlowWork: percent(slow, slots), metricBusy: percent(busy, slots),
	}
}

// submitSlowJob submits a slow job and, when it ends, the next one, until the end of the measured time, so that the backlog stays
// constant.
func submitSlowJob(c *cluster, r *rand.Rand) {
	if c.loop.elapsed() >= burstsLength {
		return
	}
	run := logNormal(r, mixSlowRun, 0.5)
	c.submit(&job{
		team: "slow", queue: "slow", class: jaybarrow.ClassSlow, share: 1, slots: 1, run: run,
		declared: time.Duration(randomFactor(r) * float64(run)), target: time.Hour,
		onEnd: func(outcome) { submitSlowJob(c, r) },
	})
}

// earliest returns the earlier of two times.
func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
