package experiment

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against figures that cannot be reproduced from their seed.
func TestSameSeedGivesSameFigures(t *testing.T) {
	e := Experiment{"mix", mixMetrics, runMix} // the fastest; all use the same cluster
	var first, second bytes.Buffer
	assert.NilError(t, Measure(e, []uint64{7}).WriteJSON(&first))
	assert.NilError(t, Measure(e, []uint64{7}).WriteJSON(&second))
	assert.Equal(t, first.String(), second.String())
}

// Guards against a wrong yardstick: the ideal division must follow shares and give what a team does not need to the others.
func TestIdealDivision(t *testing.T) {
	cases := []struct {
		name    string
		backlog []float64 // of backlogged 4, steady 2, small 1, flooding 1, returning 2
		want    []float64
	}{
		{"all have work", []float64{100, 100, 100, 100, 100}, []float64{4, 2, 1, 1, 2}},
		{"two are idle", []float64{100, 0, 0, 100, 0}, []float64{8, 0, 0, 2, 0}},
		{"one needs less than its share", []float64{1, 100, 0, 100, 0}, []float64{1, 6, 0, 3, 0}},
		{"the pool is not full", []float64{1, 1, 1, 1, 1}, []float64{1, 1, 1, 1, 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := make([]float64, len(sharesTeams))
			divide(c.backlog, 10, func(team int, given float64) { got[team] += given })
			for i := range got {
				assert.Assert(t, got[i] > c.want[i]-1e-6 && got[i] < c.want[i]+1e-6, "%v, want %v", got, c.want)
			}
		})
	}
}

// Guards against bursts of another size than stated.
func TestBurstCalls(t *testing.T) {
	inBurst, outside := 0.0, 0.0
	for _, k := range burstCalls(rand.New(rand.NewPCG(1, 1)), 0, burstPeakLoad) {
		if k.first%burstPeriod < burstLength {
			inBurst++
		} else {
			outside++
		}
	}
	perSecond := burstPeakLoad * burstWorkers * workerSlots / burstRun.Seconds()
	periods := burstsLength.Seconds() / burstPeriod.Seconds()
	assert.Assert(t, withinPercent(inBurst/(periods*burstLength.Seconds()), perSecond, 5))
	assert.Assert(t, withinPercent(outside/(periods*(burstPeriod-burstLength).Seconds()), perSecond*lullFactor/burstFactor, 15))
}

func withinPercent(got, want, percent float64) bool {
	return got > want*(1-percent/100) && got < want*(1+percent/100)
}

// Guards against deviations that cancel out over a window, or that count windows in which the team is entitled to nothing.
func TestDeviation(t *testing.T) {
	entitled := make([]float64, 20)
	received := make([]float64, 20)
	for i := range 10 {
		entitled[i], received[i] = 10, 8
	}
	mean, worst := deviation(received, entitled, 10*time.Second)
	assert.Assert(t, withinPercent(mean, 20, 1) && withinPercent(worst, 20, 1), "mean %v, worst %v", mean, worst)
}
