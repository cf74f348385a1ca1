package site

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/sourcegraph/conc"
)

// answer writes a JSON answer; a caller that has gone does not matter to a stand-in.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// discard takes an answer that is lost.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}

func copyBody(to io.Writer, r *http.Request) (int64, error) { return io.Copy(to, r.Body) }

// withBody returns the request with another body, for a call that is carried out later.
func withBody(r *http.Request, body string) *http.Request {
	c := r.Clone(r.Context())
	c.Body = io.NopCloser(strings.NewReader(body))
	return c
}

// server is an HTTP server on a loopback port of its own.
type server struct {
	address string
	http    *http.Server
	group   conc.WaitGroup
}

func newServer(handler http.Handler) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err) // no loopback port: nothing can be tested here
	}
	s := &server{address: l.Addr().String(), http: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}}
	s.group.Go(func() {
		// An error means that the server was closed.
		_ = s.http.Serve(l)
	})
	return s
}

// headerTimeout ends a connection that never sends a request.
const headerTimeout = 10 * time.Second

// close cuts every connection.
func (s *server) close() {
	_ = s.http.Close()
	s.group.Wait()
}
