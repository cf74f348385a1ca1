// Package peer is the gRPC front end between entry hosts: it forwards requests, exchanges heartbeats and passes on
// configuration.
package peer
