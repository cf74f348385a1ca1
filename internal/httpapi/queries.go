package httpapi

import (
	"github.com/gofiber/fiber/v3"

	"github.com/jaybarrow/jaybarrow"
	fleetquery "github.com/jaybarrow/jaybarrow/internal/query/fleet"
	"github.com/jaybarrow/jaybarrow/internal/query/status"
)

func everything(*operatorDecoder) fleetquery.Everything { return fleetquery.Everything{} }

func id[K ~string](d *operatorDecoder) K { return K(d.param("id")) }

func (s *Server) queryRoutes(h Queries) {
	read(s, "/v1/teams", h.Teams, nil, everything)
	read(s, "/v1/teams/:id", h.Team, func(v fleetquery.Team) jaybarrow.Revision { return v.Revision }, id[jaybarrow.TeamID])
	read(s, "/v1/keys", h.Keys, nil, everything)
	read(s, "/v1/keys/:id", h.Key, func(v fleetquery.Key) jaybarrow.Revision { return v.Revision }, id[jaybarrow.KeyHash])
	read(s, "/v1/pools", h.Pools, nil, everything)
	read(s, "/v1/pools/:id", h.Pool, func(v fleetquery.Pool) jaybarrow.Revision { return v.Revision }, id[jaybarrow.PoolID])
	read(s, "/v1/queues", h.Queues, nil, everything)
	read(s, "/v1/queues/:id", h.Queue, func(v fleetquery.Queue) jaybarrow.Revision { return v.Revision }, id[jaybarrow.QueueID])
	read(s, "/v1/hosts", h.Hosts, nil, everything)
	read(s, "/v1/hosts/:id", h.Host, func(v fleetquery.Host) jaybarrow.Revision { return v.Revision }, id[jaybarrow.HostID])
	read(s, "/v1/drains", h.Drains, nil, everything)
	read(s, "/v1/entries", h.EntryHosts, nil, everything)
	read(s, "/v1/loads", h.Loads, nil, func(*operatorDecoder) status.AllLoads { return status.AllLoads{} })
	read(s, "/v1/measures", h.Measures, nil, func(*operatorDecoder) status.AllMeasures { return status.AllMeasures{} })
	read(s, "/v1/status", h.Configuration, nil, func(d *operatorDecoder) status.Configuration {
		return status.Configuration{Revision: jaybarrow.Revision(d.queryNumber("revision"))}
	})
	read(s, "/v1/explain/:kind/:id", h.Explain, nil, func(d *operatorDecoder) jaybarrow.Subject {
		return jaybarrow.Subject{Kind: jaybarrow.SubjectKind(d.param("kind")), ID: d.param("id")}
	})
	if h.Vars != nil {
		s.app.Get("/debug/vars", s.guarded(func(c fiber.Ctx) error {
			c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
			return c.Send(h.Vars())
		}))
	}
}
