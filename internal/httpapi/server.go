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

// Handlers are the commands and queries that the front end serves.
type Handlers struct {
	Submit command.Handler[request.Submit, request.Submitted]
	Cancel command.Handler[request.Cancel, jaybarrow.RequestID]
}

// Server is a running HTTP front end.
type Server struct {
	app      *fiber.App
	handlers Handlers
	log      zerolog.Logger
	group    conc.WaitGroup
}

// New returns a running Server on the listener; a body above maxBody bytes is refused.
func New(log zerolog.Logger, listener net.Listener, maxBody int, handlers Handlers) *Server {
	s := &Server{handlers: handlers, log: log}
	s.app = fiber.New(fiber.Config{BodyLimit: maxBody, ErrorHandler: s.fail, IdleTimeout: IdleTimeout})
	s.app.Post("/v1/queues/:queue/requests", s.submit)
	s.app.Delete("/v1/requests/:id", s.cancel)
	s.group.Go(func() {
		if err := s.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true}); err != nil {
			s.log.Error().Err(err).Msg("HTTP server ended")
		}
	})
	return s
}

// Close stops accepting connections and waits for open requests until ctx ends.
func (s *Server) Close(ctx context.Context) error {
	err := s.app.ShutdownWithContext(ctx)
	s.group.Wait()
	return err
}

// IdleTimeout closes a caller's idle connection, so that a graceful shutdown does not wait for it.
const IdleTimeout = 30 * time.Second
