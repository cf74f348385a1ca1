package httpapi

import (
	"context"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/command"
	"github.com/jaybarrow/jaybarrow/internal/command/request"
)

// Settings bounds the front end and names the operators' key.
type Settings struct {
	MaxBody         int               // bytes
	OperatorKeyHash jaybarrow.KeyHash // empty: the operators' routes answer forbidden
	Ready           func() bool       // whether callers should be sent here; nil: always
	ShuttingDown    func() bool       // whether the entry host is stopping; nil: never
}

// Handlers are the commands and queries that the front end serves.
type Handlers struct {
	Submit   command.Handler[request.Submit, request.Submitted]
	Cancel   command.Handler[request.Cancel, jaybarrow.RequestID]
	Commands Commands
	Queries  Queries
}

// Server is a running HTTP front end.
type Server struct {
	app      *fiber.App
	settings Settings
	handlers Handlers
	log      zerolog.Logger
	listener *lingeringListener
	group    conc.WaitGroup
}

const (
	// IdleTimeout closes a caller's idle connection, so that a graceful shutdown does not wait for it.
	IdleTimeout = 30 * time.Second
	// ReadTimeout ends a request whose body stops arriving, so that it holds neither memory nor a graceful shutdown.
	ReadTimeout = 30 * time.Second
)

// New returns a running Server on the listener.
func New(log zerolog.Logger, listener net.Listener, settings Settings, handlers Handlers) *Server {
	s := &Server{settings: settings, handlers: handlers, log: log, listener: &lingeringListener{Listener: listener}}
	s.app = fiber.New(fiber.Config{
		BodyLimit: settings.MaxBody, ErrorHandler: s.fail, IdleTimeout: IdleTimeout, ReadTimeout: ReadTimeout,
	})
	s.app.Use(s.closeWhenLeaving)
	s.app.Get("/healthz", s.healthz)
	s.app.Post("/v1/queues/:queue/requests", s.submit)
	s.app.Delete("/v1/requests/:id", s.cancel)
	s.commandRoutes(handlers.Commands)
	s.queryRoutes(handlers.Queries)
	s.group.Go(func() {
		if err := s.app.Listener(s.listener, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
			s.log.Error().Err(err).Msg("HTTP server ended")
		}
	})
	return s
}

// closeWhenLeaving makes callers open their next connection to another entry host while this one stops.
func (s *Server) closeWhenLeaving(c fiber.Ctx) error {
	err := c.Next()
	if s.leaving() {
		c.Response().SetConnectionClose()
	}
	return err
}

// healthz tells the platform's balancer whether to send callers here.
func (s *Server) healthz(c fiber.Ctx) error {
	if s.leaving() {
		return jaybarrow.Errorf(jaybarrow.KindShuttingDown, "the entry host is stopping")
	}
	if s.settings.Ready != nil && !s.settings.Ready() {
		return jaybarrow.Errorf(jaybarrow.KindStaleConfiguration, "the entry host is not registered or has no configuration yet")
	}
	return c.SendString("ok\n")
}

func (s *Server) leaving() bool { return s.settings.ShuttingDown != nil && s.settings.ShuttingDown() }

// Close stops accepting connections and waits for open requests until ctx ends.
func (s *Server) Close(ctx context.Context) error {
	err := s.app.ShutdownWithContext(ctx)
	s.group.Wait()
	s.listener.group.Wait()
	return err
}
