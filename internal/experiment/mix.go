package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// The setting of the mix experiment: one pool in which one team always has long slow work waiting, and another of equal share has
// quick work whose bursts need half of the pool.
const (
	mixLongRun  = time.Minute
	mixPeakLoad = 0.5 // of the pool's slots
	mixBacklog  = 2 * burstWorkers * workerSlots
)

const (
	metricBusy Metric = "slotsBusy%"
	metricWork Metric = "slowWork%ofSlots"
)

var mixMetrics = []Metric{metricQuick, metricWork, metricBusy}

func runMix(seed uint64) []Row {
	var rows []Row
	for _, fraction := range []float64{0, 0.1, 0.25, 0.5} {
		settings := schedule.Settings{MaxWaiting: 50000, Admission: true, QuickReserve: fraction}
		m := model{fmt.Sprintf("fair share, reserve %g", fraction), newFairShare, newTwoChoices, settings, 0.9, false}
		rows = append(rows, Row{Variant: m.name, Subject: "all", Values: mixRun(seed, m)})
	}
	plain := schedule.Settings{MaxWaiting: 50000}
	for _, m := range []model{
		{"one FIFO", newFIFO, newTwoChoices, plain, 0, false},
		{"round robin", newRoundRobin, newTwoChoices, plain, 0, false},
	} {
		rows = append(rows, Row{Variant: m.name, Subject: "all", Values: mixRun(seed, m)})
	}
	return rows
}

func mixRun(seed uint64, m model) map[Metric]float64 {
	l := newLoop()
	c := newCluster(l, rand.New(rand.NewPCG(seed, 1)), m, burstWorkers, workerSlots)
	end := epoch.Add(burstsLength)
	var quick counts
	var busy, slow float64
	c.served = func(j *job, _ jaybarrow.HostID, from, to time.Time) {
		ran := max(earliest(to, end).Sub(from).Seconds(), 0)
		busy += ran
		if j.class == jaybarrow.ClassSlow {
			slow += ran
		}
	}
	r := rand.New(rand.NewPCG(seed, 2))
	for range mixBacklog {
		submitLong(c, r)
	}
	for _, k := range burstCalls(rand.New(rand.NewPCG(seed, 3)), burstPeriod, mixPeakLoad) {
		quick.offered++
		k.job.team = "quick"
		k.job.done = func(o outcome) {
			if o.inTime {
				quick.inTime++
			}
		}
		l.at(epoch.Add(k.first), func() { c.submit(&k.job) })
	}
	l.runUntil(end.Add(10 * time.Minute))
	slots := burstWorkers * workerSlots * burstsLength.Seconds()
	return map[Metric]float64{
		metricQuick: percent(quick.inTime, quick.offered), metricWork: percent(slow, slots), metricBusy: percent(busy, slots),
	}
}

// submitLong submits a long job that is replaced by another when it ends, during the run.
func submitLong(c *cluster, r *rand.Rand) {
	if c.loop.elapsed() >= burstsLength {
		return
	}
	run := logNormal(r, mixLongRun, 0.5)
	c.submit(&job{
		team: "slow", queue: "slow", class: jaybarrow.ClassSlow, share: 1, slots: 1, run: run,
		declared: time.Duration(declaresAnything(r) * float64(run)), target: time.Hour,
		done: func(outcome) { submitLong(c, r) },
	})
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
