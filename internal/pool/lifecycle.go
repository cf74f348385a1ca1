package pool

import (
	"context"
	"sync"

	"github.com/jaybarrow/jaybarrow"
)

// lifecycle counts tasks whose end is not known, and refuses requests once the scheduler stops. Its read lock is held
// while a request is queued, so that no goroutine is started after Close waits for them.
type lifecycle struct {
	sync.RWMutex
	refusal jaybarrow.ErrorKind // KindHandOver or KindShuttingDown; empty while requests are taken

	tasksLock sync.Mutex
	tasks     int
	idle      chan struct{} // closed when tasks falls to 0; nil while nobody waits
}

func (l *lifecycle) refuse(kind jaybarrow.ErrorKind) {
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

// waitIdle returns when no task runs, or with the error of ctx.
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
		return jaybarrow.Errorf(jaybarrow.KindShuttingDown, "tasks are still running: %w", ctx.Err())
	}
}

// Drain prepares a planned stop: new and queued requests are answered KindHandOver, so that their entry hosts resubmit
// them. It returns when the end of every running task is known, or with an error when ctx ends before.
func (s *Scheduler) Drain(ctx context.Context) error {
	s.handBack(jaybarrow.KindHandOver, "the scheduler of the pool is changing")
	return s.life.waitIdle(ctx)
}

// Close answers queued requests with KindShuttingDown, waits for running tasks and stops the pools' loops.
func (s *Scheduler) Close() {
	s.handBack(jaybarrow.KindShuttingDown, "the entry host is stopping")
	s.once.Do(func() { close(s.stop) })
	s.group.Wait()
}

// handBack refuses new requests and answers the queued ones.
func (s *Scheduler) handBack(kind jaybarrow.ErrorKind, reason string) {
	s.life.refuse(kind)
	s.pools.Each(func(_ jaybarrow.PoolID, p *poolRun) {
		p.Lock()
		p.refusal = kind
		var queued []*waiter
		for _, item := range p.state.WithdrawAll() {
			queued = append(queued, p.takeWaiter(item.ID))
		}
		p.Unlock()
		for _, w := range queued {
			s.refuse(w, jaybarrow.Errorf(kind, "%s", reason))
		}
	})
}
