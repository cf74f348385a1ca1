package main

import (
	"context"
	"net"

	"github.com/gofiber/fiber/v3"
	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/clientlimit"
	"github.com/jaybarrow/jaybarrow/internal/clientlimit/fiberlimit"
	"github.com/jaybarrow/jaybarrow/internal/jobmetrics"
	"github.com/jaybarrow/jaybarrow/internal/listen"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
)

// metricsServer serves the metrics of one process over HTTP.
type metricsServer struct {
	app      *fiber.App
	listener net.Listener
	cancel   context.CancelFunc
	group    *rungroup.Group
}

// serveMetrics starts a server of the metrics at the address and returns it; a server that stops before close is reported to onFault.
func serveMetrics(address string, limits *clientLimits, metrics *jobmetrics.Metrics, log zerolog.Logger, onFault rungroup.Handler) (*metricsServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l = limits.http(l, "metrics", limits.limits.Metrics)
	s := &metricsServer{app: fiber.New(fiberlimit.Config(fiber.Config{})), listener: listen.New(jaybarrow.SystemClock{}, log, l), cancel: cancel, group: rungroup.New(onFault)}
	fiberlimit.Guard(s.app, func() int { return 0 }, clientlimit.BodyTimeout)
	s.app.Get("/metrics", func(c fiber.Ctx) error {
		_, err := metrics.WriteTo(c.Response().BodyWriter())
		return err
	})
	s.group.Keep(ctx, "metrics server", func() error {
		return s.app.Listener(s.listener, fiber.ListenConfig{DisableStartupMessage: true})
	})
	return s, nil
}

func (s *metricsServer) close() {
	s.cancel()
	_ = s.app.Shutdown()
	_ = s.listener.Close() // the shutdown does not close a listener that is not served yet
	s.group.Wait()
}
