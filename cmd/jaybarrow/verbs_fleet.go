package main

import (
	"context"
	"flag"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/pkg/client"
)

// values holds the flags of all verbs; each verb registers only those that it reads.
type values struct {
	share                          float64
	limit, maxUnavailable          int
	spare, open                    bool
	pool, class, dataCentre        string
	rack, address, purpose, moveTo string
	slots, memory, accelerators    int
	connections                    int
	target, answerWithin, runTime  time.Duration
	request, data, file            string
	idempotent                     bool
}

var poolVerbs = map[string]verb{
	"list": {run: func(ctx context.Context, c *client.Client, _ *options) (any, error) { return c.Pools(ctx) }},
	"get": {arguments: []string{"POOL"}, run: func(ctx context.Context, c *client.Client, o *options) (any, error) {
		pool, err := c.Pool(ctx, jaybarrow.PoolID(o.args[0]))
		return []client.Pool{pool}, err
	}},
	"put": {arguments: []string{"POOL"}, flags: func(f *flag.FlagSet, o *options) {
		f.IntVar(&o.values.maxUnavailable, "max-unavailable", 1, "hosts that may be draining or down at once")
		f.BoolVar(&o.values.spare, "spare", false, "the pool holds capacity back")
	}, run: func(ctx context.Context, c *client.Client, o *options) (any, error) {
		revision, err := o.requiredRevision()
		if err != nil {
			return nil, err
		}
		pool := jaybarrow.Pool{ID: jaybarrow.PoolID(o.args[0]), MaxUnavailable: o.values.maxUnavailable, Spare: o.values.spare}
		return c.PutPool(ctx, pool, revision)
	}},
	"delete": {arguments: []string{"POOL"}, run: func(ctx context.Context, c *client.Client, o *options) (any, error) {
		revision, err := o.requiredRevision()
		if err != nil {
			return nil, err
		}
		return c.DeletePool(ctx, jaybarrow.PoolID(o.args[0]), revision)
	}},
}

var queueVerbs = map[string]verb{
	"list": {run: func(ctx context.Context, c *client.Client, _ *options) (any, error) { return c.Queues(ctx) }},
	"get": {arguments: []string{"QUEUE"}, run: func(ctx context.Context, c *client.Client, o *options) (any, error) {
		queue, err := c.Queue(ctx, jaybarrow.QueueID(o.args[0]))
		return []client.Queue{queue}, err
	}},
	"put": {arguments: []string{"QUEUE"}, flags: func(f *flag.FlagSet, o *options) {
		f.StringVar(&o.values.pool, "pool", "", "pool that the requests run in")
		f.StringVar(&o.values.class, "class", string(jaybarrow.ClassQuick), "quick or slow")
		f.DurationVar(&o.values.target, "target", 0, "answer (quick) or finish (slow) within, such as 4s")
		f.BoolVar(&o.values.open, "open", false, "requests need no key and run as team public")
	}, run: func(ctx context.Context, c *client.Client, o *options) (any, error) {
		revision, err := o.requiredRevision()
		if err != nil {
			return nil, err
		}
		return c.PutQueue(ctx, jaybarrow.Queue{
			ID: jaybarrow.QueueID(o.args[0]), Pool: jaybarrow.PoolID(o.values.pool), Class: jaybarrow.Class(o.values.class),
			TargetMs: o.values.target.Milliseconds(), Open: o.values.open,
		}, revision)
	}},
	"delete": {arguments: []string{"QUEUE"}, run: func(ctx context.Context, c *client.Client, o *options) (any, error) {
		revision, err := o.requiredRevision()
		if err != nil {
			return nil, err
		}
		return c.DeleteQueue(ctx, jaybarrow.QueueID(o.args[0]), revision)
	}},
}

var targetVerbs = map[string]verb{
	"": {arguments: []string{"QUEUE", "TIME"}, run: func(ctx context.Context, c *client.Client, o *options) (any, error) {
		target, err := time.ParseDuration(o.args[1])
		if err != nil {
			return nil, usageError("TIME: %q is not a time such as 4s or 8h", o.args[1])
		}
		queue, err := c.Queue(ctx, jaybarrow.QueueID(o.args[0]))
		if err != nil {
			return nil, err
		}
		queue.TargetMs = target.Milliseconds()
		return c.PutQueue(ctx, queue.Queue, o.revisionOr(queue.Revision))
	}},
}

var hostVerbs = map[string]verb{
	"list": {run: func(ctx context.Context, c *client.Client, _ *options) (any, error) { return c.Hosts(ctx) }},
	"get": {arguments: []string{"HOST"}, run: func(ctx context.Context, c *client.Client, o *options) (any, error) {
		host, err := c.Host(ctx, jaybarrow.HostID(o.args[0]))
		return []client.Host{host}, err
	}},
	"put": {arguments: []string{"HOST"}, flags: hostFlags, run: putHost},
	"delete": {arguments: []string{"HOST"}, run: func(ctx context.Context, c *client.Client, o *options) (any, error) {
		revision, err := o.requiredRevision()
		if err != nil {
			return nil, err
		}
		return c.DeleteHost(ctx, jaybarrow.HostID(o.args[0]), revision)
	}},
}

func hostFlags(f *flag.FlagSet, o *options) {
	f.StringVar(&o.values.pool, "pool", "", "pool")
	f.StringVar(&o.values.dataCentre, "data-centre", "", "data centre")
	f.StringVar(&o.values.rack, "rack", "", "rack")
	f.StringVar(&o.values.address, "address", "", "IP address and port of the worker")
	f.IntVar(&o.values.slots, "slots", 8, "slots")
	f.IntVar(&o.values.memory, "memory", 0, "memory in MB")
	f.IntVar(&o.values.accelerators, "accelerators", 0, "accelerators")
	f.IntVar(&o.values.connections, "connections", 64, "connections that the worker accepts")
}

func putHost(ctx context.Context, c *client.Client, o *options) (any, error) {
	revision, err := o.requiredRevision()
	if err != nil {
		return nil, err
	}
	v := o.values
	return c.PutHost(ctx, jaybarrow.Host{
		ID: jaybarrow.HostID(o.args[0]), Pool: jaybarrow.PoolID(v.pool), DataCentre: jaybarrow.DataCentreID(v.dataCentre),
		Rack: jaybarrow.RackID(v.rack), Address: jaybarrow.Address(v.address), Connections: v.connections,
		Capacity: jaybarrow.Demand{
			Slots: jaybarrow.Slots(v.slots), Memory: jaybarrow.Megabytes(v.memory), Accelerators: jaybarrow.Accelerators(v.accelerators),
		},
	}, revision)
}
