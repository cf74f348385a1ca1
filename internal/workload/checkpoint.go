package workload

import (
	"slices"

	"github.com/jaybarrow/jaybarrow"
)

// maxCheckpointBytes bounds a checkpoint that is kept; a task with a larger one starts from its beginning.
const maxCheckpointBytes = 128

// keepCheckpoint replaces the checkpoint of the run's task and reports whether it has changed. The members of a gang must start from the same
// one, so each of them gets it.
func (r *run) keepCheckpoint(c jaybarrow.Checkpoint) bool {
	t := r.task
	if c == "" || c == t.checkpoint || len(c) > maxCheckpointBytes {
		return false
	}
	if !t.step.spec.Gang {
		t.checkpoint = c
		return true
	}
	if r.givenUp || slices.Contains(t.step.passed, c) {
		return false // the other members may have gone on since
	}
	t.step.setCheckpoint(c)
	return true
}

// maxPassedCheckpoints is how many earlier checkpoints of a gang are kept: more than a member saves in the longest lease.
const maxPassedCheckpoints = 32

// setCheckpoint replaces the checkpoint of a gang.
func (s *step) setCheckpoint(c jaybarrow.Checkpoint) {
	s.passed = append(s.passed[max(0, len(s.passed)-maxPassedCheckpoints+1):], c)
	for _, t := range s.tasks {
		t.checkpoint = c
	}
}

// alignCheckpoints gives the members of a gang the checkpoint that most of them have. Earlier builds have stored one for each member, and that of
// a lost member is the oldest.
func (s *step) alignCheckpoints() {
	counts := make(map[jaybarrow.Checkpoint]int, 1)
	var best jaybarrow.Checkpoint
	for _, t := range s.tasks {
		counts[t.checkpoint]++
		if t.checkpoint != "" && (best == "" || counts[t.checkpoint] > counts[best]) {
			best = t.checkpoint
		}
	}
	if len(counts) > 1 {
		s.setCheckpoint(best)
	}
}
