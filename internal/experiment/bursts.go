package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// The bursts experiment simulates 50 workers in 5 pools with one quick queue each. A queue spends burstLength of each period at
// five times its mean load, which needs one and a half times its pool's slots, and the rest at a twentieth of its mean load.
const (
	burstPools       = 5
	burstWorkers     = 10
	burstsLength     = 320 * time.Second
	burstPeriod      = 32 * time.Second
	burstLength      = 6 * time.Second
	burstFactor      = 5.0                    // load in a burst, relative to the mean load
	lullFactor       = 0.05                   // load between bursts, relative to the mean load
	burstPeakLoad    = 1.5                    // of the pool's slots
	burstRun         = 500 * time.Millisecond // mean
	burstTeams       = 3
	maxCallerRetries = 5                      // of one call, when callers retry
	firstRetryDelay  = 200 * time.Millisecond // doubles with each retry
)

const (
	metricInTime        Metric = "inTime%"
	metricAnswered      Metric = "answered%"
	metricUseful        Metric = "useful%ofIdeal"
	metricWasted        Metric = "wasted%ofWork"
	metricRecovery      Metric = "normalAfterMs"
	metricWorstRecovery Metric = "normalAfterWorstMs"
)

var burstsMetrics = []Metric{metricInTime, metricAnswered, metricUseful, metricWasted, metricRecovery, metricWorstRecovery}

// burstsVariants returns combinations of order, admission control and bounded queue.
func burstsVariants() []poolVariant {
	unbounded := schedule.Settings{MaxWaiting: 1 << 30}
	admission, bounded, both := unbounded, unbounded, unbounded
	admission.Admission = true
	bounded.MaxWaiting = 4 * burstWorkers * workerSlots // jobs that the pool answers within the target at the mean run time
	both.Admission, both.MaxWaiting = true, bounded.MaxWaiting
	return []poolVariant{
		{"fair share, admission 0.5 and bound", newFairShare, newTwoChoices, both, 0.5, false},
		{"fair share, admission 0.75 and bound", newFairShare, newTwoChoices, both, 0.75, false},
		{"fair share, admission 0.9 and bound", newFairShare, newTwoChoices, both, 0.9, false},
		{"fair share, admission 0.9", newFairShare, newTwoChoices, admission, 0.9, false},
		{"fair share, bound", newFairShare, newTwoChoices, bounded, 0, false},
		{"fair share, neither", newFairShare, newTwoChoices, unbounded, 0, false},
		{"one FIFO, admission 0.9 and bound", newFIFO, newTwoChoices, both, 0.9, false},
		{"one FIFO, neither", newFIFO, newTwoChoices, unbounded, 0, false},
	}
}

func runBursts(seed uint64) []Row {
	var rows []Row
	for _, v := range burstsVariants() {
		for _, retries := range []bool{false, true} {
			subject := "callers give up"
			if retries {
				subject = "callers retry"
			}
			total := &burstsRun{}
			for pool := range burstPools {
				total.run(v, seed, pool, retries)
			}
			rows = append(rows, Row{Variant: v.name, Subject: subject, Values: total.values()})
		}
	}
	return rows
}

// call is a call of a caller, which consists of several requests when the caller retries.
type call struct {
	job        job
	firstAt    time.Duration // time of the first request, from the start of the run
	retryCount int
}

// burstsRun collects the figures of one variant over all pools.
type burstsRun struct {
	calls, inTime, answered float64
	usefulWork, idealWork   float64 // slot-seconds of calls answered in time, and the most that is possible
	onTimeWork, totalWork   float64 // slot-seconds of requests that met their own target, and of all attempts
	recoveries, recoverySum float64 // recoverySum in milliseconds
	worstRecovery           time.Duration
}

func (b *burstsRun) values() map[Metric]float64 {
	return map[Metric]float64{
		metricInTime: percent(b.inTime, b.calls), metricAnswered: percent(b.answered, b.calls),
		metricUseful: percent(b.usefulWork, b.idealWork), metricWasted: 100 - percent(b.onTimeWork, b.totalWork),
		metricRecovery: b.recoverySum / max(b.recoveries, 1), metricWorstRecovery: float64(b.worstRecovery.Milliseconds()),
	}
}

// run simulates one pool and adds its figures.
func (b *burstsRun) run(v poolVariant, seed uint64, pool int, retries bool) {
	l := newLoop()
	r := rand.New(rand.NewPCG(seed, uint64(1000+pool)))
	c := newCluster(l, r, v, burstWorkers, workerSlots)
	c.onAttemptEnd = func(_ *job, _ jaybarrow.HostID, from, to time.Time) { b.totalWork += to.Sub(from).Seconds() }
	offset := time.Duration(pool) * burstPeriod / burstPools
	calls := burstCalls(rand.New(rand.NewPCG(seed, uint64(pool))), offset, burstPeakLoad)
	lastLate := make(map[int]time.Duration) // by burst, from its end to the last call after it that was not answered in time
	for _, k := range calls {
		b.calls++
		k.job.onEnd = func(o outcome) {
			if o.inTime {
				b.onTimeWork += k.job.run.Seconds()
			}
			switch {
			case o.kind == "":
				b.answered++
				b.recordEnd(k, offset, lastLate, l.elapsed() <= k.firstAt+quickTarget)
			case retries && k.retryCount < maxCallerRetries:
				k.retryCount++
				wait := time.Duration(float64(firstRetryDelay<<(k.retryCount-1)) * (0.5 + r.Float64()))
				l.after(wait, func() { c.submit(&k.job) })
			default:
				b.recordEnd(k, offset, lastLate, false)
			}
		}
		l.at(epoch.Add(k.firstAt), func() { c.submit(&k.job) })
	}
	l.runUntil(epoch.Add(burstsLength + time.Minute))
	b.idealWork += idealUseful(calls)
	for burst := range int((burstsLength - offset) / burstPeriod) {
		b.recoveries++
		b.recoverySum += float64(lastLate[burst].Milliseconds())
		b.worstRecovery = max(b.worstRecovery, lastLate[burst])
	}
}

// recordEnd counts the end of a call. A call that runs longer than the target is missed without a backlog too, so it does not
// count as part of the recovery.
func (b *burstsRun) recordEnd(k *call, offset time.Duration, lastLate map[int]time.Duration, inTime bool) {
	if inTime {
		b.inTime++
		b.usefulWork += k.job.run.Seconds()
		return
	}
	sinceOffset := k.firstAt - offset
	burst := int(sinceOffset / burstPeriod)
	if after := sinceOffset%burstPeriod - burstLength; sinceOffset >= 0 && k.job.run < quickTarget && after > lastLate[burst] {
		lastLate[burst] = after
	}
}

// burstCalls generates the Poisson arrivals of a queue. Its bursts begin at the offset and every burstPeriod after it; peak is the
// load in a burst as a multiple of the pool's slots.
func burstCalls(r *rand.Rand, offset time.Duration, peak float64) []*call {
	peakRate := peak * burstWorkers * workerSlots / burstRun.Seconds()
	var calls []*call
	for at := seconds(r.ExpFloat64() / peakRate); at < burstsLength; at += seconds(r.ExpFloat64() / peakRate) {
		sinceOffset := at - offset
		inBurst := sinceOffset >= 0 && sinceOffset%burstPeriod < burstLength
		if !inBurst && r.Float64() > lullFactor/burstFactor {
			continue
		}
		run := logNormal(r, burstRun, 0.5)
		calls = append(calls, &call{firstAt: at, job: job{
			team: jaybarrow.TeamID(rune('a' + r.IntN(burstTeams))), queue: "quick", class: jaybarrow.ClassQuick, share: 1, slots: 1,
			run: run, declared: time.Duration(randomFactor(r) * float64(run)), target: quickTarget,
		}})
	}
	return calls
}

// idealUseful returns the work in slot-seconds that an ideal scheduler answers in time. It knows the run times, all slots together
// process its backlog, and it accepts a call if the backlog and the call's own run time fit within the target.
func idealUseful(calls []*call) float64 {
	const slots = burstWorkers * workerSlots
	backlog, useful, last := 0.0, 0.0, time.Duration(0)
	for _, k := range calls {
		backlog = max(backlog-(k.firstAt-last).Seconds()*slots, 0)
		last = k.firstAt
		run := k.job.run.Seconds()
		if backlog/slots+run <= quickTarget.Seconds() {
			backlog += run
			useful += run
		}
	}
	return useful
}
