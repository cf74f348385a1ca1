package fleetplan

import (
	"math"
	"slices"
	"time"
)

// NeedHistory is the course of a pool's need of hosts over the last while.
type NeedHistory struct {
	settings Settings
	since    time.Time // of the first sample
	samples  []sample
}

type sample struct {
	at    time.Time
	hosts float64
}

// NewNeedHistory returns a Need without samples.
func NewNeedHistory(s Settings) *NeedHistory { return &NeedHistory{settings: s} }

// Add takes a sample.
func (n *NeedHistory) Add(now time.Time, hosts float64) {
	if n.since.IsZero() {
		n.since = now
	}
	n.samples = append(n.samples, sample{now, hosts})
	keep := max(n.settings.LendAfter, n.settings.ReturnAfter, trendApart+trendRecent)
	n.samples = slices.DeleteFunc(n.samples, func(s sample) bool { return now.Sub(s.at) > keep })
}

// SetForecast sets the pool's figures that follow from the course.
func (n *NeedHistory) SetForecast(p *Pool, now time.Time) {
	if len(n.samples) == 0 {
		return
	}
	p.Need = n.expected(now)
	p.RecentPeak = n.most(now, n.settings.LendAfter)
	p.LongTermPeak = math.Inf(1)
	if now.Sub(n.since) >= n.settings.ReturnAfter {
		p.LongTermPeak = n.most(now, n.settings.ReturnAfter)
	}
}

// The times of a trend: the mean of the last trendRecent is compared with that of the same time trendApart before. Shorter times
// would follow single jobs, longer ones come too late for a move.
const (
	trendRecent = 300 * time.Millisecond
	trendApart  = 600 * time.Millisecond
)

// expected returns the last sample and, if the need has been rising, by how much it will have grown after Lookahead; at most it doubles,
// since jobs that are heard of all at once are no trend.
func (n *NeedHistory) expected(now time.Time) float64 {
	last := n.samples[len(n.samples)-1].hosts
	recent, ok := n.mean(now.Add(-trendRecent), now)
	before, known := n.mean(now.Add(-trendApart-trendRecent), now.Add(-trendApart))
	if !ok || !known {
		return last
	}
	// The trend is that of the time between the compared ones, so what it has grown since is missing too.
	ahead := n.settings.Lookahead + trendApart
	growth := (recent - before) * ahead.Seconds() / trendApart.Seconds()
	return last + min(max(0, growth), last)
}

// mean returns the mean of the samples after from until to; false when there are none.
func (n *NeedHistory) mean(from, to time.Time) (float64, bool) {
	sum, count := 0.0, 0
	for _, s := range n.samples {
		if s.at.After(from) && !s.at.After(to) {
			sum += s.hosts
			count++
		}
	}
	return sum / float64(max(1, count)), count > 0
}

// most returns the largest sample of the last while.
func (n *NeedHistory) most(now time.Time, while time.Duration) float64 {
	most := 0.0
	for _, s := range n.samples {
		if now.Sub(s.at) <= while {
			most = max(most, s.hosts)
		}
	}
	return most
}
