// Package peer is the gRPC front end between entry hosts: it forwards requests and exchanges heartbeats and
// configuration records.
package peer
