package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/jaybarrow/jaybarrow"
)

// step is the resolution of received and entitled slot time.
const step = time.Second

// series is slot time by team and step.
type series [][]float64

func newSeries() series {
	s := make(series, len(sharesTeams))
	for i := range s {
		s[i] = make([]float64, sharesLength/step)
	}
	return s
}

// add spreads one slot's time between two times over the steps.
func (s series) add(team int, from, to time.Duration) {
	for i := from / step; i < sharesLength/step && i*step < to; i++ {
		s[team][i] += (min(to, (i+1)*step) - max(from, i*step)).Seconds()
	}
}

// idealShares is what an ideal server that divides every instant by share among the teams with work gives to each team; the
// job that can never run is left out.
func idealShares(arrivals []arrival) series {
	work := newSeries()
	for _, a := range arrivals {
		if a.job.slots == 1 {
			work[a.team][a.after/step] += a.job.run.Seconds()
		}
	}
	entitled := newSeries()
	backlog := make([]float64, len(sharesTeams))
	for i := range int(sharesLength / step) {
		for t := range backlog {
			backlog[t] += work[t][i]
		}
		divide(backlog, sharesWorkers*workerSlots*step.Seconds(), func(team int, given float64) { entitled[team][i] += given })
	}
	return entitled
}

// divide gives the capacity to the teams with backlog by share, and what a team does not need to the others.
func divide(backlog []float64, capacity float64, give func(team int, given float64)) {
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
		left := capacity
		for t, b := range backlog {
			if b > 1e-9 {
				given := min(b, capacity*float64(sharesTeams[t].share)/shares)
				backlog[t] -= given
				left -= given
				give(t, given)
			}
		}
		capacity = left
	}
}

// counts are a team's requests of one class.
type counts struct {
	offered, inTime float64
}

type sharesRun struct {
	received series
	quick    []counts
	slow     []counts
}

func newSharesRun(m model, seed uint64) *sharesRun {
	s := &sharesRun{received: newSeries(), quick: make([]counts, len(sharesTeams)), slow: make([]counts, len(sharesTeams))}
	l := newLoop()
	c := newCluster(l, rand.New(rand.NewPCG(seed, 100)), m, sharesWorkers, workerSlots)
	index := make(map[jaybarrow.TeamID]int)
	for i, t := range sharesTeams {
		index[t.id] = i
	}
	c.served = func(j *job, _ jaybarrow.HostID, from, to time.Time) {
		s.received.add(index[j.team], from.Sub(epoch), to.Sub(epoch))
	}
	for _, a := range offered(seed) {
		j := a.job
		count := &s.quick[a.team]
		if j.class == jaybarrow.ClassSlow {
			count = &s.slow[a.team]
		}
		// Slow jobs whose target is after the end of the run, and the job that can never run, are not counted.
		counted := j.slots == 1 && a.after+j.target <= sharesLength
		if counted {
			count.offered++
		}
		j.done = func(o outcome) {
			if counted && o.inTime {
				count.inTime++
			}
		}
		l.at(epoch.Add(a.after), func() { c.submit(&j) })
	}
	l.runUntil(epoch.Add(sharesLength + time.Minute))
	return s
}

// rows returns a row for each team and one for the whole variant, whose shares are the mean and worst over the teams.
func (s *sharesRun) rows(variant string, entitled series) []Row {
	all := Row{Variant: variant, Subject: "all", Values: make(map[Metric]float64)}
	var rows []Row
	var quick, slow counts
	for i, t := range sharesTeams {
		row := Row{Variant: variant, Subject: string(t.id), Values: map[Metric]float64{
			metricQuick: percent(s.quick[i].inTime, s.quick[i].offered), metricSlow: percent(s.slow[i].inTime, s.slow[i].offered),
		}}
		quick = counts{quick.offered + s.quick[i].offered, quick.inTime + s.quick[i].inTime}
		slow = counts{slow.offered + s.slow[i].offered, slow.inTime + s.slow[i].inTime}
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

// deviation is the difference between received and entitled slot time in percent of the entitled, over the windows in which the
// team is entitled to at least a hundredth of the pool.
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
		off := 100 * math.Abs(got-due) / due
		mean, worst, counted = mean+off, max(worst, off), counted+1
	}
	return mean / max(counted, 1), worst
}
