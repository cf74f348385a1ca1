package httpapi

import (
	"strconv"

	"github.com/gofiber/fiber/v3"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/command"
	"github.com/jaybarrow/jaybarrow/internal/command/fleet"
	"github.com/jaybarrow/jaybarrow/internal/limit"
	"github.com/jaybarrow/jaybarrow/internal/query"
)

// addCommand adds the route of a command; the revision of the result is returned as the ETag.
func addCommand[In, Out any](s *Server, method, path string, h command.Handler[In, Out], revision func(Out) jaybarrow.Revision, decode func(*operatorDecoder) In) {
	if h == nil {
		return
	}
	s.app.Add([]string{method}, path, s.requireOperatorKey(func(c fiber.Ctx) error {
		d := &operatorDecoder{headerDecoder{ctx: c}}
		in := decode(d)
		if d.err != nil {
			return d.err
		}
		out, err := h.Handle(c.Context(), in)
		if err != nil {
			return err
		}
		return writeWithETag(c, out, revision(out))
	}))
}

// addQuery adds the route of a query; revision is nil when no change can be based on the result.
func addQuery[In, Out any](s *Server, path string, h query.Handler[In, Out], revision func(Out) jaybarrow.Revision, decode func(*operatorDecoder) In) {
	if h == nil {
		return
	}
	s.app.Get(path, s.requireOperatorKey(func(c fiber.Ctx) error {
		d := &operatorDecoder{headerDecoder{ctx: c}}
		in := decode(d)
		if d.err != nil {
			return d.err
		}
		out, err := h.Answer(c.Context(), in)
		if err != nil {
			return err
		}
		if revision == nil {
			return c.JSON(out)
		}
		return writeWithETag(c, out, revision(out))
	}))
}

// writeWithETag sends the result as JSON and its revision as the ETag.
func writeWithETag(c fiber.Ctx, out any, revision jaybarrow.Revision) error {
	c.Set(fiber.HeaderETag, strconv.Quote(strconv.FormatInt(int64(revision), 10)))
	return c.JSON(out)
}

func changedRevision(c fleet.Changed) jaybarrow.Revision { return c.Revision }

// addCommandRoutes adds the routes of the operators' commands.
func (s *Server) addCommandRoutes(h Commands) {
	s.addTeamCommands(h)
	s.addPoolCommands(h)
	addCommand(s, fiber.MethodPost, "/v1/drains", h.BeginDrain, changedRevision, func(d *operatorDecoder) fleet.BeginDrain {
		var body struct {
			Host    jaybarrow.HostID       `json:"host"`
			Purpose jaybarrow.DrainPurpose `json:"purpose"`
			MoveTo  jaybarrow.PoolID       `json:"moveTo"`
		}
		d.body(&body)
		return fleet.BeginDrain(body)
	})
	addCommand(s, fiber.MethodDelete, "/v1/drains/:id", h.EndDrain, changedRevision, func(d *operatorDecoder) fleet.EndDrain {
		return fleet.EndDrain{Host: jaybarrow.HostID(d.param("id"))}
	})
	addCommand(s, fiber.MethodPost, "/v1/waves", h.BeginWave, changedRevision, func(d *operatorDecoder) fleet.BeginWave {
		var body struct {
			Pool jaybarrow.PoolID `json:"pool"`
		}
		d.body(&body)
		return fleet.BeginWave(body)
	})
}

// addTeamCommands adds the routes of the commands on teams and their keys.
func (s *Server) addTeamCommands(h Commands) {
	addCommand(s, fiber.MethodPut, "/v1/teams/:id", h.PutTeam, changedRevision, func(d *operatorDecoder) fleet.PutTeam {
		var body struct {
			ID    jaybarrow.TeamID `json:"id"`
			Share jaybarrow.Share  `json:"share"`
			Limit jaybarrow.Slots  `json:"limit"`
		}
		d.body(&body)
		setPathID(d, &body.ID)
		return fleet.PutTeam{ID: body.ID, Share: body.Share, Limit: body.Limit, Revision: d.revision()}
	})
	addCommand(s, fiber.MethodDelete, "/v1/teams/:id", h.DeleteTeam, changedRevision, func(d *operatorDecoder) fleet.DeleteTeam {
		return fleet.DeleteTeam{ID: jaybarrow.TeamID(d.param("id")), Revision: d.revision()}
	})
	limitRevision := func(s limit.State) jaybarrow.Revision { return s.Revision }
	addCommand(s, fiber.MethodPut, "/v1/teams/:id/limit", h.SetLimit, limitRevision, func(d *operatorDecoder) fleet.SetLimit {
		var body struct {
			Limit *jaybarrow.Slots `json:"limit"`
		}
		d.body(&body)
		in := fleet.SetLimit{Team: jaybarrow.TeamID(d.param("id")), Revision: d.revision()}
		if body.Limit == nil {
			d.reject("field limit: it is missing") // a missing field would otherwise set the limit to 0 and stop the team
			return in
		}
		in.Limit = *body.Limit
		return in
	})
	addCommand(s, fiber.MethodPut, "/v1/teams/:id/share", h.SetShare, changedRevision, func(d *operatorDecoder) fleet.SetShare {
		var body struct {
			Share jaybarrow.Share `json:"share"`
		}
		d.body(&body)
		return fleet.SetShare{Team: jaybarrow.TeamID(d.param("id")), Share: body.Share, Revision: d.revision()}
	})
	keyRevision := func(k fleet.KeyAdded) jaybarrow.Revision { return k.Revision }
	addCommand(s, fiber.MethodPost, "/v1/keys", h.AddKey, keyRevision, func(d *operatorDecoder) fleet.AddKey {
		var body struct {
			Team jaybarrow.TeamID `json:"team"`
		}
		d.body(&body)
		return fleet.AddKey(body)
	})
	addCommand(s, fiber.MethodDelete, "/v1/keys/:id", h.WithdrawKey, changedRevision, func(d *operatorDecoder) fleet.WithdrawKey {
		return fleet.WithdrawKey{Hash: jaybarrow.KeyHash(d.param("id")), Revision: d.revision()}
	})
}

// addPoolCommands adds the routes of the commands on pools, queues and hosts.
func (s *Server) addPoolCommands(h Commands) {
	addCommand(s, fiber.MethodPut, "/v1/pools/:id", h.PutPool, changedRevision, func(d *operatorDecoder) fleet.PutPool {
		var in fleet.PutPool
		d.body(&in.Pool)
		setPathID(d, &in.Pool.ID)
		in.Revision = d.revision()
		return in
	})
	addCommand(s, fiber.MethodDelete, "/v1/pools/:id", h.DeletePool, changedRevision, func(d *operatorDecoder) fleet.DeletePool {
		return fleet.DeletePool{ID: jaybarrow.PoolID(d.param("id")), Revision: d.revision()}
	})
	addCommand(s, fiber.MethodPut, "/v1/queues/:id", h.PutQueue, changedRevision, func(d *operatorDecoder) fleet.PutQueue {
		var in fleet.PutQueue
		d.body(&in.Queue)
		setPathID(d, &in.Queue.ID)
		in.Revision = d.revision()
		return in
	})
	addCommand(s, fiber.MethodDelete, "/v1/queues/:id", h.DeleteQueue, changedRevision, func(d *operatorDecoder) fleet.DeleteQueue {
		return fleet.DeleteQueue{ID: jaybarrow.QueueID(d.param("id")), Revision: d.revision()}
	})
	addCommand(s, fiber.MethodPut, "/v1/hosts/:id", h.PutHost, changedRevision, func(d *operatorDecoder) fleet.PutHost {
		var in fleet.PutHost
		d.body(&in.Host)
		setPathID(d, &in.Host.ID)
		in.Revision = d.revision()
		return in
	})
	addCommand(s, fiber.MethodDelete, "/v1/hosts/:id", h.DeleteHost, changedRevision, func(d *operatorDecoder) fleet.DeleteHost {
		return fleet.DeleteHost{ID: jaybarrow.HostID(d.param("id")), Revision: d.revision()}
	})
}
