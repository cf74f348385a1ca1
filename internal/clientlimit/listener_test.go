package clientlimit_test

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/clientlimit"
)

// limitedListener is a Listener with its clients, which connect one after the other.
type limitedListener struct {
	*clientlimit.Listener
	t       *testing.T
	reached atomic.Int64
}

func newLimitedListener(t *testing.T, connections int) *limitedListener {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &limitedListener{t: t}
	reporter := clientlimit.NewReporter(jaybarrow.SystemClock{}, zerolog.Nop(), func(string) { l.reached.Add(1) })
	l.Listener = clientlimit.New(inner, clientlimit.Settings{Name: "callers", MaxConnections: connections, Reporter: reporter})
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// connect returns both ends of a new connection.
func (l *limitedListener) connect() (client net.Conn, server *clientlimit.Conn) {
	client, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(l.t, err)
	l.t.Cleanup(func() { _ = client.Close() })
	accepted, err := l.Accept()
	assert.NilError(l.t, err)
	server = clientlimit.Of(accepted)
	assert.Assert(l.t, server != nil)
	return client, server
}

// isClosed reports whether the process has closed its end of the connection.
func isClosed(t *testing.T, c *clientlimit.Conn) bool {
	t.Helper()
	return c.Conn.SetReadDeadline(time.Now().Add(time.Hour)) != nil // that of c would make it idle
}

// answer serves a request on the connection.
func answer(t *testing.T, c *clientlimit.Conn) {
	t.Helper()
	c.Serve()
	_, err := c.Write([]byte("answer"))
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Hour)))
}

// Guards against the end of a connection whose answer is written in part only, and of one whose read is interrupted while it serves.
func TestAConnectionIsNotIdleBeforeItsAnswerIsComplete(t *testing.T) {
	l := newLimitedListener(t, 1)
	_, c := l.connect()
	c.Serve()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Hour)))
	_, err := c.Write([]byte("ans"))
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Unix(1, 0)))
	refused, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer refused.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		next, _ := l.Accept() // returns when a connection is accepted or the listener is closed
		accepted <- next
	}()
	assert.NilError(t, refused.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = refused.Read(make([]byte, 1))
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "the new connection is open: %v", err)
	assert.Assert(t, !isClosed(t, c))
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Hour)))
	further, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer further.Close()
	assert.Assert(t, <-accepted != nil)
	assert.Assert(t, isClosed(t, c), "an idle connection gives way")
}

// Guards against more connections than allowed, and against the end of a connection with a request in progress, whose caller would not know
// what became of it, while others wait or have sent nothing.
func TestTheLeastUsefulConnectionIsClosed(t *testing.T) {
	const connections = 40
	l := newLimitedListener(t, connections)
	var conns []*clientlimit.Conn
	for i := range connections {
		_, c := l.connect()
		conns = append(conns, c)
		switch {
		case i < 10:
			c.Serve()
		case i < 20:
			answer(t, c)
		}
	}
	assert.Equal(t, l.reached.Load(), int64(0))
	closed := func(from, to int) (n int) {
		for _, c := range conns[from:to] {
			if isClosed(t, c) {
				n++
			}
		}
		return n
	}
	for range 20 {
		_, c := l.connect()
		c.Serve()
	}
	assert.Equal(t, closed(20, 40), 20, "connections without a request go first")
	assert.Equal(t, closed(0, 20), 0)
	for range 10 {
		_, c := l.connect()
		c.Serve()
	}
	assert.Equal(t, closed(10, 20), 10, "then idle ones")
	assert.Equal(t, closed(0, 10), 0)
	assert.Equal(t, l.Open(), int64(connections))
	assert.Equal(t, l.reached.Load(), int64(30))

	// With requests in progress on all connections, a new one is closed.
	client, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer client.Close()
	go func() {
		_, _ = l.Accept() // returns when the listener is closed
	}()
	_, err = client.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	assert.Equal(t, closed(0, 10), 0)
	assert.Equal(t, l.Open(), int64(connections))
}

// Guards against a count of open connections that a second Close changes.
func TestConnectionsAreCountedOnce(t *testing.T) {
	l := newLimitedListener(t, 10)
	_, c := l.connect()
	assert.NilError(t, c.Close())
	assert.NilError(t, c.Close())
	assert.Equal(t, l.Open(), int64(0))
}

// Guards against answers that together exceed the total, and against room that is not returned when an answer was decoded.
func TestAnswersOfServers(t *testing.T) {
	const total = 1 << 20
	answers := clientlimit.NewAnswers(total, nil)
	server, client := net.Pipe()
	defer client.Close()
	go func() {
		for {
			if _, err := client.Write(make([]byte, 128<<10)); err != nil {
				return
			}
		}
	}()
	c := answers.Wrap(server)
	buffer := make([]byte, 128<<10)
	read := func() error {
		_, err := c.Read(buffer)
		return err
	}
	for range 7 {
		assert.NilError(t, read())
	}
	assert.Assert(t, answers.Used() > total/2)
	c.Release()
	assert.Equal(t, answers.Used(), int64(0))
	for range 8 {
		assert.NilError(t, read())
	}
	assert.ErrorIs(t, read(), clientlimit.ErrAnswers)
	assert.Equal(t, answers.Used(), int64(0))
}

// lateConn is a connection whose Read returns data after the connection was closed by the hook.
type lateConn struct {
	net.Conn
	closeNow func()
}

func (c *lateConn) Read(p []byte) (int, error) {
	c.closeNow()
	return len(p), nil
}

func (c *lateConn) Close() error { return nil }

func (c *lateConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// oneListener accepts one connection.
type oneListener struct {
	net.Listener
	conn net.Conn
}

func (l oneListener) Accept() (net.Conn, error) { return l.conn, nil }

// Guards against bytes that stay counted for ever when a connection is closed by another goroutine during its Read.
func TestACloseDuringAReadLeavesNothingCounted(t *testing.T) {
	late := new(lateConn)
	l := clientlimit.New(oneListener{conn: late}, clientlimit.Settings{MaxConnections: 2, Messages: 1 << 20})
	c, err := l.Accept()
	assert.NilError(t, err)
	late.closeNow = func() { _ = c.Close() }
	_, err = c.Read(make([]byte, 1000))
	assert.ErrorIs(t, err, net.ErrClosed)
	assert.Equal(t, l.PendingBytes(), int64(0))

	answers := clientlimit.NewAnswers(1<<20, nil)
	answer := answers.Wrap(late)
	late.closeNow = func() { _ = answer.Close() }
	_, err = answer.Read(make([]byte, 100<<10))
	assert.ErrorIs(t, err, net.ErrClosed)
	assert.Equal(t, answers.Used(), int64(0))
}

// Guards against answers that are allocated by their announced length before they are counted.
func TestAnnouncedAnswersCountAtTheirHeaders(t *testing.T) {
	answers := clientlimit.NewAnswers(1<<20, nil)
	buffer := make([]byte, 4<<10)
	read := func(head string) (*clientlimit.AnswerConn, error) {
		server, client := net.Pipe()
		t.Cleanup(func() { _ = client.Close() })
		go func() { _, _ = client.Write([]byte(head)) }()
		c := answers.Wrap(server)
		_, err := c.Read(buffer)
		return c, err
	}
	c, err := read("HTTP/1.1 200 OK\r\nContent-Length: 700000\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, answers.Used(), int64(700_000))
	_, err = read("HTTP/1.1 200 OK\r\ncontent-length:700000\r\n\r\n")
	assert.ErrorIs(t, err, clientlimit.ErrAnswers)
	assert.NilError(t, c.Close())
	assert.Equal(t, answers.Used(), int64(0))
	_, err = read("HTTP/1.1 200 OK\r\nContent-Length: 70\r\n\r\nContent-Length: 900000\r\n")
	assert.NilError(t, err)
	assert.Equal(t, answers.Used(), int64(0))
}
