package experiment

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against figures that cannot be reproduced from their seed, for example because of map order or the real clock.
func TestSameSeedGivesSameFigures(t *testing.T) {
	e := Experiment{"mix", mixMetrics, runMix} // the fastest experiment; all use the same cluster code
	var first, second bytes.Buffer
	assert.NilError(t, Measure(e, []uint64{7}).WriteJSON(&first))
	assert.NilError(t, Measure(e, []uint64{7}).WriteJSON(&second))
	assert.Equal(t, first.String(), second.String())
}

// Guards against deviations that are measured from a wrong reference: the ideal division must follow the shares and pass the part
// that a team does not need to the others.
func TestIdealDivision(t *testing.T) {
	cases := []struct {
		name    string
		backlog []float64 // of the teams with shares 4, 2, 1, 1 and 2
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
			divideByShare(c.backlog, 10, func(team int, given float64) { got[team] += given })
			for i := range got {
				assert.Assert(t, got[i] > c.want[i]-1e-6 && got[i] < c.want[i]+1e-6, "%v, want %v", got, c.want)
			}
		})
	}
}

// Guards against generated bursts or lulls whose load is not the stated one.
func TestBurstCalls(t *testing.T) {
	inBurst, outside := 0.0, 0.0
	for _, k := range burstCalls(rand.New(rand.NewPCG(1, 1)), 0, burstPeakLoad) {
		if k.firstAt%burstPeriod < burstLength {
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

// Guards against a deviation that is not relative to the entitled slot time, or that counts windows in which the team is entitled
// to nothing.
func TestDeviation(t *testing.T) {
	entitled := make([]float64, 20)
	received := make([]float64, 20)
	for i := range 10 {
		entitled[i], received[i] = 10, 8
	}
	mean, worst := deviation(received, entitled, 10*time.Second)
	assert.Assert(t, withinPercent(mean, 20, 1) && withinPercent(worst, 20, 1), "mean %v, worst %v", mean, worst)
}
