package estimate

import (
	"math"
	"slices"
	"time"
)

const (
	window       = 32  // observed runs that are kept; enough for a 0.9 quantile, and it forgets a change of workload soon
	errorWeight  = 0.1 // weight of the newest run in the mean errors
	enough       = 8   // runs after which the declared time is no longer mixed in
	declaredRuns = 1.0 // the declared time weighs as much as this many observed runs
)

// history is what is known of one team's runs on one queue; times are natural logarithms of seconds.
type history struct {
	runs       []float64 // the last observed run times, oldest overwritten first
	ratios     []float64 // run time to declared time of the last runs that declared one
	nextRun    int
	nextRatio  int
	runError   float64 // mean absolute error of the median run time
	ratioError float64 // mean absolute error of the declared time times the median ratio
	used       uint64  // when the history was last used, in the shard's count of uses
}

func (h *history) observe(declared, ran time.Duration) {
	actual := logOf(ran)
	if len(h.runs) > 0 {
		h.runError += errorWeight * (math.Abs(actual-median(h.runs)) - h.runError)
	}
	h.runs, h.nextRun = record(h.runs, h.nextRun, actual)
	if declared <= 0 {
		return
	}
	ratio := actual - logOf(declared)
	if len(h.ratios) > 0 {
		h.ratioError += errorWeight * (math.Abs(ratio-median(h.ratios)) - h.ratioError)
	}
	h.ratios, h.nextRatio = record(h.ratios, h.nextRatio, ratio)
}

// quantile returns the q-quantile of the run time, in logarithms; the history is not empty. It uses the declared time
// with a learned ratio when that predicted the last runs better than their distribution alone.
func (h *history) quantile(declared time.Duration, q float64) float64 {
	if declared <= 0 {
		return quantile(h.runs, q)
	}
	if len(h.ratios) >= enough && h.ratioError < h.runError {
		return logOf(declared) + quantile(h.ratios, q)
	}
	observed := quantile(h.runs, q)
	if n := float64(len(h.runs)); n < enough {
		return (logOf(declared)*declaredRuns + observed*n) / (declaredRuns + n)
	}
	return observed
}

func record(values []float64, next int, value float64) ([]float64, int) {
	if len(values) < window {
		return append(values, value), 0
	}
	values[next] = value
	return values, (next + 1) % window
}

func median(values []float64) float64 { return quantile(values, 0.5) }

func quantile(values []float64, q float64) float64 {
	var sorted [window]float64
	n := copy(sorted[:], values)
	slices.Sort(sorted[:n])
	return sorted[min(int(q*float64(n)), n-1)]
}

// logOf returns the logarithm of the seconds; times below a microsecond count as one.
func logOf(d time.Duration) float64 { return math.Log(max(d, time.Microsecond).Seconds()) }

func fromLog(l float64) time.Duration { return time.Duration(math.Exp(l) * float64(time.Second)) }
