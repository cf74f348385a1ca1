package workload

import "github.com/jaybarrow/jaybarrow"

// The progress of a job is one value of the store, which refuses a larger one each time. Half of it is for the tasks that are done or were never
// assigned, half for the others, which have begun.
const (
	idleTaskBytes  = 14  // {"done":true},
	begunTaskBytes = 512 // with a worker's id and a checkpoint of the largest size
)

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
