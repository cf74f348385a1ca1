package httpapi

import (
	"github.com/gofiber/fiber/v3"

	"github.com/jaybarrow/jaybarrow"
	fleetquery "github.com/jaybarrow/jaybarrow/internal/query/fleet"
	"github.com/jaybarrow/jaybarrow/internal/query/status"
)

func decodeAllRecords(*operatorDecoder) fleetquery.AllRecords { return fleetquery.AllRecords{} }

// decodeID returns the id in the path.
func decodeID[K ~string](d *operatorDecoder) K { return K(d.param("id")) }

// addQueryRoutes adds the routes of the operators' queries.
func (s *Server) addQueryRoutes(h Queries) {
	addQuery(s, "/v1/teams", h.Teams, nil, decodeAllRecords)
	addQuery(s, "/v1/teams/:id", h.Team, func(v fleetquery.Team) jaybarrow.Revision { return v.Revision }, decodeID[jaybarrow.TeamID])
	addQuery(s, "/v1/keys", h.Keys, nil, decodeAllRecords)
	addQuery(s, "/v1/keys/:id", h.Key, func(v fleetquery.Key) jaybarrow.Revision { return v.Revision }, decodeID[jaybarrow.KeyHash])
	addQuery(s, "/v1/pools", h.Pools, nil, decodeAllRecords)
	addQuery(s, "/v1/pools/:id", h.Pool, func(v fleetquery.Pool) jaybarrow.Revision { return v.Revision }, decodeID[jaybarrow.PoolID])
	addQuery(s, "/v1/queues", h.Queues, nil, decodeAllRecords)
	addQuery(s, "/v1/queues/:id", h.Queue, func(v fleetquery.Queue) jaybarrow.Revision { return v.Revision }, decodeID[jaybarrow.QueueID])
	addQuery(s, "/v1/hosts", h.Hosts, nil, decodeAllRecords)
	addQuery(s, "/v1/hosts/:id", h.Host, func(v fleetquery.Host) jaybarrow.Revision { return v.Revision }, decodeID[jaybarrow.HostID])
	addQuery(s, "/v1/drains", h.Drains, nil, decodeAllRecords)
	addQuery(s, "/v1/entries", h.EntryHosts, nil, decodeAllRecords)
	addQuery(s, "/v1/loads", h.Loads, nil, func(*operatorDecoder) status.AllLoads { return status.AllLoads{} })
	addQuery(s, "/v1/measures", h.Measures, nil, func(*operatorDecoder) status.AllMeasures { return status.AllMeasures{} })
	addQuery(s, "/v1/status", h.Configuration, nil, func(d *operatorDecoder) status.Configuration {
		return status.Configuration{Revision: jaybarrow.Revision(d.queryNumber("revision"))}
	})
	addQuery(s, "/v1/explain/:kind/:id", h.Explain, nil, func(d *operatorDecoder) jaybarrow.Subject {
		return jaybarrow.Subject{Kind: jaybarrow.SubjectKind(d.param("kind")), ID: d.param("id")}
	})
	if h.Vars != nil {
		s.app.Get("/debug/vars", s.requireOperatorKey(func(c fiber.Ctx) error {
			c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
			return c.Send(h.Vars())
		}))
	}
}
