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

// change adds the route of a command; the answer's revision becomes the ETag.
func change[In, Out any](s *Server, method, path string, h command.Handler[In, Out], revision func(Out) jaybarrow.Revision, decode func(*operatorDecoder) In) {
	if h == nil {
		return
	}
	s.app.Add([]string{method}, path, s.guarded(func(c fiber.Ctx) error {
		d := &operatorDecoder{headerDecoder{ctx: c}}
		in := decode(d)
		if d.err != nil {
			return d.err
		}
		out, err := h.Handle(c.Context(), in)
		if err != nil {
			return err
		}
		return answer(c, out, revision(out))
	}))
}

// read adds the route of a query; revision is nil for an answer that no change is made from.
func read[In, Out any](s *Server, path string, h query.Handler[In, Out], revision func(Out) jaybarrow.Revision, decode func(*operatorDecoder) In) {
	if h == nil {
		return
	}
	s.app.Get(path, s.guarded(func(c fiber.Ctx) error {
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
		return answer(c, out, revision(out))
	}))
}

func answer(c fiber.Ctx, out any, revision jaybarrow.Revision) error {
	c.Set(fiber.HeaderETag, strconv.Quote(strconv.FormatInt(int64(revision), 10)))
	return c.JSON(out)
}

func changed(c fleet.Changed) jaybarrow.Revision { return c.Revision }

func (s *Server) commandRoutes(h Commands) {
	s.teamCommands(h)
	s.placeCommands(h)
	change(s, fiber.MethodPost, "/v1/drains", h.BeginDrain, changed, func(d *operatorDecoder) fleet.BeginDrain {
		var body struct {
			Host    jaybarrow.HostID       `json:"host"`
			Purpose jaybarrow.DrainPurpose `json:"purpose"`
			MoveTo  jaybarrow.PoolID       `json:"moveTo"`
		}
		d.body(&body)
		return fleet.BeginDrain(body)
	})
	change(s, fiber.MethodDelete, "/v1/drains/:id", h.EndDrain, changed, func(d *operatorDecoder) fleet.EndDrain {
		return fleet.EndDrain{Host: jaybarrow.HostID(d.param("id"))}
	})
	change(s, fiber.MethodPost, "/v1/waves", h.BeginWave, changed, func(d *operatorDecoder) fleet.BeginWave {
		var body struct {
			Pool jaybarrow.PoolID `json:"pool"`
		}
		d.body(&body)
		return fleet.BeginWave(body)
	})
}

func (s *Server) teamCommands(h Commands) {
	change(s, fiber.MethodPut, "/v1/teams/:id", h.PutTeam, changed, func(d *operatorDecoder) fleet.PutTeam {
		var body struct {
			ID    jaybarrow.TeamID `json:"id"`
			Share jaybarrow.Share  `json:"share"`
			Limit jaybarrow.Slots  `json:"limit"`
		}
		d.body(&body)
		sameID(d, &body.ID)
		return fleet.PutTeam{ID: body.ID, Share: body.Share, Limit: body.Limit, Revision: d.revision()}
	})
	change(s, fiber.MethodDelete, "/v1/teams/:id", h.DeleteTeam, changed, func(d *operatorDecoder) fleet.DeleteTeam {
		return fleet.DeleteTeam{ID: jaybarrow.TeamID(d.param("id")), Revision: d.revision()}
	})
	limitRevision := func(s limit.State) jaybarrow.Revision { return s.Revision }
	change(s, fiber.MethodPut, "/v1/teams/:id/limit", h.SetLimit, limitRevision, func(d *operatorDecoder) fleet.SetLimit {
		var body struct {
			Limit *jaybarrow.Slots `json:"limit"`
		}
		d.body(&body)
		in := fleet.SetLimit{Team: jaybarrow.TeamID(d.param("id")), Revision: d.revision()}
		if body.Limit == nil {
			d.fault("field limit: it is missing") // without this a missing field would stop the team
			return in
		}
		in.Limit = *body.Limit
		return in
	})
	change(s, fiber.MethodPut, "/v1/teams/:id/share", h.SetShare, changed, func(d *operatorDecoder) fleet.SetShare {
		var body struct {
			Share jaybarrow.Share `json:"share"`
		}
		d.body(&body)
		return fleet.SetShare{Team: jaybarrow.TeamID(d.param("id")), Share: body.Share, Revision: d.revision()}
	})
	keyRevision := func(k fleet.KeyAdded) jaybarrow.Revision { return k.Revision }
	change(s, fiber.MethodPost, "/v1/keys", h.AddKey, keyRevision, func(d *operatorDecoder) fleet.AddKey {
		var body struct {
			Team jaybarrow.TeamID `json:"team"`
		}
		d.body(&body)
		return fleet.AddKey(body)
	})
	change(s, fiber.MethodDelete, "/v1/keys/:id", h.WithdrawKey, changed, func(d *operatorDecoder) fleet.WithdrawKey {
		return fleet.WithdrawKey{Hash: jaybarrow.KeyHash(d.param("id")), Revision: d.revision()}
	})
}

func (s *Server) placeCommands(h Commands) {
	change(s, fiber.MethodPut, "/v1/pools/:id", h.PutPool, changed, func(d *operatorDecoder) fleet.PutPool {
		var in fleet.PutPool
		d.body(&in.Pool)
		sameID(d, &in.Pool.ID)
		in.Revision = d.revision()
		return in
	})
	change(s, fiber.MethodDelete, "/v1/pools/:id", h.DeletePool, changed, func(d *operatorDecoder) fleet.DeletePool {
		return fleet.DeletePool{ID: jaybarrow.PoolID(d.param("id")), Revision: d.revision()}
	})
	change(s, fiber.MethodPut, "/v1/queues/:id", h.PutQueue, changed, func(d *operatorDecoder) fleet.PutQueue {
		var in fleet.PutQueue
		d.body(&in.Queue)
		sameID(d, &in.Queue.ID)
		in.Revision = d.revision()
		return in
	})
	change(s, fiber.MethodDelete, "/v1/queues/:id", h.DeleteQueue, changed, func(d *operatorDecoder) fleet.DeleteQueue {
		return fleet.DeleteQueue{ID: jaybarrow.QueueID(d.param("id")), Revision: d.revision()}
	})
	change(s, fiber.MethodPut, "/v1/hosts/:id", h.PutHost, changed, func(d *operatorDecoder) fleet.PutHost {
		var in fleet.PutHost
		d.body(&in.Host)
		sameID(d, &in.Host.ID)
		in.Revision = d.revision()
		return in
	})
	change(s, fiber.MethodDelete, "/v1/hosts/:id", h.DeleteHost, changed, func(d *operatorDecoder) fleet.DeleteHost {
		return fleet.DeleteHost{ID: jaybarrow.HostID(d.param("id")), Revision: d.revision()}
	})
}
