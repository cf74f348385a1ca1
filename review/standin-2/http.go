package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"
)

// server is an HTTP server on a free port of a loopback address.
type server struct {
	address string
	http    *http.Server
}

func newServer(handler http.Handler) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{address: l.Addr().String(), http: &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

func (s *server) close() { _ = s.http.Close() }

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// leaveUnanswered keeps the call open until its caller has closed the connection, and then closes it without an answer.
func leaveUnanswered(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}
