package main

import (
	"context"
	"flag"
	"strconv"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/pkg/client"
)

var teamVerbs = map[string]verb{
	"list": {run: func(ctx context.Context, c *client.Client, _ *options) (any, error) { return c.Teams(ctx) }},
	"get": {arguments: []string{"TEAM"}, run: func(ctx context.Context, c *client.Client, o *options) (any, error) {
		team, err := c.Team(ctx, jaybarrow.TeamID(o.args[0]))
		return []client.Team{team}, err
	}},
	"put": {arguments: []string{"TEAM"}, flags: func(f *flag.FlagSet, o *options) {
		f.Float64Var(&o.values.share, "share", 1, "share of a full fleet, relative to other teams")
		f.IntVar(&o.values.limit, "limit", 0, "upper limit in slots, for a new team")
	}, run: func(ctx context.Context, c *client.Client, o *options) (any, error) {
		revision, err := o.requiredRevision()
		if err != nil {
			return nil, err
		}
		team := jaybarrow.Team{ID: jaybarrow.TeamID(o.args[0]), Share: jaybarrow.Share(o.values.share)}
		return c.PutTeam(ctx, team, jaybarrow.Slots(o.values.limit), revision)
	}},
	"delete": {arguments: []string{"TEAM"}, run: func(ctx context.Context, c *client.Client, o *options) (any, error) {
		revision, err := o.requiredRevision()
		if err != nil {
			return nil, err
		}
		return c.DeleteTeam(ctx, jaybarrow.TeamID(o.args[0]), revision)
	}},
}

var limitVerbs = map[string]verb{
	"": {arguments: []string{"TEAM", "SLOTS"}, run: func(ctx context.Context, c *client.Client, o *options) (any, error) {
		slots, err := strconv.Atoi(o.args[1])
		if err != nil {
			return nil, usageError("SLOTS: %q is not a whole number", o.args[1])
		}
		team, err := c.Team(ctx, jaybarrow.TeamID(o.args[0]))
		if err != nil {
			return nil, err
		}
		return c.SetLimit(ctx, team.ID, jaybarrow.Slots(slots), o.revisionOr(team.Limit.Revision))
	}},
}

var shareVerbs = map[string]verb{
	"": {arguments: []string{"TEAM", "SHARE"}, run: func(ctx context.Context, c *client.Client, o *options) (any, error) {
		share, err := strconv.ParseFloat(o.args[1], 64)
		if err != nil {
			return nil, usageError("SHARE: %q is not a number", o.args[1])
		}
		team, err := c.Team(ctx, jaybarrow.TeamID(o.args[0]))
		if err != nil {
			return nil, err
		}
		return c.SetShare(ctx, team.ID, jaybarrow.Share(share), o.revisionOr(team.Revision))
	}},
}

var keyVerbs = map[string]verb{
	"list": {run: func(ctx context.Context, c *client.Client, _ *options) (any, error) { return c.Keys(ctx) }},
	"add": {arguments: []string{"TEAM"}, run: func(ctx context.Context, c *client.Client, o *options) (any, error) {
		return c.AddKey(ctx, jaybarrow.TeamID(o.args[0]))
	}},
	"withdraw": {arguments: []string{"HASH"}, run: func(ctx context.Context, c *client.Client, o *options) (any, error) {
		revision, err := o.requiredRevision()
		if err != nil {
			return nil, err
		}
		return c.WithdrawKey(ctx, jaybarrow.KeyHash(o.args[0]), revision)
	}},
}
