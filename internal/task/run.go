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

// answered is how the exchange that carries the task ended.
type answered struct {
	sent    bool
	outcome Outcome
	body    []byte
	err     error
}

// run supervises one task: its exchange, and the renewals of its lease on other connections.
type run struct {
	client  *Client
	attempt *attempt
	call    call
	answers chan answered // gets one value
	reports chan renewal
	hurry   chan struct{} // asks for a renewal now
	stop    chan struct{} // ends the renewals
	// detached means that the exchange failed after its request was sent, so that only renewals tell of the task.
	detached atomic.Bool
	pending  bool // the exchange has not ended
	unknowns int  // answers, since the exchange failed, that the worker does not know the task
}

// Run starts the task and waits for its whole answer, renewing its lease.
func (c *Client) Run(ctx context.Context, host jaybarrow.Host, t jaybarrow.Task) ([]byte, error) {
	if ctx.Err() != nil {
		return nil, jaybarrow.Errorf(jaybarrow.KindCancelled, "cancelled before the start")
	}
	a, err := c.prepare(host, t)
	if err != nil {
		return nil, err
	}
	c.attempts.Set(t.ID, a)
	r := &run{
		client: c, attempt: a, answers: make(chan answered, 1), reports: make(chan renewal),
		hurry: make(chan struct{}, 1), stop: make(chan struct{}), pending: true,
	}
	c.group.Go(r.exchange)
	c.group.Go(r.renewals)
	v := r.supervise(ctx)
	r.end()
	if v.err == nil || jaybarrow.AsError(v.err).Effect != jaybarrow.EffectMayHaveRun {
		c.attempts.Delete(t.ID)
	}
	return v.body, v.err
}

// prepare converts the start-before time to the worker's clock.
func (c *Client) prepare(host jaybarrow.Host, t jaybarrow.Task) (*attempt, error) {
	w := c.worker(host.Address)
	now := c.clock.Now()
	startBefore, boot, ok := w.clock.at(now, t.StartBy)
	if !ok {
		_, err := c.Status(context.Background(), host)
		if err != nil { // once more, on a new connection
			_, err = c.Status(context.Background(), host)
		}
		if err != nil {
			return nil, jaybarrow.AsError(err).WithEffect(jaybarrow.EffectNotRun)
		}
		now = c.clock.Now()
		startBefore, boot, ok = w.clock.at(now, t.StartBy)
	}
	if !ok {
		return nil, jaybarrow.Errorf(jaybarrow.KindWorkerLost, "%s does not tell its clock", host.ID).WithEffect(jaybarrow.EffectNotRun)
	}
	if startBefore <= 0 || !now.Before(t.StartBy) {
		return nil, jaybarrow.Errorf(jaybarrow.KindWorkerRefused, "too late for a start on %s", host.ID)
	}
	return &attempt{host: host, task: t, boot: boot, startBefore: startBefore}, nil
}

// exchange sends the start and delivers how it was answered.
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
	r.answers <- answered{
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

// supervise waits for the first certain word on the task.
func (r *run) supervise(ctx context.Context) verdict {
	clock, settings := r.client.clock, r.client.settings
	end := jaybarrow.LeaseEndAfter(r.attempt.task.StartBy, settings.Lease)
	leaseOver := clock.After(end.Sub(clock.Now()))
	var grace <-chan time.Time // runs once the worker has said that the task ended
	for {
		select {
		case answer := <-r.answers:
			r.pending = false
			if v, final := r.conclude(answer); final {
				return v
			}
			r.detached.Store(true)
			r.hurry <- struct{}{} // the only send; the channel has room for it
		case report := <-r.reports:
			v, state := r.consider(report)
			switch {
			case state == stateFinal:
				return v
			case state == stateEnded && r.detached.Load():
				return r.fetch()
			case state == stateEnded && grace == nil:
				grace = clock.After(settings.AnswerGrace)
			case state == stateRunning:
				if renewed := jaybarrow.LeaseEndAfter(report.sentAt, settings.Lease); renewed.After(end) {
					end = renewed
					leaseOver = clock.After(end.Sub(clock.Now()))
				}
			}
		case <-grace:
			return r.fetch()
		case <-ctx.Done():
			return r.cancel()
		case <-leaseOver:
			return r.giveUp()
		}
	}
}

// conclude judges the exchange's end; it is not final when the request was sent and no valid answer came.
func (r *run) conclude(answer answered) (verdict, bool) {
	host := r.attempt.host
	switch {
	case errors.Is(answer.err, errConnectionRefused), errors.Is(answer.err, fasthttp.ErrNoFreeConns):
		return verdict{err: jaybarrow.Errorf(jaybarrow.KindWorkerRefused, "%s: %w", host.ID, answer.err)}, true
	case answer.err != nil && !answer.sent:
		return lost(jaybarrow.EffectNotRun, "run on %s: %w", host.ID, answer.err), true
	case answer.err != nil:
		return verdict{}, false
	}
	r.attempt.setEnded()
	return verdictOf(host, answer.outcome, answer.body)
}

// abort ends the exchange and returns how it ended.
func (r *run) abort() (answered, bool) {
	if !r.pending {
		return answered{}, false
	}
	r.call.abort()
	r.pending = false
	return <-r.answers, true
}

// end stops the renewals and the exchange; the task's body is not used after it.
func (r *run) end() {
	r.attempt.close()
	close(r.stop)
	r.abort()
}

// giveUp is called when no renewal was confirmed for so long that the lease must have ended.
func (r *run) giveUp() verdict {
	if answer, ok := r.abort(); ok {
		if v, final := r.conclude(answer); final {
			return v
		}
	}
	return lost(jaybarrow.EffectMayHaveRun, "%s confirmed no renewal of the lease", r.attempt.host.ID)
}

// fetch closes the task's connection and gets the stored answer of an ended task.
func (r *run) fetch() verdict {
	a := r.attempt
	if answer, ok := r.abort(); ok {
		if v, final := r.conclude(answer); final {
			return v
		}
	}
	a.setEnded()
	result, err := r.client.askTwice(a.host, fasthttp.MethodGet, a.task.ID)
	switch {
	case err != nil:
		return lost(jaybarrow.EffectMayHaveRun, "the task ended, its answer is lost: %w", err)
	case a.restarted(result):
		return lost(jaybarrow.EffectMayHaveRun, "%s restarted", a.host.ID)
	case result.outcome == OutcomeRefused && !a.neverRan(result):
		return lost(jaybarrow.EffectMayHaveRun, "%s refused the task", a.host.ID)
	case result.outcome == OutcomeDone && !result.kept:
		return lost(jaybarrow.EffectRan, "%s does not have the answer any more", a.host.ID)
	}
	if v, final := verdictOf(a.host, result.outcome, result.body); final {
		return v
	}
	return lost(jaybarrow.EffectMayHaveRun, "%s says that the ended task is %s", a.host.ID, result.outcome)
}

// cancel tells the worker to stop the task, or never to start it.
func (r *run) cancel() verdict {
	a := r.attempt
	a.close()
	if answer, ok := r.abort(); ok {
		if !answer.sent {
			return verdict{err: jaybarrow.Errorf(jaybarrow.KindCancelled, "cancelled before the start on %s", a.host.ID)}
		}
		if v, final := r.conclude(answer); final {
			return v
		}
	}
	cancelled := jaybarrow.Errorf(jaybarrow.KindCancelled, "cancelled on %s", a.host.ID)
	result, err := r.client.askTwice(a.host, fasthttp.MethodDelete, a.task.ID)
	if err == nil && a.neverRan(result) {
		return verdict{err: cancelled}
	}
	if err == nil && a.over(result) {
		a.setEnded()
	}
	return verdict{err: cancelled.WithEffect(jaybarrow.EffectMayHaveRun)}
}
