package fleetplan

import (
	"math"
	"slices"
	"time"
)

// NeedHistory holds recent samples of the number of hosts that a pool needs.
type NeedHistory struct {
	settings Settings
	since    time.Time // time of the first sample, also after it was removed
	samples  []sample
}

type sample struct {
	at    time.Time
	hosts float64
}

// NewNeedHistory returns a NeedHistory without samples.
func NewNeedHistory(s Settings) *NeedHistory { return &NeedHistory{settings: s} }

// Add adds a sample and removes those that are no longer needed.
func (n *NeedHistory) Add(now time.Time, hosts float64) {
	if n.since.IsZero() {
		n.since = now
	}
	n.samples = append(n.samples, sample{now, hosts})
	maxAge := max(n.settings.MoveAfter, n.settings.ReturnAfter, trendGap+trendWindow)
	n.samples = slices.DeleteFunc(n.samples, func(s sample) bool { return now.Sub(s.at) > maxAge })
}

// SetForecast sets the pool's Need, RecentPeak and LongTermPeak; without samples it leaves them as they are.
func (n *NeedHistory) SetForecast(p *Pool, now time.Time) {
	if len(n.samples) == 0 {
		return
	}
	p.Need = n.forecast(now)
	p.RecentPeak = n.peak(now, n.settings.MoveAfter)
	p.LongTermPeak = math.Inf(1)
	if now.Sub(n.since) >= n.settings.ReturnAfter {
		p.LongTermPeak = n.peak(now, n.settings.ReturnAfter)
	}
}

// The trend is the change of the mean over trendWindow within trendGap. Shorter times would follow single jobs; longer ones would
// detect a trend too late for a move.
const (
	trendWindow = 300 * time.Millisecond
	trendGap    = 600 * time.Millisecond
)

// forecast returns the need expected after Lookahead: the last sample, plus the growth if the need has been rising. The growth is
// limited to the last sample, since many jobs that arrive at the same time are not a trend.
func (n *NeedHistory) forecast(now time.Time) float64 {
	last := n.samples[len(n.samples)-1].hosts
	recent, ok := n.mean(now.Add(-trendWindow), now)
	before, known := n.mean(now.Add(-trendGap-trendWindow), now.Add(-trendGap))
	if !ok || !known {
		return last
	}
	// The two means are trendGap apart, so the measured trend lags and the growth over trendGap is added too.
	horizon := n.settings.Lookahead + trendGap
	growth := (recent - before) * horizon.Seconds() / trendGap.Seconds()
	return last + min(max(0, growth), last)
}

// mean returns the mean of the samples in (from, to]; false when there are none.
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

// peak returns the largest sample within the window before now.
func (n *NeedHistory) peak(now time.Time, window time.Duration) float64 {
	peak := 0.0
	for _, s := range n.samples {
		if now.Sub(s.at) <= window {
			peak = max(peak, s.hosts)
		}
	}
	return peak
}
