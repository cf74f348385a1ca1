package experiment

import (
	"fmt"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/drain"
)

// The setting of the moves experiment: 50 hosts with 8 slots in racks of 4, in 5 pools and a spare pool of one data centre. Each
// pool in turn bursts for movesBurst of each movesPeriod to five times its mean, which is more than its hosts hold, and falls to
// a twentieth in between. One pool gets steady work on top for an hour, and a wave reboots every host.
const (
	movesPools   = 5
	movesHosts   = 50
	movesRack    = 4
	movesLength  = 130 * time.Minute
	movesTick    = 2 * time.Second
	movesPeriod  = 72 * time.Second
	movesBurst   = 12 * time.Second
	movesPeak    = 120.0 // slots of a burst
	movesShift   = 48.0  // slots of the lasting shift
	shiftFrom    = 30 * time.Minute
	shiftTo      = 90 * time.Minute
	movesSlow    = 8.0 // slots of the slow work of each pool
	movesRun     = 8 * time.Second
	movesTarget  = 20 * time.Second
	movesSlowRun = time.Minute
	movesReboot  = 3 * time.Minute
	movesWave    = 95 * time.Minute
	movesBudget  = 2 // of each pool
	spareBudget  = 4
	movesSpare   = 5  // hosts that the spare pool begins with
	peakSpare    = 15 // hosts that cover a burst on top of a shift: 120 + 48 + 8 slots of a pool of 7 hosts
)

const (
	metricSpareMean Metric = "spareHostsMean"
	metricSpareMost Metric = "spareHostsMost"
	metricMoves     Metric = "moves"
	metricRollOut   Metric = "rollOut%ofShortest"
	metricUntouched Metric = "notRebooted"
	metricMissed    Metric = "quickMissed%"
	metricOffShare  Metric = "offShare%"
	metricRefused   Metric = "refusedByWorker%"
)

var movesMetrics = []Metric{
	metricSpareMean, metricSpareMost, metricMoves, metricRollOut, metricUntouched, metricMissed, metricOffShare, metricRefused,
}

// firm is one of the firms of section 1.4 of the design, which differ here in their shares and in what they weigh.
type firm struct {
	name    string
	economy float64
	shares  []jaybarrow.Share // of the quick teams
	// meanSpare is about the mean of what balance holds spare for the firm, for a baseline of equal buffer cost.
	meanSpare int
}

var firms = []firm{
	{"Stibakke, economy 25%", 0.25, []jaybarrow.Share{2, 1, 1}, 8},
	{"Valdivieso, economy 75%", 0.75, []jaybarrow.Share{1, 1, 1}, 6},
}

// movesVariant is one way to divide the hosts.
type movesVariant struct {
	name   string
	spare  int // hosts of the spare pool at the start
	borrow bool
	policy func(*movesFleet) // called each tick; nil: nothing moves
}

func movesVariants(f firm) []movesVariant {
	return []movesVariant{
		{"balance and borrowing", movesSpare, true, balancedPolicy(f.economy)},
		{"fixed pools, spare for the peak, borrowing", peakSpare, true, nil},
		{"fixed pools, our mean spare, borrowing", f.meanSpare, true, nil},
		{"move at once", movesSpare, false, moveAtOnce},
	}
}

func runMoves(seed uint64) []Row {
	var rows []Row
	for _, f := range firms {
		for _, v := range movesVariants(f) {
			m := newMovesFleet(seed, f, v)
			m.load(seed)
			m.loop.runUntil(epoch.Add(movesLength))
			rows = append(rows, Row{Variant: v.name, Subject: f.name, Values: m.values()})
		}
	}
	return rows
}

func (m *movesFleet) values() map[Metric]float64 {
	values := map[Metric]float64{
		metricSpareMean: m.spareSum / max(m.ticks, 1), metricSpareMost: m.spareMost,
		metricMoves:     float64(m.moves),
		metricMissed:    percent(m.quick.offered-m.quick.inTime, m.quick.offered),
		metricOffShare:  m.shares.off(),
		metricRefused:   percent(m.refused, m.started),
		metricUntouched: float64(movesHosts - len(m.rebooted)),
	}
	if !m.waveEnded.IsZero() {
		values[metricRollOut] = percent(m.waveEnded.Sub(epoch.Add(movesWave)).Seconds(), m.shortest.Seconds())
	}
	return values
}

// beginWave plans a reboot of every host; the shortest roll-out reboots as many at once as the budgets allow.
func (m *movesFleet) beginWave() {
	for _, id := range m.ids {
		view := m.view(id)
		record, err := drain.BeginWave(m.records[id], view, m.loop.now)
		if err != nil {
			panic(fmt.Sprintf("begin the wave: %v", err))
		}
		m.records[id] = record
		rounds := (len(view.Hosts) + view.Pool.MaxUnavailable - 1) / view.Pool.MaxUnavailable
		m.shortest = max(m.shortest, time.Duration(rounds)*movesReboot)
	}
}

// shareWindows compares, for each pool and minute of arrival in which work was lost, what each team had answered in time with
// what its share and its arrivals entitle it to.
type shareWindows struct {
	shares  map[jaybarrow.TeamID]jaybarrow.Share
	windows map[shareWindow]map[jaybarrow.TeamID]*answeredWork
}

type shareWindow struct {
	pool   jaybarrow.PoolID
	minute int
}

type answeredWork struct{ offered, answered float64 } // slot-seconds

func (s *shareWindows) add(pool jaybarrow.PoolID, arrived time.Duration, j *job, inTime bool) {
	w := shareWindow{pool, int(arrived / time.Minute)}
	if s.windows[w] == nil {
		s.windows[w] = make(map[jaybarrow.TeamID]*answeredWork)
	}
	work := s.windows[w][j.team]
	if work == nil {
		work = &answeredWork{}
		s.windows[w][j.team] = work
	}
	work.offered += j.run.Seconds()
	if inTime {
		work.answered += j.run.Seconds()
	}
}

// off is the part of the answered work, in percent, that the wrong team got.
func (s *shareWindows) off() float64 {
	wrong, total := 0.0, 0.0
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
			wrong += max(entitled[id]-t.answered, 0)
		}
	}
	return 100 * wrong / max(total, 1)
}

// entitled divides the work by share, up to what each team offered.
func (s *shareWindows) entitled(teams map[jaybarrow.TeamID]*answeredWork, work float64) map[jaybarrow.TeamID]float64 {
	entitled := make(map[jaybarrow.TeamID]float64)
	for rest := work; rest > 1e-6; {
		open := 0.0
		for id, t := range teams {
			if t.offered-entitled[id] > 1e-9 {
				open += float64(s.shares[id])
			}
		}
		if open == 0 {
			break
		}
		given := 0.0
		for id, t := range teams {
			part := min(rest*float64(s.shares[id])/open, t.offered-entitled[id])
			entitled[id] += part
			given += part
		}
		rest -= given
	}
	return entitled
}
