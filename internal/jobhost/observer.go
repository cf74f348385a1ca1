package jobhost

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
)

// observer logs decisions; it implements workload.Observer.
type observer struct{ log zerolog.Logger }

// Ended logs the end of a run.
func (o observer) Ended(task jaybarrow.TaskRef, run jaybarrow.RunNumber, worker jaybarrow.WorkerID, kind jaybarrow.EndKind, ran time.Duration) {
	o.log.Info().Str("task", task.String()).Int64("run", int64(run)).Str("worker", string(worker)).Str("end", string(kind)).
		Int64("ranMs", ran.Milliseconds()).Msg("run ended")
}

// Finished logs the final state of a job.
func (o observer) Finished(job *jaybarrow.Job, state jaybarrow.JobState, took time.Duration, failures int) {
	o.log.Info().Str("job", string(job.ID)).Str("queue", string(job.Queue)).Str("team", string(job.Team)).
		Str("state", string(state)).Int64("tookMs", took.Milliseconds()).Int("failures", failures).Msg("job ended")
}

// Doubted logs that a worker rests.
func (o observer) Doubted(worker jaybarrow.WorkerID, reason string) {
	o.log.Warn().Str("worker", string(worker)).Str("reason", reason).Msg("worker receives no new tasks for a while")
}
