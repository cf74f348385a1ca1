package main

import (
	"net"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow/internal/jobmetrics"
)

// metricsServer serves the metrics of one process over HTTP.
type metricsServer struct {
	app   *fiber.App
	group conc.WaitGroup
}

// serveMetrics starts a server of the metrics at the address and returns it.
func serveMetrics(address string, metrics *jobmetrics.Metrics) (*metricsServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &metricsServer{app: fiber.New()}
	s.app.Get("/metrics", func(c fiber.Ctx) error {
		_, err := metrics.WriteTo(c.Response().BodyWriter())
		return err
	})
	s.group.Go(func() {
		// An error means that the listener was closed, which happens only when the process exits.
		_ = s.app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true})
	})
	return s, nil
}

func (s *metricsServer) close() {
	_ = s.app.Shutdown()
	s.group.Wait()
}
