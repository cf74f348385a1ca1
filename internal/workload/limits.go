package workload

import (
	"slices"

	"github.com/jaybarrow/jaybarrow"
)

// The progress of a job is one value of the store, which refuses a larger one each time. Half of it is for the tasks that are done or were never
// assigned, half for the others, which have begun.
const (
	idleTaskBytes  = 14  // {"done":true},
	begunTaskBytes = 512 // with a worker's id and a checkpoint of the largest size
)

// maxCheckpointBytes bounds a checkpoint that is kept; a task with a larger one starts from its beginning.
const maxCheckpointBytes = 128

// MaxTasks returns the most tasks of a job whose progress fits into a value of the given size.
func MaxTasks(valueBytes int) int { return valueBytes / 2 / idleTaskBytes }

// MaxBegunTasks returns the most tasks of a job that may have begun and not be done, with a value of the given size.
func MaxBegunTasks(valueBytes int) int { return valueBytes / 2 / begunTaskBytes }

// mayBegin reports whether the task has begun before or one more task of its job may begin.
func (p *Pool) mayBegin(t *task) bool {
	return t.run > 0 || t.step.job.begun < MaxBegunTasks(p.settings.MaxValueBytes)
}

// mayBeginOf returns how many tasks of the job may begin or begin again before others of it are done. The rest keeps nobody else waiting.
func (p *Pool) mayBeginOf(j *job) int {
	return max(0, MaxBegunTasks(p.settings.MaxValueBytes)-j.begun) + max(0, j.begun-j.runs)
}

// setRun sets the number of the task's last run.
func (t *task) setRun(number jaybarrow.RunNumber) {
	t.step.job.begun += t.begun(number) - t.begun(t.run)
	t.run = number
}

// begun returns 1 if the task counts as begun with the number of its last run, else 0.
func (t *task) begun(number jaybarrow.RunNumber) int {
	if number > 0 && !t.done {
		return 1
	}
	return 0
}

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
