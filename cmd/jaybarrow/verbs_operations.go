package main

import (
	"context"
	"flag"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/pkg/client"
)

var drainVerbs = map[string]verb{
	"list": {run: func(ctx context.Context, c *client.Client, _ *options) (any, error) { return c.Drains(ctx) }},
	"begin": {arguments: []string{"HOST"}, flags: func(f *flag.FlagSet, o *options) {
		f.StringVar(&o.values.purpose, "purpose", string(jaybarrow.PurposeHold), "hold, reboot or move")
		f.StringVar(&o.values.moveTo, "move-to", "", "pool, for a move")
	}, run: func(ctx context.Context, c *client.Client, o *options) (any, error) {
		return c.BeginDrain(ctx, jaybarrow.HostID(o.args[0]), jaybarrow.DrainPurpose(o.values.purpose), jaybarrow.PoolID(o.values.moveTo))
	}},
	"end": {arguments: []string{"HOST"}, run: func(ctx context.Context, c *client.Client, o *options) (any, error) {
		return c.EndDrain(ctx, jaybarrow.HostID(o.args[0]))
	}},
}

var waveVerbs = map[string]verb{
	"": {arguments: []string{"POOL"}, run: func(ctx context.Context, c *client.Client, o *options) (any, error) {
		return c.BeginWave(ctx, jaybarrow.PoolID(o.args[0]))
	}},
}

var statusVerbs = map[string]verb{
	"": {run: func(ctx context.Context, c *client.Client, o *options) (any, error) {
		return c.Status(ctx, max(0, jaybarrow.Revision(o.revision)))
	}},
	"loads":    {run: func(ctx context.Context, c *client.Client, _ *options) (any, error) { return c.Loads(ctx) }},
	"measures": {run: func(ctx context.Context, c *client.Client, _ *options) (any, error) { return c.Measures(ctx) }},
	"entries":  {run: func(ctx context.Context, c *client.Client, _ *options) (any, error) { return c.EntryHosts(ctx) }},
}

var explainVerbs = map[string]verb{
	"": {arguments: []string{"request|host|team|pool", "ID"}, run: func(ctx context.Context, c *client.Client, o *options) (any, error) {
		return c.Explain(ctx, jaybarrow.Subject{Kind: jaybarrow.SubjectKind(o.args[0]), ID: o.args[1]})
	}},
}
