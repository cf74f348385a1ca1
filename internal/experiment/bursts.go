package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// The setting of the bursts experiment: 50 workers in 5 pools with one quick queue each. A queue spends burstLength of each
// period at five times its mean, which is one and a half times its pool's slots, and the rest at a twentieth of its mean.
const (
	burstPools    = 5
	burstWorkers  = 10
	burstsLength  = 320 * time.Second
	burstPeriod   = 32 * time.Second
	burstLength   = 6 * time.Second
	burstFactor   = 5.0
	lullFactor    = 0.05
	burstPeakLoad = 1.5 // of the pool's slots
	burstRun      = 500 * time.Millisecond
	burstTeams    = 3
	callerTries   = 5 // of one call, when callers retry
	firstRetry    = 200 * time.Millisecond
)

const (
	metricInTime   Metric = "inTime%"
	metricAnswered Metric = "answered%"
	metricUseful   Metric = "useful%ofIdeal"
	metricWasted   Metric = "wasted%ofWork"
	metricRecovery Metric = "normalAfterMs"
	metricWorst    Metric = "normalAfterWorstMs"
)

var burstsMetrics = []Metric{metricInTime, metricAnswered, metricUseful, metricWasted, metricRecovery, metricWorst}

// burstsVariants are the combinations of order, admission control and bounded queue.
func burstsVariants() []model {
	open := schedule.Settings{MaxWaiting: 1 << 30}
	admission, bounded, both := open, open, open
	admission.Admission = true
	bounded.MaxWaiting = 4 * burstWorkers * workerSlots // twice what a pool of these run times answers within the target
	both.Admission, both.MaxWaiting = true, bounded.MaxWaiting
	return []model{
		{"fair share, admission 0.5 and bound", newFairShare, newTwoChoices, both, 0.5, false},
		{"fair share, admission 0.75 and bound", newFairShare, newTwoChoices, both, 0.75, false},
		{"fair share, admission 0.9 and bound", newFairShare, newTwoChoices, both, 0.9, false},
		{"fair share, admission 0.9", newFairShare, newTwoChoices, admission, 0.9, false},
		{"fair share, bound", newFairShare, newTwoChoices, bounded, 0, false},
		{"fair share, neither", newFairShare, newTwoChoices, open, 0, false},
		{"one FIFO, admission 0.9 and bound", newFIFO, newTwoChoices, both, 0.9, false},
		{"one FIFO, neither", newFIFO, newTwoChoices, open, 0, false},
	}
}

func runBursts(seed uint64) []Row {
	var rows []Row
	for _, m := range burstsVariants() {
		for _, retries := range []bool{false, true} {
			subject := "callers give up"
			if retries {
				subject = "callers retry"
			}
			total := &burstsRun{}
			for pool := range burstPools {
				total.run(m, seed, pool, retries)
			}
			rows = append(rows, Row{Variant: m.name, Subject: subject, Values: total.values()})
		}
	}
	return rows
}

// call is a caller's wish for one answer; with retries it may be several requests.
type call struct {
	job   job
	first time.Duration
	tries int
}

type burstsRun struct {
	calls, inTime, answered   float64
	useful, ideal             float64 // slot-seconds of calls answered in time
	inOwnTime, total          float64 // slot-seconds of requests, each measured by its own target
	recoveries, sumOfRecovery float64
	worst                     time.Duration
}

func (b *burstsRun) values() map[Metric]float64 {
	return map[Metric]float64{
		metricInTime: percent(b.inTime, b.calls), metricAnswered: percent(b.answered, b.calls),
		metricUseful: percent(b.useful, b.ideal), metricWasted: 100 - percent(b.inOwnTime, b.total),
		metricRecovery: b.sumOfRecovery / max(b.recoveries, 1), metricWorst: float64(b.worst.Milliseconds()),
	}
}

// run adds the run of one pool.
func (b *burstsRun) run(m model, seed uint64, pool int, retries bool) {
	l := newLoop()
	r := rand.New(rand.NewPCG(seed, uint64(1000+pool)))
	c := newCluster(l, r, m, burstWorkers, workerSlots)
	c.served = func(_ *job, _ jaybarrow.HostID, from, to time.Time) { b.total += to.Sub(from).Seconds() }
	offset := time.Duration(pool) * burstPeriod / burstPools
	calls := burstCalls(rand.New(rand.NewPCG(seed, uint64(pool))), offset, burstPeakLoad)
	late := make(map[int]time.Duration) // by burst: the last call after its end that was not answered in time
	for _, k := range calls {
		b.calls++
		k.job.done = func(o outcome) {
			if o.inTime {
				b.inOwnTime += k.job.run.Seconds()
			}
			switch {
			case o.kind == "":
				b.answered++
				b.settle(k, offset, late, l.elapsed() <= k.first+quickTarget)
			case retries && k.tries < callerTries:
				k.tries++
				wait := time.Duration(float64(firstRetry<<(k.tries-1)) * (0.5 + r.Float64()))
				l.after(wait, func() { c.submit(&k.job) })
			default:
				b.settle(k, offset, late, false)
			}
		}
		l.at(epoch.Add(k.first), func() { c.submit(&k.job) })
	}
	l.runUntil(epoch.Add(burstsLength + time.Minute))
	b.ideal += idealUseful(calls)
	for burst := range int((burstsLength - offset) / burstPeriod) {
		b.recoveries++
		b.sumOfRecovery += float64(late[burst].Milliseconds())
		b.worst = max(b.worst, late[burst])
	}
}

// settle counts the end of a call; calls that run longer than the target say nothing about recovery.
func (b *burstsRun) settle(k *call, offset time.Duration, late map[int]time.Duration, inTime bool) {
	if inTime {
		b.inTime++
		b.useful += k.job.run.Seconds()
		return
	}
	since := k.first - offset
	burst := int(since / burstPeriod)
	if after := since%burstPeriod - burstLength; since >= 0 && k.job.run < quickTarget && after > late[burst] {
		late[burst] = after
	}
}

// burstCalls generates Poisson arrivals of a queue whose bursts begin at the offset and every period after it, and need the
// part peak of the pool's slots.
func burstCalls(r *rand.Rand, offset time.Duration, peak float64) []*call {
	highest := peak * burstWorkers * workerSlots / burstRun.Seconds()
	var calls []*call
	for at := seconds(r.ExpFloat64() / highest); at < burstsLength; at += seconds(r.ExpFloat64() / highest) {
		since := at - offset
		inBurst := since >= 0 && since%burstPeriod < burstLength
		if !inBurst && r.Float64() > lullFactor/burstFactor {
			continue
		}
		run := logNormal(r, burstRun, 0.5)
		calls = append(calls, &call{first: at, job: job{
			team: jaybarrow.TeamID(rune('a' + r.IntN(burstTeams))), queue: "quick", class: jaybarrow.ClassQuick, share: 1, slots: 1,
			run: run, declared: time.Duration(declaresAnything(r) * float64(run)), target: quickTarget,
		}})
	}
	return calls
}

// idealUseful is the work that a scheduler with known run times and a fluid pool answers in time when it takes each call that
// still can be: the backlog is worked off by all slots, and a call is taken if the backlog and its own run time fit.
func idealUseful(calls []*call) float64 {
	const slots = burstWorkers * workerSlots
	backlog, useful, last := 0.0, 0.0, time.Duration(0)
	for _, k := range calls {
		backlog = max(backlog-(k.first-last).Seconds()*slots, 0)
		last = k.first
		run := k.job.run.Seconds()
		if backlog/slots+run <= quickTarget.Seconds() {
			backlog += run
			useful += run
		}
	}
	return useful
}
