package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/order/fairshare"
	"github.com/jaybarrow/jaybarrow/internal/order/fifo"
	"github.com/jaybarrow/jaybarrow/internal/order/roundrobin"
	"github.com/jaybarrow/jaybarrow/internal/placement/random"
	"github.com/jaybarrow/jaybarrow/internal/placement/twochoices"
	"github.com/jaybarrow/jaybarrow/internal/schedule"
)

// The shares experiment compares the slot time that each team of one pool receives with what its share entitles it to.
const (
	sharesWorkers = 9
	workerSlots   = 8
	sharesLength  = 20 * time.Minute
	quickRun      = 200 * time.Millisecond // mean
	quickTarget   = 2 * time.Second
	slowRun       = 8 * time.Second // mean
	slowTarget    = 5 * time.Minute
	quickFraction = 0.2 // of a team's work
)

// teamLoad describes the work that a team offers. Without work between idleFrom and idleTo, it returns from idle.
type teamLoad struct {
	id       jaybarrow.TeamID
	share    jaybarrow.Share
	load     float64                    // multiple of the team's share of a full pool
	declared func(r *rand.Rand) float64 // draws the ratio of the declared to the actual run time
	idleFrom time.Duration
	idleTo   time.Duration
}

// fixedFactor returns a function that always draws the factor.
func fixedFactor(factor float64) func(*rand.Rand) float64 {
	return func(*rand.Rand) float64 { return factor }
}

// randomFactor draws a factor between 0.1 and 10 whose logarithm is uniform.
func randomFactor(r *rand.Rand) float64 { return math.Pow(10, 2*r.Float64()-1) }

// sharesTeams has a team with more work than its share, three with less, of which one returns from idle, and one with eight times
// its share.
var sharesTeams = []teamLoad{
	{id: "backlogged", share: 4, load: 1.3, declared: fixedFactor(10)},
	{id: "steady", share: 2, load: 0.8, declared: fixedFactor(0.1)},
	{id: "small", share: 1, load: 0.8, declared: fixedFactor(1)},
	{id: "flooding", share: 1, load: 8, declared: randomFactor},
	{id: "returning", share: 2, load: 0.8, declared: fixedFactor(10), idleFrom: 5 * time.Minute, idleTo: 11 * time.Minute},
}

const (
	metricMean10s  Metric = "off10sMean%"
	metricWorst10s Metric = "off10sWorst%"
	metricMean1m   Metric = "off1mMean%"
	metricWorst1m  Metric = "off1mWorst%"
	metricMean10m  Metric = "off10mMean%"
	metricWorst10m Metric = "off10mWorst%"
	metricQuick    Metric = "quickInTime%"
	metricSlow     Metric = "slowInTime%"
)

var sharesMetrics = []Metric{
	metricMean10s, metricWorst10s, metricMean1m, metricWorst1m, metricMean10m, metricWorst10m, metricQuick, metricSlow,
}

// window is a length of time over which received and entitled slot time are compared, with the metrics of their deviation.
type window struct {
	length      time.Duration
	mean, worst Metric
}

var windows = []window{
	{10 * time.Second, metricMean10s, metricWorst10s},
	{time.Minute, metricMean1m, metricWorst1m},
	{10 * time.Minute, metricMean10m, metricWorst10m},
}

func newRandom(r *rand.Rand) jaybarrow.Placement     { return random.New(r) }
func newTwoChoices(r *rand.Rand) jaybarrow.Placement { return twochoices.New(r) }
func newFairShare() jaybarrow.Order                  { return fairshare.New() }
func newFIFO() jaybarrow.Order                       { return fifo.New() }
func newRoundRobin() jaybarrow.Order                 { return roundrobin.New() }

func sharesVariants() []poolVariant {
	noAdmission := schedule.Settings{MaxWaiting: 50000}
	withReserve := noAdmission
	withReserve.Admission, withReserve.QuickReserve = true, 0.25
	tenthReserve, noReserve := withReserve, withReserve
	tenthReserve.QuickReserve, noReserve.QuickReserve = 0.1, 0
	return []poolVariant{
		{"fair share, reserve 0.25", newFairShare, newTwoChoices, withReserve, 0.9, false},
		{"fair share, reserve 0.1", newFairShare, newTwoChoices, tenthReserve, 0.9, false},
		{"fair share, no reserve", newFairShare, newTwoChoices, noReserve, 0.9, false},
		{"one FIFO", newFIFO, newTwoChoices, noAdmission, 0, false},
		{"round robin", newRoundRobin, newTwoChoices, noAdmission, 0, false},
		{"nine fair shares, reserve 0.1", newFairShare, newTwoChoices, tenthReserve, 0.9, true},
	}
}

func runShares(seed uint64) []Row {
	entitled := idealShares(offered(seed))
	var rows []Row
	for _, v := range sharesVariants() {
		rows = append(rows, runSharesVariant(v, seed).rows(v.name, entitled)...)
	}
	return rows
}

// arrival is a generated job with its arrival time.
type arrival struct {
	after time.Duration // from the start of the run
	team  int           // index in sharesTeams
	job   job
}

// offered generates the arrivals of all teams, which are the same for every variant of a run. The first job needs more slots than
// any host has, so that it would block a queue that waits for its head.
func offered(seed uint64) []arrival {
	arrivals := []arrival{{0, 2, job{
		team: "small", queue: "never", class: jaybarrow.ClassSlow, share: 1, slots: 100, run: slowRun, declared: slowRun, target: slowTarget,
	}}}
	total := jaybarrow.Share(0)
	for _, t := range sharesTeams {
		total += t.share
	}
	for i, t := range sharesTeams {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		work := t.load * float64(t.share/total) * sharesWorkers * workerSlots
		arrivals = append(arrivals, t.arrivals(r, i, jaybarrow.ClassQuick, quickFraction*work)...)
		arrivals = append(arrivals, t.arrivals(r, i, jaybarrow.ClassSlow, (1-quickFraction)*work)...)
	}
	return arrivals
}

// arrivals generates Poisson arrivals with log-normal run times. Work is the offered load in slot-seconds per second.
func (t teamLoad) arrivals(r *rand.Rand, index int, class jaybarrow.Class, work float64) []arrival {
	mean, target := quickRun, quickTarget
	if class == jaybarrow.ClassSlow {
		mean, target = slowRun, slowTarget
	}
	var arrivals []arrival
	rate := work / mean.Seconds()
	for at := seconds(r.ExpFloat64() / rate); at < sharesLength; at += seconds(r.ExpFloat64() / rate) {
		run := logNormal(r, mean, 0.5)
		declared := time.Duration(t.declared(r) * float64(run))
		if at >= t.idleFrom && at < t.idleTo {
			continue
		}
		arrivals = append(arrivals, arrival{at, index, job{
			team: t.id, queue: jaybarrow.QueueID(class), class: class, share: t.share, slots: 1, run: run, declared: declared, target: target,
		}})
	}
	return arrivals
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// logNormal draws a run time from the log-normal distribution with the mean, where sigma is the standard deviation of the
// logarithm.
func logNormal(r *rand.Rand, mean time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(mean) * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2))
}
