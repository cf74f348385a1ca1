package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// step is the resolution at which received and entitled slot time are recorded.
const step = time.Second

// slotTimeSeries is slot time in seconds by team and step.
type slotTimeSeries [][]float64

func newSlotTimeSeries() slotTimeSeries {
	s := make(slotTimeSeries, len(sharesTeams))
	for i := range s {
		s[i] = make([]float64, sharesLength/step)
	}
	return s
}

// add adds the use of one slot from one time to another, spread over the steps.
func (s slotTimeSeries) add(team int, from, to time.Duration) {
	for i := from / step; i < sharesLength/step && i*step < to; i++ {
		s[team][i] += (min(to, (i+1)*step) - max(from, i*step)).Seconds()
	}
}

// idealShares returns the slot time of each team on an ideal server that divides its capacity by share among the teams with work at
// every step. The job that can never run is left out.
func idealShares(arrivals []arrival) slotTimeSeries {
	work := newSlotTimeSeries()
	for _, a := range arrivals {
		if a.job.slots == 1 {
			work[a.team][a.after/step] += a.job.run.Seconds()
		}
	}
	entitled := newSlotTimeSeries()
	backlog := make([]float64, len(sharesTeams))
	for i := range int(sharesLength / step) {
		for t := range backlog {
			backlog[t] += work[t][i]
		}
		divideByShare(backlog, sharesWorkers*workerSlots*step.Seconds(), func(team int, given float64) { entitled[team][i] += given })
	}
	return entitled
}

// divideByShare divides the capacity among the teams with backlog by weighted max-min fairness: by share, with the part that a team
// does not need going to the others. Amounts below 1e-9 count as zero because of rounding.
func divideByShare(backlog []float64, capacity float64, assign func(team int, given float64)) {
	for capacity > 1e-9 {
		shares := 0.0
		for t, b := range backlog {
			if b > 1e-9 {
				shares += float64(sharesTeams[t].share)
			}
		}
		if shares == 0 {
			return
		}
		remaining := capacity
		for t, b := range backlog {
			if b > 1e-9 {
				given := min(b, capacity*float64(sharesTeams[t].share)/shares)
				backlog[t] -= given
				remaining -= given
				assign(t, given)
			}
		}
		capacity = remaining
	}
}

// requestCounts count the requests of one kind.
type requestCounts struct {
	offered, inTime float64
}

// sharesResult is the measured outcome of one variant, by team.
type sharesResult struct {
	received slotTimeSeries
	quick    []requestCounts
	slow     []requestCounts
}

// runSharesVariant simulates one variant.
func runSharesVariant(v poolVariant, seed uint64) *sharesResult {
	s := &sharesResult{received: newSlotTimeSeries(), quick: make([]requestCounts, len(sharesTeams)), slow: make([]requestCounts, len(sharesTeams))}
	l := newLoop()
	c := newCluster(l, rand.New(rand.NewPCG(seed, 100)), v, sharesWorkers, workerSlots)
	index := make(map[jaybarrow.TeamID]int)
	for i, t := range sharesTeams {
		index[t.id] = i
	}
	c.onAttemptEnd = func(j *job, _ jaybarrow.HostID, from, to time.Time) {
		s.received.add(index[j.team], from.Sub(epoch), to.Sub(epoch))
	}
	for _, a := range offered(seed) {
		j := a.job
		count := &s.quick[a.team]
		if j.class == jaybarrow.ClassSlow {
			count = &s.slow[a.team]
		}
		// A job whose target is after the end of the run, and the job that can never run, do not count.
		counted := j.slots == 1 && a.after+j.target <= sharesLength
		if counted {
			count.offered++
		}
		j.onEnd = func(o outcome) {
			if counted && o.inTime {
				count.inTime++
			}
		}
		l.at(epoch.Add(a.after), func() { c.submit(&j) })
	}
	l.runUntil(epoch.Add(sharesLength + time.Minute))
	return s
}

// rows returns a row for the whole variant and one for each team. The deviations in the row of the variant are the mean of the
// teams' means and the worst of all teams.
func (s *sharesResult) rows(variant string, entitled slotTimeSeries) []Row {
	all := Row{Variant: variant, Subject: "all", Values: make(map[Metric]float64)}
	var rows []Row
	var quick, slow requestCounts
	for i, t := range sharesTeams {
		row := Row{Variant: variant, Subject: string(t.id), Values: map[Metric]float64{
			metricQuick: percent(s.quick[i].inTime, s.quick[i].offered), metricSlow: percent(s.slow[i].inTime, s.slow[i].offered),
		}}
		quick = requestCounts{quick.offered + s.quick[i].offered, quick.inTime + s.quick[i].inTime}
		slow = requestCounts{slow.offered + s.slow[i].offered, slow.inTime + s.slow[i].inTime}
		for _, w := range windows {
			mean, worst := deviation(s.received[i], entitled[i], w.length)
			row.Values[w.mean], row.Values[w.worst] = mean, worst
			all.Values[w.mean] += mean / float64(len(sharesTeams))
			all.Values[w.worst] = max(all.Values[w.worst], worst)
		}
		rows = append(rows, row)
	}
	all.Values[metricQuick], all.Values[metricSlow] = percent(quick.inTime, quick.offered), percent(slow.inTime, slow.offered)
	return append([]Row{all}, rows...)
}

// deviation returns the mean and the worst difference between received and entitled slot time, in percent of the entitled. It
// counts only the windows in which the team is entitled to at least a hundredth of the pool.
func deviation(received, entitled []float64, length time.Duration) (mean, worst float64) {
	size, counted := int(length/step), 0.0
	for from := 0; from+size <= len(received); from += size {
		var got, due float64
		for i := from; i < from+size; i++ {
			got += received[i]
			due += entitled[i]
		}
		if due < 0.01*sharesWorkers*workerSlots*length.Seconds() {
			continue
		}
		deviationPercent := 100 * math.Abs(got-due) / due
		mean, worst, counted = mean+deviationPercent, max(worst, deviationPercent), counted+1
	}
	return mean / max(counted, 1), worst
}
