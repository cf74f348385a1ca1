package rungroup

import (
	"context"
	"sync/atomic"

	"github.com/jaybarrow/jaybarrow/internal/logging"
)

// GoroutinePool runs many short parts of a Group in goroutines that it keeps. The stack that such a part needs is grown once, not for each part.
type GoroutinePool struct {
	group      *Group
	ctx        context.Context
	size       int64
	goroutines atomic.Int64
	idle       chan pooledPart // received from by goroutines that have nothing to run
}

// pooledPart is a part that a goroutine of the pool runs.
type pooledPart struct {
	part logging.Part
	run  func()
}

// NewGoroutinePool returns a GoroutinePool that keeps at most size goroutines of the group until ctx ends.
func NewGoroutinePool(ctx context.Context, group *Group, size int) *GoroutinePool {
	return &GoroutinePool{group: group, ctx: ctx, size: int64(size), idle: make(chan pooledPart)}
}

// Go runs f like Group.Go; it never waits for a free goroutine.
func (p *GoroutinePool) Go(part logging.Part, f func()) {
	select {
	case p.idle <- pooledPart{part, f}:
		return
	default:
	}
	if p.goroutines.Add(1) > p.size {
		p.goroutines.Add(-1)
		p.group.Go(part, f)
		return
	}
	p.group.group.Go(func() {
		p.group.guard(part, f)
		p.serve()
	})
}

// serve runs further parts until the context ends.
func (p *GoroutinePool) serve() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case t := <-p.idle:
			p.group.guard(t.part, t.run)
		}
	}
}
