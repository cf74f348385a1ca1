package task

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/jaybarrow/jaybarrow"
)

// exchangeResult is how the exchange that carries the task ended.
type exchangeResult struct {
	sent    bool
	outcome Outcome
	body    []byte
	err     error
}

// run supervises one task: its exchange, and the renewals of its lease on other connections.
type run struct {
	client   *Client
	attempt  *attempt
	call     call
	answers  chan exchangeResult // receives one value
	renewals chan renewalResult
	renewNow chan struct{} // requests an immediate renewal
	stop     chan struct{} // closed to end renewLoop
	// exchangeFailed means that the exchange failed after its request was sent, so that only renewals report on the task.
	exchangeFailed  atomic.Bool
	exchangePending bool // the exchange has not ended
	unknownAnswers  int  // answers since the exchange failed in which the worker had no record of the task
}

// Run starts the task, renews its lease and blocks until its whole answer has arrived. The error carries the task's effect.
func (c *Client) Run(ctx context.Context, host jaybarrow.Host, t jaybarrow.Task) ([]byte, error) {
	if ctx.Err() != nil {
		return nil, jaybarrow.Errorf(jaybarrow.KindCancelled, "cancelled before the start")
	}
	a, err := c.newAttempt(host, t)
	if err != nil {
		return nil, err
	}
	c.attempts.Set(t.ID, a)
	r := &run{
		client: c, attempt: a, answers: make(chan exchangeResult, 1), renewals: make(chan renewalResult),
		renewNow: make(chan struct{}, 1), stop: make(chan struct{}), exchangePending: true,
	}
	c.group.Go("exchange with a worker", r.exchange)
	c.group.Go("renewals of a task", r.renewLoop)
	res := r.supervise(ctx)
	r.shutdown()
	if res.err == nil || jaybarrow.AsError(res.err).Effect != jaybarrow.EffectMayHaveRun {
		c.attempts.Delete(t.ID)
	}
	return res.body, res.err
}

// newAttempt returns the attempt with the start-before time converted to the worker's clock, for which it may need to read
// that clock first.
func (c *Client) newAttempt(host jaybarrow.Host, t jaybarrow.Task) (*attempt, error) {
	w := c.worker(host.Address)
	now := c.clock.Now()
	startBefore, boot, ok := w.clock.workerTime(now, t.StartBy)
	if !ok {
		_, err := c.Status(context.Background(), host)
		if err != nil { // retry on a new connection
			_, err = c.Status(context.Background(), host)
		}
		if err != nil {
			return nil, jaybarrow.AsError(err).WithEffect(jaybarrow.EffectNotRun)
		}
		now = c.clock.Now()
		startBefore, boot, ok = w.clock.workerTime(now, t.StartBy)
	}
	if !ok {
		return nil, jaybarrow.Errorf(jaybarrow.KindWorkerLost, "%s sends no clock reading", host.ID).WithEffect(jaybarrow.EffectNotRun)
	}
	if startBefore <= 0 || !now.Before(t.StartBy) {
		return nil, jaybarrow.Errorf(jaybarrow.KindWorkerRefused, "the start deadline on %s has passed", host.ID)
	}
	return &attempt{host: host, task: t, boot: boot, startBefore: startBefore}, nil
}

// exchange sends the start and delivers the result to answers.
func (r *run) exchange() {
	a := r.attempt
	w := r.client.worker(a.host.Address)
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	encodeStart(request, a, r.client.settings.Lease)
	sent, err := exchange(w.tasks, &r.call, r.client.settings.RunTimeout, request, response, func(response *fasthttp.Response) error {
		r.client.observe(w, response)
		return checkAnswer(a.task.ID, response)
	})
	if errors.Is(err, errConnectionRefused) {
		sent = false
	}
	r.answers <- exchangeResult{
		sent: sent, err: err, outcome: Outcome(response.Header.Peek(HeaderOutcome)),
		body: append([]byte(nil), response.Body()...),
	}
}

func encodeStart(request *fasthttp.Request, a *attempt, lease time.Duration) {
	t := a.task
	request.SetRequestURI("http://" + string(a.host.Address) + "/tasks/" + string(t.ID))
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set(HeaderRequest, string(t.Request))
	request.Header.Set(HeaderTeam, string(t.Team))
	request.Header.Set(HeaderSlots, strconv.Itoa(int(t.Demand.Slots)))
	request.Header.Set(HeaderLease, strconv.FormatInt(lease.Milliseconds(), 10))
	request.Header.Set(HeaderStartBefore, strconv.FormatInt(int64(a.startBefore), 10))
	request.Header.Set(HeaderBoot, string(a.boot))
	request.Header.Set(HeaderIdempotent, strconv.FormatBool(t.Idempotent))
	request.Header.Set(HeaderEntry, string(t.Entry))
	request.Header.Set(HeaderIncarnation, strconv.FormatInt(int64(t.Incarnation), 10))
	request.SetBodyRaw(t.Body)
}

// supervise waits until the result of the run is known.
func (r *run) supervise(ctx context.Context) runResult {
	clock, settings := r.client.clock, r.client.settings
	leaseEnd := jaybarrow.LeaseEndAfter(r.attempt.task.StartBy, settings.Lease)
	leaseExpired := clock.After(leaseEnd.Sub(clock.Now()))
	var grace <-chan time.Time // set once the worker has reported that the task ended
	for {
		select {
		case answer := <-r.answers:
			r.exchangePending = false
			if res, final := r.evaluateAnswer(answer); final {
				return res
			}
			r.exchangeFailed.Store(true)
			r.renewNow <- struct{}{} // the only send, for which the channel has room
		case renewal := <-r.renewals:
			res, state := r.evaluateRenewal(renewal)
			switch {
			case state == stateFinal:
				return res
			case state == stateEnded && r.exchangeFailed.Load():
				return r.fetchStoredAnswer()
			case state == stateEnded && grace == nil:
				grace = clock.After(settings.AnswerGrace)
			case state == stateRunning:
				if renewed := jaybarrow.LeaseEndAfter(renewal.sentAt, settings.Lease); renewed.After(leaseEnd) {
					leaseEnd = renewed
					leaseExpired = clock.After(leaseEnd.Sub(clock.Now()))
				}
			}
		case <-grace:
			return r.fetchStoredAnswer()
		case <-ctx.Done():
			return r.cancel()
		case <-leaseExpired:
			return r.handleLeaseExpiry()
		}
	}
}

// evaluateAnswer returns the result that the exchange gave. It returns false when the request was sent and no valid
// response came.
func (r *run) evaluateAnswer(answer exchangeResult) (runResult, bool) {
	host := r.attempt.host
	switch {
	case errors.Is(answer.err, errConnectionRefused), errors.Is(answer.err, fasthttp.ErrNoFreeConns):
		return runResult{err: jaybarrow.Errorf(jaybarrow.KindWorkerRefused, "%s: %w", host.ID, answer.err)}, true
	case answer.err != nil && !answer.sent:
		return workerLost(jaybarrow.EffectNotRun, "run on %s: %w", host.ID, answer.err), true
	case answer.err != nil:
		return runResult{}, false
	}
	r.attempt.setEnded()
	return resultOf(host, answer.outcome, answer.body)
}

// abort ends the exchange and returns how it ended. It returns false when the exchange had ended before.
func (r *run) abort() (exchangeResult, bool) {
	if !r.exchangePending {
		return exchangeResult{}, false
	}
	r.call.abort()
	r.exchangePending = false
	return <-r.answers, true
}

// shutdown stops the renewals and the exchange. The task's body is not used after it returns.
func (r *run) shutdown() {
	r.attempt.stopRenewals()
	close(r.stop)
	r.abort()
}

// handleLeaseExpiry returns the result of a run whose lease must have ended because no renewal was confirmed.
func (r *run) handleLeaseExpiry() runResult {
	if answer, ok := r.abort(); ok {
		if res, final := r.evaluateAnswer(answer); final {
			return res
		}
	}
	return workerLost(jaybarrow.EffectMayHaveRun, "%s confirmed no renewal of the lease", r.attempt.host.ID)
}

// fetchStoredAnswer closes the task's connection and fetches the answer that the worker stored when the task ended.
func (r *run) fetchStoredAnswer() runResult {
	a := r.attempt
	if answer, ok := r.abort(); ok {
		if res, final := r.evaluateAnswer(answer); final {
			return res
		}
	}
	a.setEnded()
	stored, err := r.client.askWithRetry(a.host, fasthttp.MethodGet, a.task.ID)
	switch {
	case err != nil:
		return workerLost(jaybarrow.EffectMayHaveRun, "fetch the answer of the ended task: %w", err)
	case a.workerRestarted(stored):
		return workerLost(jaybarrow.EffectMayHaveRun, "%s restarted", a.host.ID)
	case stored.outcome == OutcomeRefused && !a.neverRan(stored):
		return workerLost(jaybarrow.EffectMayHaveRun, "%s refused the task", a.host.ID)
	case stored.outcome == OutcomeDone && !stored.kept:
		return workerLost(jaybarrow.EffectRan, "%s no longer has the answer", a.host.ID)
	}
	if res, final := resultOf(a.host, stored.outcome, stored.body); final {
		return res
	}
	return workerLost(jaybarrow.EffectMayHaveRun, "%s reports outcome %s for the ended task", a.host.ID, stored.outcome)
}

// cancel makes the worker stop the task, or refuse its start.
func (r *run) cancel() runResult {
	a := r.attempt
	a.stopRenewals()
	if answer, ok := r.abort(); ok {
		if !answer.sent {
			return runResult{err: jaybarrow.Errorf(jaybarrow.KindCancelled, "cancelled before the start on %s", a.host.ID)}
		}
		if res, final := r.evaluateAnswer(answer); final {
			return res
		}
	}
	cancelled := jaybarrow.Errorf(jaybarrow.KindCancelled, "cancelled on %s", a.host.ID)
	reported, err := r.client.askWithRetry(a.host, fasthttp.MethodDelete, a.task.ID)
	if err == nil && a.neverRan(reported) {
		return runResult{err: cancelled}
	}
	if err == nil && a.cannotRun(reported) {
		a.setEnded()
	}
	return runResult{err: cancelled.WithEffect(jaybarrow.EffectMayHaveRun)}
}
