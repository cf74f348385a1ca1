package fleetplan_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow/internal/fleetplan"
)

// Guards against hosts that are ordered only after a backlog has built up, as a move takes longer than a quick job may wait, and
// against hosts that are returned before the need has been low for long enough.
func TestRisingNeedIsExtrapolated(t *testing.T) {
	s := fleetplan.DefaultSettings()
	s.Lookahead, s.MoveAfter, s.ReturnAfter = 1600*time.Millisecond, time.Second, 2*time.Second
	cases := []struct {
		name                 string
		samples              []float64 // one every 100 ms
		need, recent, steady float64
	}{
		{"first", []float64{4}, 4, 4, math.Inf(1)},
		{"steady", []float64{4, 4, 4, 4, 4, 4, 4, 4, 4, 4}, 4, 4, math.Inf(1)},
		// The need grows by two hosts a second, over the lookahead of 1.6 s and the 0.6 s by which the trend lags.
		{"rising", []float64{4, 4.2, 4.4, 4.6, 4.8, 5, 5.2, 5.4, 5.6, 5.8}, 5.8 + 4.4, 5.8, math.Inf(1)},
		{"falling", []float64{5.8, 5.6, 5.4, 5.2, 5, 4.8, 4.6, 4.4, 4.2, 4}, 4, 5.8, math.Inf(1)},
		{"many jobs at once", append(flat(1, 7), flat(20, 3)...), 40, 20, math.Inf(1)},
		{"after a peak", append(append([]float64{9}, flat(4, 15)...), flat(2, 6)...), 2, 4, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := fleetplan.NewNeedHistory(s)
			now := time.UnixMilli(1_800_000_000_000)
			for i, hosts := range c.samples {
				if i > 0 {
					now = now.Add(100 * time.Millisecond)
				}
				n.Add(now, hosts)
			}
			var p fleetplan.Pool
			n.SetForecast(&p, now)
			assert.Assert(t, math.Abs(p.Need-c.need) < 1e-6, "need %v, want %v", p.Need, c.need)
			assert.Equal(t, p.RecentPeak, c.recent)
			assert.Equal(t, p.LongTermPeak, c.steady)
		})
	}
}

// flat returns n equal samples.
func flat(hosts float64, n int) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = hosts
	}
	return out
}
