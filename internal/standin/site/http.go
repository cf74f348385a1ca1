package site

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
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
	address  string
	http     *http.Server
	listener *outageListener
	group    conc.WaitGroup
}

func newServer(handler http.Handler) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err) // without a loopback port no test can run
	}
	outages := &outageListener{Listener: l, open: make(map[*trackedConn]bool)}
	s := &server{address: l.Addr().String(), listener: outages, http: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}}
	s.group.Go(func() {
		// Serve only fails when the server is closed.
		_ = s.http.Serve(outages)
	})
	return s
}

// outageListener resets its connections while it is down.
type outageListener struct {
	net.Listener
	lock sync.Mutex
	down bool
	open map[*trackedConn]bool
}

// trackedConn is a connection that an outageListener can reset.
type trackedConn struct {
	net.Conn
	listener *outageListener
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.listener.lock.Lock()
	delete(c.listener.open, c)
	c.listener.lock.Unlock()
	return c.Conn.Close()
}

// Accept returns the next connection that is made while the listener is not down.
func (l *outageListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.lock.Lock()
		if !l.down {
			c := &trackedConn{conn, l}
			l.open[c] = true
			l.lock.Unlock()
			return c, nil
		}
		l.lock.Unlock()
		reset(conn)
	}
}

// setDown begins or ends an outage, at whose begin all connections are reset.
func (l *outageListener) setDown(down bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.down = down
	for c := range l.open {
		if down {
			reset(c.Conn)
		}
	}
}

// reset closes the connection without waiting for what was sent.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // an error means that the connection is closed already
	}
	_ = c.Close()
}

// headerTimeout closes a connection on which no request arrives.
const headerTimeout = 10 * time.Second

// close closes every connection and waits until the server has stopped.
func (s *server) close() {
	_ = s.http.Close()
	s.group.Wait()
}
