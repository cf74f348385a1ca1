package store

import (
	"net"

	"github.com/jaybarrow/jaybarrow"
)

// NewLoopback returns a running Server with an empty store on free loopback ports.
func NewLoopback(clock jaybarrow.Clock, timing Timing) (*Server, error) {
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	control, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		_ = listen.Close()
		return nil, err
	}
	return NewServer(ServerDeps{
		Clock: clock, Core: NewCore(clock), Hosts: NewHosts(clock, timing), Listen: listen, Control: control,
	}), nil
}

// Core returns the store of the server. Direct calls to it are not subject to faults.
func (s *Server) Core() *Core { return s.core }

// Hosts returns the host list of the server. Direct calls to it are not subject to faults.
func (s *Server) Hosts() *Hosts { return s.hosts }
