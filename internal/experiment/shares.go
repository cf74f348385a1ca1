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

// The setting of the shares experiment.
const (
	sharesWorkers = 9
	workerSlots   = 8
	sharesLength  = 20 * time.Minute
	quickRun      = 200 * time.Millisecond
	quickTarget   = 2 * time.Second
	slowRun       = 8 * time.Second
	slowTarget    = 5 * time.Minute
	quickPart     = 0.2 // of a team's work
)

// teamLoad is a team's offered work, as a multiple of its entitlement in a full pool.
type teamLoad struct {
	id       jaybarrow.TeamID
	share    jaybarrow.Share
	load     float64
	declared func(r *rand.Rand) float64 // declared to actual run time
	idleFrom time.Duration
	idleTo   time.Duration
}

func declares(factor float64) func(*rand.Rand) float64 {
	return func(*rand.Rand) float64 { return factor }
}

func declaresAnything(r *rand.Rand) float64 { return math.Pow(10, 2*r.Float64()-1) }

// sharesTeams has a team with more work than its share, three with less, of which one returns from idle, and one that floods.
var sharesTeams = []teamLoad{
	{id: "backlogged", share: 4, load: 1.3, declared: declares(10)},
	{id: "steady", share: 2, load: 0.8, declared: declares(0.1)},
	{id: "small", share: 1, load: 0.8, declared: declares(1)},
	{id: "flooding", share: 1, load: 8, declared: declaresAnything},
	{id: "returning", share: 2, load: 0.8, declared: declares(10), idleFrom: 5 * time.Minute, idleTo: 11 * time.Minute},
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

// window is a length over which received and entitled slot time are compared.
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

func sharesModels() []model {
	plain := schedule.Settings{MaxWaiting: 50000}
	ours := plain
	ours.Admission, ours.QuickReserve = true, 0.25
	tenth, noReserve := ours, ours
	tenth.QuickReserve, noReserve.QuickReserve = 0.1, 0
	return []model{
		{"fair share, reserve 0.25", newFairShare, newTwoChoices, ours, 0.9, false},
		{"fair share, reserve 0.1", newFairShare, newTwoChoices, tenth, 0.9, false},
		{"fair share, no reserve", newFairShare, newTwoChoices, noReserve, 0.9, false},
		{"one FIFO", newFIFO, newTwoChoices, plain, 0, false},
		{"round robin", newRoundRobin, newTwoChoices, plain, 0, false},
		{"nine fair shares, reserve 0.1", newFairShare, newTwoChoices, tenth, 0.9, true},
	}
}

func runShares(seed uint64) []Row {
	entitled := idealShares(offered(seed))
	var rows []Row
	for _, m := range sharesModels() {
		rows = append(rows, newSharesRun(m, seed).rows(m.name, entitled)...)
	}
	return rows
}

// arrival is one generated job and its time.
type arrival struct {
	after time.Duration
	team  int
	job   job
}

// offered generates the same arrivals for each model of a run, with a job that no host has room for at the head.
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
		arrivals = append(arrivals, t.arrivals(r, i, jaybarrow.ClassQuick, quickPart*work)...)
		arrivals = append(arrivals, t.arrivals(r, i, jaybarrow.ClassSlow, (1-quickPart)*work)...)
	}
	return arrivals
}

// arrivals generates Poisson arrivals with log-normal run times; work is in slot-seconds a second.
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

// logNormal draws a run time with the mean and the standard deviation sigma of its logarithm.
func logNormal(r *rand.Rand, mean time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(mean) * math.Exp(sigma*r.NormFloat64()-sigma*sigma/2))
}
