package jobhost

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/admission"
	"github.com/jaybarrow/jaybarrow/internal/jobmetrics"
)

// observer logs and counts the decisions of the scheduler; it implements workload.Observer and scheduler.AdmissionObserver.
type observer struct {
	log      zerolog.Logger
	withheld zerolog.Logger // of starts that are withheld; limited, since an evacuation can concern hundreds at once
	metrics  *jobmetrics.Metrics
}

const (
	// maxWithheldLines bounds the log lines about withheld starts in each withheldLinesPeriod; the counter has all of them.
	maxWithheldLines    = 10
	withheldLinesPeriod = time.Second
)

func newObserver(log zerolog.Logger, metrics *jobmetrics.Metrics) observer {
	limited := log.Sample(&zerolog.BurstSampler{Burst: maxWithheldLines, Period: withheldLinesPeriod})
	return observer{log: log, withheld: limited, metrics: metrics}
}

// JobStarted logs the first start of a job and records how long the job waited for it.
func (o observer) JobStarted(job *jaybarrow.Job, waited time.Duration) {
	o.log.Info().Str("job", string(job.ID)).Str("queue", string(job.Queue)).Str("pool", string(job.Pool)).
		Int64("waitedMs", waited.Milliseconds()).Msg("job begins")
	o.record("job.toStartMs", job, waited)
}

// StartAnswered counts the answers of workers to starts.
func (o observer) StartAnswered(outcome jaybarrow.StartOutcome) {
	o.metrics.Count("start." + string(outcome))
}

// RunEnded logs the end of a run and counts its kind.
func (o observer) RunEnded(task jaybarrow.TaskRef, run jaybarrow.RunNumber, worker jaybarrow.WorkerID, kind jaybarrow.EndKind, ran time.Duration) {
	o.metrics.Count("end." + string(kind))
	o.log.Info().Str("task", task.String()).Int64("run", int64(run)).Str("worker", string(worker)).Str("end", string(kind)).
		Int64("ranMs", ran.Milliseconds()).Msg("run ended")
}

// JobEnded logs and counts the final state of a job and records how long the job took.
func (o observer) JobEnded(job *jaybarrow.Job, state jaybarrow.JobState, took time.Duration, failures int) {
	o.metrics.Count("job." + string(state))
	o.record("job.toEndMs", job, took)
	o.log.Info().Str("job", string(job.ID)).Str("queue", string(job.Queue)).Str("team", string(job.Team)).
		Str("state", string(state)).Int64("tookMs", took.Milliseconds()).Int("failures", failures).Msg("job ended")
}

// WorkerRestarted logs and counts that a worker has started again under its id.
func (o observer) WorkerRestarted(worker jaybarrow.WorkerID, lost, uncertain int) {
	o.metrics.Count("worker.restarted")
	o.log.Info().Str("worker", string(worker)).Int("lostRuns", lost).Int("uncertainRuns", uncertain).Msg("worker has started again")
}

// RoomHeld logs and counts that lasting tasks begin or cease to keep other work from workers.
func (o observer) RoomHeld(pool jaybarrow.PoolID, held, usable int) {
	if held > 0 {
		o.metrics.Count("room.held")
	}
	o.log.Info().Str("pool", string(pool)).Int("workers", held).Int("usable", usable).Msg("room is held for lasting tasks")
}

// HoldGivenUp logs and counts that a worker gets tasks again although its host awaits its maintenance.
func (o observer) HoldGivenUp(worker jaybarrow.WorkerID, obstacle jaybarrow.DrainObstacle) {
	o.metrics.Count("drain.givenUp." + string(obstacle))
	o.log.Info().Str("worker", string(worker)).Str("obstacle", string(obstacle)).Msg("worker gets tasks again before its maintenance")
}

// WorkerEjected logs and counts that a worker receives no new tasks for a while.
func (o observer) WorkerEjected(worker jaybarrow.WorkerID, reason string) {
	o.metrics.Count("worker.doubted")
	o.log.Warn().Str("worker", string(worker)).Str("reason", reason).Msg("worker receives no new tasks for a while")
}

// StartWithheld logs and counts that a start that was decided was not sent because of an evacuation.
func (o observer) StartWithheld(task jaybarrow.TaskRef, run jaybarrow.RunNumber, worker jaybarrow.WorkerID) {
	o.metrics.Count("evacuation.startsWithheld")
	o.withheld.Info().Str("task", task.String()).Int64("run", int64(run)).Str("worker", string(worker)).Msg("start is not sent, since its data centre is being evacuated or may be")
}

// AdviceEnded counts how calls to advisers ended and records how long the answers took.
func (o observer) AdviceEnded(queue jaybarrow.QueueID, outcome jaybarrow.AdviceOutcome, took time.Duration) {
	o.metrics.Count("advice." + string(outcome))
	if outcome == jaybarrow.AdviceAnswered {
		o.metrics.Record("advice.tookMs.queue."+string(queue), took)
	}
}

// JobJudged counts the decisions on new jobs by team and reason.
func (o observer) JobJudged(team jaybarrow.TeamID, admitted bool, reason admission.Reason) {
	outcome := "refused"
	if admitted {
		outcome = "admitted"
	}
	o.metrics.Count("admission." + outcome + "." + string(reason) + ".team." + string(team))
}

// TeamLimited logs and counts that a team begins or ceases to be limited to its part of a congested pool.
func (o observer) TeamLimited(pool jaybarrow.PoolID, team jaybarrow.TeamID, limited bool) {
	if !limited {
		o.log.Info().Str("pool", string(pool)).Str("team", string(team)).Msg("team is no longer limited to its share of the pool")
		return
	}
	o.metrics.Count("admission.limited.team." + string(team))
	o.log.Info().Str("pool", string(pool)).Str("team", string(team)).Msg("team is limited to its share of the pool")
}

func (o observer) record(name string, job *jaybarrow.Job, d time.Duration) {
	o.metrics.Record(name+".team."+string(job.Team), d)
	o.metrics.Record(name+".queue."+string(job.Queue), d)
}
