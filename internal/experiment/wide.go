package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// The setting of the wide experiment: one pool in which one-slot work always waits, and another team of equal share sends a
// job of several slots now and then, and has quick work that bursts as in the mix experiment.
const (
	wideRun     = 2 * time.Second
	widePeriod  = 10 * time.Second
	wideBacklog = 2 * burstWorkers * workerSlots
)

const (
	metricWideStarted Metric = "wideStarted%"
	metricWideWait    Metric = "wideWaitMeanMs"
	metricWideWorst   Metric = "wideWaitWorstMs"
)

var wideMetrics = []Metric{metricWideStarted, metricWideWait, metricWideWorst, metricQuick, metricBusy}

func runWide(seed uint64) []Row {
	var rows []Row
	for _, after := range []float64{0, 1, 4, 16} {
		name := "nothing gathers"
		if after > 0 {
			name = fmt.Sprintf("gather after %g usual run times", after)
		}
		settings := schedule.Settings{MaxWaiting: 50000, Admission: true, QuickReserve: 0.1, GatherAfter: after}
		for _, slots := range []jaybarrow.Slots{2, 4, 8} {
			m := model{name, newFairShare, newTwoChoices, settings, 0.9, false}
			rows = append(rows, Row{Variant: name, Subject: fmt.Sprintf("jobs of %d slots", slots), Values: wideValues(seed, m, slots)})
		}
	}
	return rows
}

func wideValues(seed uint64, m model, slots jaybarrow.Slots) map[Metric]float64 {
	l := newLoop()
	c := newCluster(l, rand.New(rand.NewPCG(seed, 1)), m, burstWorkers, workerSlots)
	end := epoch.Add(burstsLength)
	var quick, wide counts
	var busy, waited, worst float64
	wait := func(d time.Duration) {
		waited += float64(d.Milliseconds())
		worst = max(worst, float64(d.Milliseconds()))
	}
	c.served = func(j *job, _ jaybarrow.HostID, from, to time.Time) {
		busy += max(earliest(to, end).Sub(from).Seconds(), 0) * float64(j.slots)
		if j.slots > 1 {
			wait(earliest(from, end).Sub(j.arrived))
			if from.Before(end) {
				wide.inTime++
			}
		}
	}
	r := rand.New(rand.NewPCG(seed, 2))
	for range wideBacklog {
		submitShort(c, r)
	}
	for at := widePeriod; at < burstsLength; at += widePeriod {
		wide.offered++
		run := logNormal(r, wideRun, 0.5)
		l.at(epoch.Add(at), func() {
			c.submit(&job{
				team: "wide", queue: "wide", class: jaybarrow.ClassSlow, share: 1, slots: slots, run: run, declared: run,
				target: time.Hour, done: func(outcome) {},
			})
		})
	}
	for _, k := range burstCalls(rand.New(rand.NewPCG(seed, 3)), burstPeriod, mixPeakLoad) {
		quick.offered++
		k.job.team = "wide"
		k.job.done = func(o outcome) {
			if o.inTime {
				quick.inTime++
			}
		}
		l.at(epoch.Add(k.first), func() { c.submit(&k.job) })
	}
	// The backlog ends with the run, so jobs that started nowhere by its end start soon after and count with the wait until it.
	l.runUntil(end.Add(10 * time.Minute))
	return map[Metric]float64{
		metricWideStarted: percent(wide.inTime, wide.offered), metricWideWait: waited / max(wide.offered, 1), metricWideWorst: worst,
		metricQuick: percent(quick.inTime, quick.offered),
		metricBusy:  percent(busy, burstWorkers*workerSlots*burstsLength.Seconds()),
	}
}

// submitShort submits a one-slot job that is replaced by another when it ends, during the run.
func submitShort(c *cluster, r *rand.Rand) {
	if c.loop.elapsed() >= burstsLength {
		return
	}
	run := logNormal(r, wideRun, 0.5)
	c.submit(&job{
		team: "small", queue: "small", class: jaybarrow.ClassSlow, share: 1, slots: 1, run: run, declared: run, target: time.Hour,
		done: func(outcome) { submitShort(c, r) },
	})
}
