package experiment

import (
	"fmt"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/drain"
)

// The moves experiment simulates 50 hosts with 8 slots in racks of 4, in 5 pools and a spare pool of one data centre. Each pool in
// turn has a burst of movesBurstLength in each movesPeriod, which needs more slots than its hosts have, and a hundredth of that load
// in between. The first pool gets additional steady load for an hour, and a wave reboots every host.
const (
	movesPools        = 5
	movesHosts        = 50
	movesRackSize     = 4
	movesLength       = 130 * time.Minute
	movesTick         = 2 * time.Second
	movesPeriod       = 72 * time.Second
	movesBurstLength  = 12 * time.Second
	movesPeakLoad     = 120.0 // slots that a burst needs
	movesShiftLoad    = 48.0  // slots that the sustained shift of load needs
	shiftFrom         = 30 * time.Minute
	shiftTo           = 90 * time.Minute
	movesSlowLoad     = 8.0             // slots that the slow work of each pool needs
	movesQuickRun     = 8 * time.Second // mean
	movesQuickTarget  = 20 * time.Second
	movesSlowRun      = time.Minute // mean
	movesRebootTime   = 3 * time.Minute
	movesWaveAt       = 95 * time.Minute
	movesPoolBudget   = 2  // unavailable hosts of each pool
	movesSpareBudget  = 4  // unavailable hosts of the spare pool
	initialSpareHosts = 5  // with policies that move hosts
	peakSpareHosts    = 15 // covers a burst during the shift: 120 + 48 + 8 slots for a pool that has 7 hosts
)

const (
	metricSpareMean   Metric = "spareHostsMean"
	metricSpareMax    Metric = "spareHostsMost"
	metricMoves       Metric = "moves"
	metricRollOut     Metric = "rollOut%ofShortest"
	metricNotRebooted Metric = "notRebooted"
	metricMissed      Metric = "quickMissed%"
	metricOffShare    Metric = "offShare%"
	metricRefused     Metric = "refusedByWorker%"
)

var movesMetrics = []Metric{
	metricSpareMean, metricSpareMax, metricMoves, metricRollOut, metricNotRebooted, metricMissed, metricOffShare, metricRefused,
}

// firm is one of the example firms of section 1.4 of the design, which differ here in the shares of their teams and in the weight
// that they give to economy.
type firm struct {
	name    string
	economy float64           // balance.Settings.Economy
	shares  []jaybarrow.Share // of the quick teams
	// meanSpare is about the mean number of hosts that package balance keeps spare for the firm, for a baseline with a buffer of
	// equal cost.
	meanSpare int
}

var firms = []firm{
	{"Stibakke, economy 25%", 0.25, []jaybarrow.Share{2, 1, 1}, 8},
	{"Valdivieso, economy 75%", 0.75, []jaybarrow.Share{1, 1, 1}, 6},
}

// movesVariant is one way to divide the hosts among the pools.
type movesVariant struct {
	name       string
	spareHosts int               // hosts of the spare pool at the start
	borrow     bool              // whether pools may run work on hosts of the spare pool
	policy     func(*movesFleet) // begins moves at each tick; nil when no host moves
}

func movesVariants(f firm) []movesVariant {
	return []movesVariant{
		{"balance and borrowing", initialSpareHosts, true, balancedPolicy(f.economy)},
		{"fixed pools, spare for the peak, borrowing", peakSpareHosts, true, nil},
		{"fixed pools, our mean spare, borrowing", f.meanSpare, true, nil},
		{"move at once", initialSpareHosts, false, moveAtOnce},
	}
}

func runMoves(seed uint64) []Row {
	var rows []Row
	for _, f := range firms {
		for _, v := range movesVariants(f) {
			m := newMovesFleet(seed, f, v)
			m.generateLoad(seed)
			m.loop.runUntil(epoch.Add(movesLength))
			rows = append(rows, Row{Variant: v.name, Subject: f.name, Values: m.values()})
		}
	}
	return rows
}

// values returns the figures of the run. The roll-out is left out when the wave has not ended.
func (m *movesFleet) values() map[Metric]float64 {
	values := map[Metric]float64{
		metricSpareMean: m.spareSum / max(m.ticks, 1), metricSpareMax: m.spareMax,
		metricMoves:       float64(m.moves),
		metricMissed:      percent(m.quick.offered-m.quick.inTime, m.quick.offered),
		metricOffShare:    m.shares.offShare(),
		metricRefused:     percent(m.refused, m.started),
		metricNotRebooted: float64(movesHosts - len(m.rebooted)),
	}
	if !m.waveEnded.IsZero() {
		values[metricRollOut] = percent(m.waveEnded.Sub(epoch.Add(movesWaveAt)).Seconds(), m.shortestRollOut.Seconds())
	}
	return values
}

// beginWave begins a wave that reboots every host of every pool, and computes the shortest roll-out, which always has as many hosts
// down as the availability budgets allow.
func (m *movesFleet) beginWave() {
	for _, id := range m.poolIDs {
		view := m.view(id)
		record, err := drain.BeginWave(m.records[id], view, m.loop.now)
		if err != nil {
			panic(fmt.Sprintf("begin the wave: %v", err))
		}
		m.records[id] = record
		rounds := (len(view.Hosts) + view.Pool.MaxUnavailable - 1) / view.Pool.MaxUnavailable
		m.shortestRollOut = max(m.shortestRollOut, time.Duration(rounds)*movesRebootTime)
	}
}

// shareWindows compares the work of each team that was answered in time with what its share and its arrivals entitle it to, for
// each pool and minute of arrival in which some work was not answered in time.
type shareWindows struct {
	shares  map[jaybarrow.TeamID]jaybarrow.Share
	windows map[shareWindow]map[jaybarrow.TeamID]*teamWork
}

// shareWindow is a pool and a minute of arrival since the start of the run.
type shareWindow struct {
	pool   jaybarrow.PoolID
	minute int
}

// teamWork is the work of a team in one window, in slot-seconds.
type teamWork struct{ offered, answered float64 }

// add records a job that has ended.
func (s *shareWindows) add(pool jaybarrow.PoolID, arrived time.Duration, j *job, inTime bool) {
	w := shareWindow{pool, int(arrived / time.Minute)}
	if s.windows[w] == nil {
		s.windows[w] = make(map[jaybarrow.TeamID]*teamWork)
	}
	work := s.windows[w][j.team]
	if work == nil {
		work = &teamWork{}
		s.windows[w][j.team] = work
	}
	work.offered += j.run.Seconds()
	if inTime {
		work.answered += j.run.Seconds()
	}
}

// offShare returns the percentage of the answered work that went to another team than the shares entitle to it.
func (s *shareWindows) offShare() float64 {
	misallocated, total := 0.0, 0.0
	for _, teams := range s.windows {
		offered, answered := 0.0, 0.0
		for _, t := range teams {
			offered, answered = offered+t.offered, answered+t.answered
		}
		if answered >= offered-1e-9 {
			continue
		}
		entitled := s.entitled(teams, answered)
		total += answered
		for id, t := range teams {
			misallocated += max(entitled[id]-t.answered, 0)
		}
	}
	return 100 * misallocated / max(total, 1)
}

// entitled divides the work among the teams by share, with each team getting at most what it offered. Amounts below 1e-6 and 1e-9
// count as zero because of rounding.
func (s *shareWindows) entitled(teams map[jaybarrow.TeamID]*teamWork, work float64) map[jaybarrow.TeamID]float64 {
	entitled := make(map[jaybarrow.TeamID]float64)
	for remaining := work; remaining > 1e-6; {
		openShares := 0.0
		for id, t := range teams {
			if t.offered-entitled[id] > 1e-9 {
				openShares += float64(s.shares[id])
			}
		}
		if openShares == 0 {
			break
		}
		given := 0.0
		for id, t := range teams {
			part := min(remaining*float64(s.shares[id])/openShares, t.offered-entitled[id])
			entitled[id] += part
			given += part
		}
		remaining -= given
	}
	return entitled
}
