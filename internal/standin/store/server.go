package store

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/etcd/gateway"
	"github.com/jaybarrow/jaybarrow/internal/standin/gate"
)

// Server serves a Core and a host list over HTTP. Their control endpoints have a separate listener, which is not subject to
// faults.
type Server struct {
	clock    jaybarrow.Clock
	core     *Core
	hosts    *Hosts
	listener *gate.Listener
	control  net.Listener
	faults   activeFaults
	calls    counter
	stop     context.CancelFunc
	servers  []*http.Server
	group    conc.WaitGroup
}

// ServerDeps are the dependencies of a Server.
type ServerDeps struct {
	Clock   jaybarrow.Clock
	Core    *Core
	Hosts   *Hosts
	Listen  net.Listener // for the platform calls
	Control net.Listener // for the control endpoints
}

// expiryInterval is the interval of lease expiry checks. It is short compared with leases, which last seconds.
const expiryInterval = 50 * time.Millisecond

// NewServer returns a running Server.
func NewServer(deps ServerDeps) *Server {
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		clock: deps.Clock, core: deps.Core, hosts: deps.Hosts,
		listener: gate.New(deps.Listen), control: deps.Control, stop: stop,
		calls: counter{calls: make(map[CallKind]int64)},
	}
	s.serve(ctx, s.listener, s.platformRoutes())
	s.serve(ctx, s.control, s.controlRoutes())
	s.group.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-s.clock.After(expiryInterval):
				s.core.Expire()
			}
		}
	})
	return s
}

func (s *Server) serve(ctx context.Context, listener net.Listener, routes http.Handler) {
	server := &http.Server{
		Handler:           routes,
		ReadHeaderTimeout: 10 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	s.servers = append(s.servers, server)
	s.group.Go(func() { _ = server.Serve(listener) })
}

func (s *Server) platformRoutes() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("POST "+gateway.PathRange, s.withFaults(CallRange, s.readRange))
	routes.HandleFunc("POST "+gateway.PathTxn, s.withFaults(CallTxn, s.txn))
	routes.HandleFunc("POST "+gateway.PathGrant, s.withFaults(CallGrant, s.grant))
	routes.HandleFunc("POST "+gateway.PathKeepAlive, s.withFaults(CallKeepAlive, s.keepAlive))
	routes.HandleFunc("POST "+gateway.PathRevoke, s.withFaults(CallRevoke, s.revoke))
	routes.HandleFunc("POST "+gateway.PathWatch, s.withFaults(CallWatch, s.watch))
	routes.HandleFunc("GET "+gateway.PathHosts, s.withFaults(CallHosts, s.listHosts))
	routes.HandleFunc("POST "+gateway.PathReboot("{host}"), s.withFaults(CallReboot, s.reboot))
	return routes
}

// Address returns the address for the platform calls.
func (s *Server) Address() jaybarrow.Address { return s.listener.Address() }

// ControlAddress returns the address of the control endpoints.
func (s *Server) ControlAddress() jaybarrow.Address {
	return jaybarrow.Address(s.control.Addr().String())
}

// SetFaults replaces the current faults. An outage closes the open connections, so that watches fail as well.
func (s *Server) SetFaults(f Faults) error {
	s.faults.set(f)
	if f.Outage == OutageRefuse {
		s.listener.Refuse()
	} else if err := s.listener.Reopen(); err != nil {
		return err
	}
	if f.Outage != OutageNone {
		s.listener.Cut()
	}
	return nil
}

// Faults returns the current faults.
func (s *Server) Faults() Faults { return s.faults.current() }

// Calls returns the number of calls that arrived, by kind.
func (s *Server) Calls() map[CallKind]int64 { return s.calls.snapshot() }

// Close ends all connections and stops the server.
func (s *Server) Close() {
	s.stop()
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.group.Wait()
}

// withFaults counts a call and applies the faults that precede its processing. A delayed call is processed even when its
// client has closed the connection in the meantime, as in a slow store.
func (s *Server) withFaults(kind CallKind, handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.calls.add(kind)
		if d := s.faults.delay(); d > 0 {
			<-s.clock.After(d)
		}
		if s.faults.current().fails(kind) {
			writeError(w, http.StatusServiceUnavailable, gateway.CodeUnavailable, "outage")
			return
		}
		handle(w, r)
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, status, code int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(gateway.ErrorResponse{Code: code, Message: message})
}

// decode decodes the body into request. If the body is invalid, it answers with status 400 and returns false.
func decode(w http.ResponseWriter, r *http.Request, request any) bool {
	if err := json.NewDecoder(r.Body).Decode(request); err != nil {
		writeError(w, http.StatusBadRequest, gateway.CodeInvalidArgument, err.Error())
		return false
	}
	return true
}
