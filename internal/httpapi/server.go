package httpapi

import (
	"context"
	"net"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/clientlimit/fiberlimit"
	"github.com/jaybarrow/jaybarrow/internal/command"
	"github.com/jaybarrow/jaybarrow/internal/command/request"
	"github.com/jaybarrow/jaybarrow/internal/listen"
	"github.com/jaybarrow/jaybarrow/internal/rungroup"
)

// Settings are the settings of the front end.
type Settings struct {
	MaxBody         int               // largest body of a request, in bytes
	OperatorKeyHash jaybarrow.KeyHash // when empty, the operators' routes return KindForbidden
	Ready           func() bool       // whether the load balancer should send callers here; nil means always
	ShuttingDown    func() bool       // whether the entry host is stopping; nil means never
}

// Handlers are the handlers of the commands and queries that the front end serves.
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
	stop     context.CancelFunc
	group    *rungroup.Group
}

const (
	// IdleTimeout is the time after which an idle connection is closed, so that a graceful shutdown does not wait for it.
	IdleTimeout = 30 * time.Second
	// BodyTimeout bounds the time for receiving a body, so that one that stops arriving neither holds memory nor delays a graceful
	// shutdown.
	BodyTimeout = 30 * time.Second
	// WriteTimeout bounds the time in which a caller takes an answer.
	WriteTimeout = 30 * time.Second
)

// New starts a Server on the listener; Close stops it. A server that stops earlier is reported to onFault.
func New(log zerolog.Logger, listener net.Listener, settings Settings, handlers Handlers, onFault rungroup.Handler) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		settings: settings, handlers: handlers, log: log, stop: cancel, group: rungroup.New(onFault),
		listener: &lingeringListener{Listener: listen.New(jaybarrow.SystemClock{}, log, listener), group: rungroup.New(onFault)},
	}
	s.app = fiber.New(fiberlimit.Config(fiber.Config{
		BodyLimit: settings.MaxBody, ErrorHandler: s.writeError, IdleTimeout: IdleTimeout, WriteTimeout: WriteTimeout,
	}))
	fiberlimit.Guard(s.app, func() int { return settings.MaxBody }, BodyTimeout)
	s.app.Use(s.closeConnectionOnShutdown)
	s.app.Get("/healthz", s.healthz)
	s.app.Post("/v1/queues/:queue/requests", s.submit)
	s.app.Delete("/v1/requests/:id", s.cancel)
	s.addCommandRoutes(handlers.Commands)
	s.addQueryRoutes(handlers.Queries)
	s.group.Keep(ctx, "listener for callers", func() error {
		err := s.app.Listener(s.listener, fiber.ListenConfig{DisableStartupMessage: true})
		if err != nil {
			s.log.Error().Err(err).Msg("cannot serve HTTP; the listener has stopped")
		}
		return err
	})
	return s
}

// closeConnectionOnShutdown closes each connection after its response while the entry host is stopping, so that callers connect
// to another one.
func (s *Server) closeConnectionOnShutdown(c fiber.Ctx) error {
	err := c.Next()
	if s.shuttingDown() {
		c.Response().SetConnectionClose()
	}
	return err
}

// healthz is the health check of the platform's load balancer; it fails while callers should not be sent here.
func (s *Server) healthz(c fiber.Ctx) error {
	if s.shuttingDown() {
		return jaybarrow.Errorf(jaybarrow.KindShuttingDown, "the entry host is stopping")
	}
	if s.settings.Ready != nil && !s.settings.Ready() {
		return jaybarrow.Errorf(jaybarrow.KindStaleConfiguration, "the entry host is not registered or has no configuration yet")
	}
	return c.SendString("ok\n")
}

func (s *Server) shuttingDown() bool {
	return s.settings.ShuttingDown != nil && s.settings.ShuttingDown()
}

// Close stops accepting connections, waits for open requests until ctx ends, and then for lingering connections.
func (s *Server) Close(ctx context.Context) error {
	s.stop()
	err := s.app.ShutdownWithContext(ctx)
	// The shutdown does not close a listener that is not served yet; a second Close fails.
	_ = s.listener.Close()
	s.group.Wait()
	s.listener.group.Wait()
	return err
}
