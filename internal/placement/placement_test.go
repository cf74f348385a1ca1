package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/placement/leastloaded"
	"github.com/jaybarrow/jaybarrow/internal/placement/random"
	"github.com/jaybarrow/jaybarrow/internal/placement/twochoices"
)

func candidate(free jaybarrow.Slots, running int, latency time.Duration, failures int) jaybarrow.Candidate {
	return jaybarrow.Candidate{Free: jaybarrow.Demand{Slots: free}, Running: running, Latency: latency, Failures: failures}
}

// Guards against preferring the worse of two hosts. With two candidates, the random draw does not influence the result.
func TestTwoChoicesPrefersTheBetterHost(t *testing.T) {
	cases := []struct {
		name          string
		better, worse jaybarrow.Candidate
	}{
		{"less load", candidate(6, 2, 0, 0), candidate(2, 6, 0, 0)},
		{"less latency at equal load", candidate(4, 4, time.Second, 0), candidate(4, 4, 3*time.Second, 0)},
		{"an unknown latency is ignored", candidate(6, 2, 0, 0), candidate(2, 6, time.Millisecond, 0)},
		{"a busy host before an idle one that fails", candidate(1, 7, time.Second, 0), candidate(8, 0, time.Millisecond, 1)},
		{"fewer failures", candidate(1, 7, 0, 1), candidate(8, 0, 0, 5)},
	}
	p := twochoices.New(rand.New(rand.NewPCG(1, 1)))
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for range 20 {
				assert.Equal(t, p.Choose([]jaybarrow.Candidate{c.better, c.worse}), 0)
				assert.Equal(t, p.Choose([]jaybarrow.Candidate{c.worse, c.better}), 1)
			}
		})
	}
}

// Guards against indexes out of range and against hosts that are never chosen.
func TestEveryCandidateCanBeChosen(t *testing.T) {
	equal := make([]jaybarrow.Candidate, 5)
	r := rand.New(rand.NewPCG(1, 1))
	for name, p := range map[string]jaybarrow.Placement{"twochoices": twochoices.New(r), "random": random.New(r)} {
		t.Run(name, func(t *testing.T) {
			counts := make([]int, len(equal))
			for range 1000 {
				counts[p.Choose(equal)]++
			}
			for i, n := range counts {
				assert.Assert(t, n > 100, "candidate %d was chosen %d times", i, n)
			}
			assert.Equal(t, p.Choose(equal[:1]), 0)
		})
	}
}

// Guards against a baseline that does not choose the host with the most free slots.
func TestLeastLoaded(t *testing.T) {
	assert.Equal(t, leastloaded.New().Choose([]jaybarrow.Candidate{candidate(2, 0, 0, 0), candidate(5, 0, 0, 0), candidate(5, 0, 0, 0)}), 1)
}
