package adviser

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
)

// maxWaiting is the most calls that wait for their turn; a further one is refused.
const maxWaiting = 32

// Settings are the times and the policy of an Adviser.
type Settings struct {
	Times jaybarrow.AdviceSettings
	// TimesOf returns the times for a step; Times when it is nil.
	TimesOf func(jaybarrow.StepRef) jaybarrow.AdviceSettings
	// Allows is the policy; nil allows every worker.
	Allows func(jaybarrow.StepRef, jaybarrow.WorkerID) bool
	// SkipsAbandoned means that no time is spent on a call whose caller has gone.
	SkipsAbandoned bool
}

// Counts says what became of the calls.
type Counts struct {
	Calls     int
	Answers   int           // that reached their caller
	Abandoned int           // calls whose caller went before the answer
	Refused   int           // because too many were waiting
	Named     int           // workers, in all answers
	Busy      time.Duration // spent on decisions
	Waiting   int           // the most calls that waited at once
}

// ticket is a permission that was given.
type ticket struct {
	step    jaybarrow.StepRef
	worker  jaybarrow.WorkerID
	expires time.Time
}

// call is a call that waits for its turn.
type call struct {
	ctx     context.Context
	step    jaybarrow.StepRef
	workers []jaybarrow.WorkerID
	answer  chan jaybarrow.Advice
}

// Adviser decides in turn; it implements jaybarrow.Adviser and is safe for concurrent use.
type Adviser struct {
	settings Settings
	queue    chan *call
	stop     chan struct{}
	group    conc.WaitGroup

	lock    sync.Mutex
	counts  Counts
	tickets map[jaybarrow.Ticket]ticket
	deaf    bool          // whether calls are accepted and never answered
	lost    bool          // whether calls fail at once
	stalled chan struct{} // closed once decisions go on; nil unless they stand still
}

var _ jaybarrow.Adviser = (*Adviser)(nil)

// New returns a running Adviser.
func New(s Settings) *Adviser {
	a := &Adviser{settings: s, queue: make(chan *call, maxWaiting), stop: make(chan struct{}), tickets: make(map[jaybarrow.Ticket]ticket)}
	a.group.Go(a.serve)
	return a
}

// Close stops the decisions.
func (a *Adviser) Close() {
	close(a.stop)
	a.group.Wait()
}

// SetDeaf sets whether calls are accepted and never answered, not even later.
func (a *Adviser) SetDeaf(deaf bool) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.deaf = deaf
}

// SetLost sets whether calls fail at once, as on a refused connection.
func (a *Adviser) SetLost(lost bool) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.lost = lost
}

// SetStalled sets whether the decisions stand still; calls that arrive meanwhile are served afterwards.
func (a *Adviser) SetStalled(stalled bool) {
	a.lock.Lock()
	defer a.lock.Unlock()
	switch {
	case stalled && a.stalled == nil:
		a.stalled = make(chan struct{})
	case !stalled && a.stalled != nil:
		close(a.stalled)
		a.stalled = nil
	}
}

// Counts returns what became of the calls so far.
func (a *Adviser) Counts() Counts {
	a.lock.Lock()
	defer a.lock.Unlock()
	return a.counts
}

// Permits reports whether the ticket is one for a task of the step on the worker, and has not expired.
func (a *Adviser) Permits(t jaybarrow.Ticket, step jaybarrow.StepRef, worker jaybarrow.WorkerID) bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	given, ok := a.tickets[t]
	return ok && given.step == step && given.worker == worker && time.Now().Before(given.expires)
}

// Advise waits for the decision in its turn.
func (a *Adviser) Advise(ctx context.Context, step jaybarrow.StepRef, workers []jaybarrow.WorkerID) (jaybarrow.Advice, error) {
	c := &call{ctx: ctx, step: step, workers: workers, answer: make(chan jaybarrow.Advice, 1)}
	a.lock.Lock()
	a.counts.Calls++
	deaf, lost := a.deaf, a.lost
	a.lock.Unlock()
	switch {
	case lost:
		return jaybarrow.Advice{}, jaybarrow.Errorf(jaybarrow.KindPeerLost, "the connection was refused")
	case deaf:
		<-ctx.Done()
		return jaybarrow.Advice{}, jaybarrow.Errorf(jaybarrow.KindPeerLost, "no answer: %w", ctx.Err())
	}
	select {
	case a.queue <- c:
	default:
		a.lock.Lock()
		a.counts.Refused++
		a.lock.Unlock()
		return jaybarrow.Advice{}, jaybarrow.Errorf(jaybarrow.KindQueueFull, "%d calls are waiting", maxWaiting)
	}
	a.lock.Lock()
	a.counts.Waiting = max(a.counts.Waiting, len(a.queue))
	a.lock.Unlock()
	select {
	case <-ctx.Done():
		return jaybarrow.Advice{}, jaybarrow.Errorf(jaybarrow.KindPeerLost, "no answer: %w", ctx.Err())
	case out := <-c.answer:
		return out, nil
	}
}

// serve decides one call after the other until the adviser is closed.
func (a *Adviser) serve() {
	for {
		select {
		case <-a.stop:
			return
		case c := <-a.queue:
			a.await()
			if a.settings.SkipsAbandoned && c.ctx.Err() != nil {
				a.finish(c, 0)
				continue
			}
			times := a.settings.Times
			if a.settings.TimesOf != nil {
				times = a.settings.TimesOf(c.step)
			}
			cost := times.Time(len(c.workers))
			select {
			case <-a.stop:
				return
			case <-time.After(cost):
			}
			a.finish(c, cost)
		}
	}
}

// await returns once decisions do not stand still.
func (a *Adviser) await() {
	a.lock.Lock()
	stalled := a.stalled
	a.lock.Unlock()
	if stalled != nil {
		select {
		case <-stalled:
		case <-a.stop:
		}
	}
}

// finish answers a call, unless its caller has gone.
func (a *Adviser) finish(c *call, cost time.Duration) {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.counts.Busy += cost
	if c.ctx.Err() != nil {
		a.counts.Abandoned++
		return
	}
	a.counts.Answers++
	a.counts.Named += len(c.workers)
	out := jaybarrow.Advice{Tickets: make(map[jaybarrow.WorkerID]jaybarrow.Ticket), Valid: a.settings.Times.Valid}
	for _, id := range c.workers {
		if a.settings.Allows != nil && !a.settings.Allows(c.step, id) {
			continue
		}
		t := jaybarrow.Ticket(fmt.Sprintf("ticket-%d", len(a.tickets)))
		a.tickets[t] = ticket{step: c.step, worker: id, expires: time.Now().Add(a.settings.Times.Valid)}
		out.Tickets[id] = t
	}
	c.answer <- out
}
