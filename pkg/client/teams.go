package client

import (
	"context"
	"net/http"

	"github.com/jaybarrow/jaybarrow"
)

// Teams lists the teams.
func (c *Client) Teams(ctx context.Context) ([]Team, error) {
	return getJSON[[]Team](ctx, c, "/v1/teams")
}

// Team returns a team.
func (c *Client) Team(ctx context.Context, id jaybarrow.TeamID) (Team, error) {
	return getJSON[Team](ctx, c, pathTo("/v1/teams", id))
}

// PutTeam creates a team with its limit (revision 0), or changes the share of an existing one (limit 0).
func (c *Client) PutTeam(ctx context.Context, team jaybarrow.Team, limit jaybarrow.Slots, revision jaybarrow.Revision) (Changed, error) {
	return sendJSON[Changed](ctx, c, http.MethodPut, pathTo("/v1/teams", team.ID), revision, map[string]any{"share": team.Share, "limit": limit})
}

// DeleteTeam deletes a team that is not in use.
func (c *Client) DeleteTeam(ctx context.Context, id jaybarrow.TeamID, revision jaybarrow.Revision) (Changed, error) {
	return sendJSON[Changed](ctx, c, http.MethodDelete, pathTo("/v1/teams", id), revision, nil)
}

// SetLimit changes a team's limit; the revision is that of the limit, not of the team.
func (c *Client) SetLimit(ctx context.Context, id jaybarrow.TeamID, slots jaybarrow.Slots, revision jaybarrow.Revision) (Limit, error) {
	return sendJSON[Limit](ctx, c, http.MethodPut, pathTo("/v1/teams", id)+"/limit", revision, map[string]any{"limit": slots})
}

// SetShare changes a team's share; the revision is that of the team.
func (c *Client) SetShare(ctx context.Context, id jaybarrow.TeamID, share jaybarrow.Share, revision jaybarrow.Revision) (Changed, error) {
	return sendJSON[Changed](ctx, c, http.MethodPut, pathTo("/v1/teams", id)+"/share", revision, map[string]any{"share": share})
}

// Keys lists the hashes of the access keys.
func (c *Client) Keys(ctx context.Context) ([]Key, error) { return getJSON[[]Key](ctx, c, "/v1/keys") }

// AddKey creates an access key for a team.
func (c *Client) AddKey(ctx context.Context, team jaybarrow.TeamID) (KeyAdded, error) {
	return sendJSON[KeyAdded](ctx, c, http.MethodPost, "/v1/keys", noRevision, map[string]any{"team": team})
}

// WithdrawKey revokes an access key.
func (c *Client) WithdrawKey(ctx context.Context, hash jaybarrow.KeyHash, revision jaybarrow.Revision) (Changed, error) {
	return sendJSON[Changed](ctx, c, http.MethodDelete, pathTo("/v1/keys", hash), revision, nil)
}
