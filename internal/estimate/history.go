package estimate

import (
	"math"
	"slices"
	"time"
)

const (
	historySize    = 32  // latest runs that are kept; enough for a 0.9 quantile, and few enough to follow a change of workload
	errorWeight    = 0.1 // weight of the newest run in the smoothed errors
	minSamples     = 8   // with fewer runs, the declared time is part of the quantile; with fewer ratios, they are not used
	declaredWeight = 1.0 // the declared time counts as this many observed runs
)

// history holds the observed runs of one team on one queue; times are natural logarithms of seconds.
type history struct {
	runs       []float64 // latest run times; when full, the oldest is overwritten
	ratios     []float64 // ratios of run time to declared time of the latest runs with a declared time
	nextRun    int       // index in runs to overwrite next
	nextRatio  int       // index in ratios to overwrite next
	runError   float64   // smoothed absolute error of the median as a prediction of the run time
	ratioError float64   // smoothed absolute error of the declared time times the median ratio as a prediction
	lastUse    uint64    // value of the shard's useCount at the last use
}

func (h *history) observe(declared, ran time.Duration) {
	actual := logSeconds(ran)
	if len(h.runs) > 0 {
		h.runError += errorWeight * (math.Abs(actual-median(h.runs)) - h.runError)
	}
	h.runs, h.nextRun = appendSample(h.runs, h.nextRun, actual)
	if declared <= 0 {
		return
	}
	ratio := actual - logSeconds(declared)
	if len(h.ratios) > 0 {
		h.ratioError += errorWeight * (math.Abs(ratio-median(h.ratios)) - h.ratioError)
	}
	h.ratios, h.nextRatio = appendSample(h.ratios, h.nextRatio, ratio)
}

// quantile returns the logarithm of the q-quantile of the run time; the history must not be empty. It is computed from the declared
// time and the learned ratios if these predicted the latest runs better than the distribution of run times alone.
func (h *history) quantile(declared time.Duration, q float64) float64 {
	if declared <= 0 {
		return quantile(h.runs, q)
	}
	if len(h.ratios) >= minSamples && h.ratioError < h.runError {
		return logSeconds(declared) + quantile(h.ratios, q)
	}
	observed := quantile(h.runs, q)
	if n := float64(len(h.runs)); n < minSamples {
		return (logSeconds(declared)*declaredWeight + observed*n) / (declaredWeight + n)
	}
	return observed
}

// appendSample appends the value, or overwrites the oldest one when there are historySize values. It returns the values and the
// next index to overwrite.
func appendSample(values []float64, next int, value float64) ([]float64, int) {
	if len(values) < historySize {
		return append(values, value), 0
	}
	values[next] = value
	return values, (next + 1) % historySize
}

func median(values []float64) float64 { return quantile(values, 0.5) }

func quantile(values []float64, q float64) float64 {
	var sorted [historySize]float64
	n := copy(sorted[:], values)
	slices.Sort(sorted[:n])
	return sorted[min(int(q*float64(n)), n-1)]
}

// logSeconds returns the natural logarithm of the duration in seconds; durations below one microsecond count as one.
func logSeconds(d time.Duration) float64 { return math.Log(max(d, time.Microsecond).Seconds()) }

// fromLogSeconds is the inverse of logSeconds.
func fromLogSeconds(l float64) time.Duration {
	return time.Duration(math.Exp(l) * float64(time.Second))
}
