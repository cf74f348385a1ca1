package pool

import (
	"context"
	"sync"

	"github.com/jaybarrow/jaybarrow"
)

// lifecycle counts the tasks whose end is not known, and records whether the scheduler accepts requests. Its read lock is held
// while a request is added to a queue, so that no goroutine is started once Close waits for them.
type lifecycle struct {
	sync.RWMutex
	refusal jaybarrow.ErrorKind // KindHandOver or KindShuttingDown; empty while requests are accepted

	tasksLock sync.Mutex
	tasks     int
	idle      chan struct{} // closed when tasks falls to 0; nil when nothing waits for it
}

// refuseRequests makes submit refuse further requests with the kind.
func (l *lifecycle) refuseRequests(kind jaybarrow.ErrorKind) {
	l.Lock()
	defer l.Unlock()
	l.refusal = kind
}

func (l *lifecycle) taskStarted() {
	l.tasksLock.Lock()
	defer l.tasksLock.Unlock()
	l.tasks++
}

func (l *lifecycle) taskEnded() {
	l.tasksLock.Lock()
	defer l.tasksLock.Unlock()
	l.tasks--
	if l.tasks == 0 && l.idle != nil {
		close(l.idle)
		l.idle = nil
	}
}

// waitIdle blocks until no task runs; it returns an error when ctx ends first.
func (l *lifecycle) waitIdle(ctx context.Context) error {
	l.tasksLock.Lock()
	if l.tasks == 0 {
		l.tasksLock.Unlock()
		return nil
	}
	if l.idle == nil {
		l.idle = make(chan struct{})
	}
	idle := l.idle
	l.tasksLock.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return jaybarrow.Errorf(jaybarrow.KindShuttingDown, "wait for running tasks: %w", ctx.Err())
	}
}

// Drain prepares a planned stop: it answers new and queued requests with KindHandOver, so that their entry hosts resubmit
// them. It blocks until the end of every running task is known, and returns an error when ctx ends first.
func (s *Scheduler) Drain(ctx context.Context) error {
	s.refuseAll(jaybarrow.KindHandOver, "the scheduler of the pool is changing")
	return s.lifecycle.waitIdle(ctx)
}

// Close answers queued requests with KindShuttingDown, waits for running tasks and stops the pools' loops.
func (s *Scheduler) Close() {
	s.refuseAll(jaybarrow.KindShuttingDown, "the entry host is stopping")
	s.once.Do(func() { close(s.stop) })
	s.group.Wait()
}

// refuseAll answers new and queued requests with an error of the kind.
func (s *Scheduler) refuseAll(kind jaybarrow.ErrorKind, reason string) {
	s.lifecycle.refuseRequests(kind)
	s.pools.Each(func(_ jaybarrow.PoolID, p *poolRuntime) {
		p.Lock()
		p.refusal = kind
		var queued []*waiter
		for _, item := range p.state.WithdrawAll() {
			queued = append(queued, p.takeQueued(item.ID))
		}
		p.Unlock()
		for _, w := range queued {
			s.refuse(w, jaybarrow.Errorf(kind, "%s", reason))
		}
	})
}
