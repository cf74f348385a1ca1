package rungroup

import (
	"context"
	"sync/atomic"

	"github.com/jaybarrow/jaybarrow/internal/logging"
)

// Crew runs many short parts of a Group in goroutines that it keeps. The stack that such a part needs is grown once, not for each part.
type Crew struct {
	group   *Group
	ctx     context.Context
	size    int64
	members atomic.Int64
	idle    chan crewTask // received from by members without a task
}

// crewTask is a part that a member runs.
type crewTask struct {
	part logging.Part
	run  func()
}

// NewCrew returns a Crew that keeps at most size goroutines of the group until ctx ends.
func NewCrew(ctx context.Context, group *Group, size int) *Crew {
	return &Crew{group: group, ctx: ctx, size: int64(size), idle: make(chan crewTask)}
}

// Go runs f like Group.Go; it never waits for a member.
func (c *Crew) Go(part logging.Part, f func()) {
	select {
	case c.idle <- crewTask{part, f}:
		return
	default:
	}
	if c.members.Add(1) > c.size {
		c.members.Add(-1)
		c.group.Go(part, f)
		return
	}
	c.group.group.Go(func() {
		c.group.guard(part, f)
		c.serve()
	})
}

// serve runs further parts until the context ends.
func (c *Crew) serve() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case t := <-c.idle:
			c.group.guard(t.part, t.run)
		}
	}
}
