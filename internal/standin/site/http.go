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

// writeJSON answers with the status and the body as JSON. It ignores write errors: the client has closed the connection.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// discardWriter is the ResponseWriter of a call whose answer is lost.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}

func copyBody(dst io.Writer, r *http.Request) (int64, error) { return io.Copy(dst, r.Body) }

// withBody returns a copy of the request with the body, for a call that is executed later, when the request body can no
// longer be read.
func withBody(r *http.Request, body string) *http.Request {
	c := r.Clone(r.Context())
	c.Body = io.NopCloser(strings.NewReader(body))
	return c
}

// server is an HTTP server on its own loopback port.
type server struct {
	address string
	http    *http.Server
	group   conc.WaitGroup
}

func newServer(handler http.Handler) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err) // without a loopback port no test can run
	}
	s := &server{address: l.Addr().String(), http: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}}
	s.group.Go(func() {
		// Serve only fails when the server is closed.
		_ = s.http.Serve(l)
	})
	return s
}

// headerTimeout closes a connection on which no request arrives.
const headerTimeout = 10 * time.Second

// close closes every connection and waits until the server has stopped.
func (s *server) close() {
	_ = s.http.Close()
	s.group.Wait()
}
