package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// The wide experiment simulates one pool in which one-slot jobs are always waiting. Another team of equal share submits a job of
// several slots in each widePeriod, and has quick work with the bursts of the mix experiment.
const (
	wideRun     = 2 * time.Second // mean
	widePeriod  = 10 * time.Second
	wideBacklog = 2 * burstWorkers * workerSlots // one-slot jobs, running and waiting
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
			v := poolVariant{name, newFairShare, newTwoChoices, settings, 0.9, false}
			rows = append(rows, Row{Variant: name, Subject: fmt.Sprintf("jobs of %d slots", slots), Values: runWideVariant(seed, v, slots)})
		}
	}
	return rows
}

// runWideVariant simulates one variant with wide jobs of the given slots and returns its figures.
func runWideVariant(seed uint64, v poolVariant, slots jaybarrow.Slots) map[Metric]float64 {
	l := newLoop()
	c := newCluster(l, rand.New(rand.NewPCG(seed, 1)), v, burstWorkers, workerSlots)
	end := epoch.Add(burstsLength)
	var quick, wide requestCounts
	var busy, totalWait, worstWait float64
	recordWait := func(d time.Duration) {
		totalWait += float64(d.Milliseconds())
		worstWait = max(worstWait, float64(d.Milliseconds()))
	}
	c.onAttemptEnd = func(j *job, _ jaybarrow.HostID, from, to time.Time) {
		busy += max(earliest(to, end).Sub(from).Seconds(), 0) * float64(j.slots)
		if j.slots > 1 {
			recordWait(earliest(from, end).Sub(j.arrived))
			if from.Before(end) {
				wide.inTime++ // started within the run
			}
		}
	}
	r := rand.New(rand.NewPCG(seed, 2))
	for range wideBacklog {
		submitSmallJob(c, r)
	}
	for at := widePeriod; at < burstsLength; at += widePeriod {
		wide.offered++
		run := logNormal(r, wideRun, 0.5)
		l.at(epoch.Add(at), func() {
			c.submit(&job{
				team: "wide", queue: "wide", class: jaybarrow.ClassSlow, share: 1, slots: slots, run: run, declared: run,
				target: time.Hour, onEnd: func(outcome) {},
			})
		})
	}
	for _, k := range burstCalls(rand.New(rand.NewPCG(seed, 3)), burstPeriod, mixPeakLoad) {
		quick.offered++
		k.job.team = "wide"
		k.job.onEnd = func(o outcome) {
			if o.inTime {
				quick.inTime++
			}
		}
		l.at(epoch.Add(k.firstAt), func() { c.submit(&k.job) })
	}
	// No one-slot job is submitted after end, so wide jobs that have not started by then start soon after. Their wait until end
	// counts.
	l.runUntil(end.Add(10 * time.Minute))
	return map[Metric]float64{
		metricWideStarted: percent(wide.inTime, wide.offered), metricWideWait: totalWait / max(wide.offered, 1), metricWideWorst: worstWait,
		metricQuick: percent(quick.inTime, quick.offered),
		metricBusy:  percent(busy, burstWorkers*workerSlots*burstsLength.Seconds()),
	}
}

// submitSmallJob submits a one-slot job and, when it ends, the next one, until the end of the measured time, so that the backlog
// stays constant.
func submitSmallJob(c *cluster, r *rand.Rand) {
	if c.loop.elapsed() >= burstsLength {
		return
	}
	run := logNormal(r, wideRun, 0.5)
	c.submit(&job{
		team: "small", queue: "small", class: jaybarrow.ClassSlow, share: 1, slots: 1, run: run, declared: run, target: time.Hour,
		onEnd: func(outcome) { submitSmallJob(c, r) },
	})
}
