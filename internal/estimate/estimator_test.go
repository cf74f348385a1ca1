package estimate_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/estimate"
)

// Guards against estimates that follow wrong declared times or ignore useful ones.
func TestEstimates(t *testing.T) {
	cases := []struct {
		name     string
		declared func(i int, ran time.Duration) time.Duration
		runs     func(i int) time.Duration
		observed int
		next     time.Duration // declared run time of the request to estimate
		want     time.Duration
	}{
		{"nothing known", nil, nil, 0, 0, 0},
		{"declared only", nil, nil, 0, 3 * time.Second, 3 * time.Second},
		{"declared ten times too long", scaled(10), constant, 10, 10 * time.Second, time.Second},
		{"declared ten times too short", scaled(0.1), constant, 10, 100 * time.Millisecond, time.Second},
		{"declared without relation to the run time", unrelated, constant, 32, 10 * time.Second, time.Second},
		{"declared in proportion to varying run times", scaled(10), varying, 32, 50 * time.Second, 5 * time.Second},
		{"a new workload replaces the old one", nil, changingWorkload, 60, 0, 4 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := estimate.New(100)
			for i := range c.observed {
				ran, declared := c.runs(i), time.Duration(0)
				if c.declared != nil {
					declared = c.declared(i, ran)
				}
				e.Observe("a", "q", declared, ran)
			}
			got := e.Estimate("a", "q", c.next)
			assert.Assert(t, got >= c.want*9/10 && got <= c.want*11/10, "got %v, want %v", got, c.want)
		})
	}
}

// scaled returns a function that declares the run time multiplied by the factor.
func scaled(factor float64) func(int, time.Duration) time.Duration {
	return func(_ int, ran time.Duration) time.Duration { return time.Duration(factor * float64(ran)) }
}

func unrelated(i int, ran time.Duration) time.Duration {
	return []time.Duration{ran / 10, ran, ran * 10}[i%3]
}

func constant(int) time.Duration { return time.Second }

func varying(i int) time.Duration { return time.Duration(1+i%10) * time.Second }

func changingWorkload(i int) time.Duration {
	if i < 28 {
		return time.Second
	}
	return 4 * time.Second
}

// Guards against an estimate that stays close to a wrong declared time.
func TestEstimateConvergesWithinFewRuns(t *testing.T) {
	e := estimate.New(100)
	for range 4 {
		e.Observe("a", "q", 10*time.Second, time.Second)
	}
	got := e.Estimate("a", "q", 10*time.Second)
	assert.Assert(t, got < 2*time.Second, "estimate is %v after four runs of 1s", got)
}

// Guards against a quantile that ignores the spread of run times, and against one that is derived from a declared time alone.
func TestQuantile(t *testing.T) {
	e := estimate.New(100)
	assert.Equal(t, e.Quantile("a", "q", time.Second, 0.9), time.Duration(0))
	r := rand.New(rand.NewPCG(1, 1))
	for range 32 {
		e.Observe("a", "q", 0, time.Duration(1+r.IntN(1000))*time.Millisecond)
	}
	low, high := e.Quantile("a", "q", 0, 0.1), e.Quantile("a", "q", 0, 0.9)
	assert.Assert(t, low < 300*time.Millisecond && high > 700*time.Millisecond, "%v to %v", low, high)
}

// Guards against memory that grows with the number of queues, and against evicting a recently used history.
func TestMemoryIsBounded(t *testing.T) {
	e := estimate.New(64)
	e.Observe("a", "kept", 0, time.Second)
	known := 0
	for i := range 10000 {
		e.Observe("a", jaybarrow.QueueID(fmt.Sprint(i)), 0, time.Second)
		e.Estimate("a", "kept", 0)
	}
	for i := range 10000 {
		if e.Estimate("a", jaybarrow.QueueID(fmt.Sprint(i)), 0) > 0 {
			known++
		}
	}
	assert.Assert(t, known <= 64, "%d histories are kept", known)
	assert.Equal(t, e.Estimate("a", "kept", 0).Round(time.Millisecond), time.Second)
}
