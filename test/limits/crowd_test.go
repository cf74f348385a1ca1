package limits_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// crowd is a number of clients that each hold one connection.
type crowd struct {
	t       *testing.T
	size    int
	settled atomic.Int64 // clients that have sent everything, or whose connection was closed

	lock     sync.Mutex
	conns    []net.Conn
	statuses map[int]int // answers by status
	refused  int         // connections that were closed without an answer
	group    sync.WaitGroup
}

// startCrowd connects the clients to the address. Each of them calls send once and keeps its connection until close, if the process does
// not close it.
func startCrowd(t *testing.T, size int, address string, send func(client int, w io.Writer) error) *crowd {
	c := &crowd{t: t, size: size, statuses: make(map[int]int)}
	t.Cleanup(c.close)
	for client := range size {
		c.group.Go(func() {
			var once sync.Once
			settle := func() { once.Do(func() { c.settled.Add(1) }) }
			defer settle()
			conn, err := dial(address)
			if err != nil {
				c.count(0)
				return
			}
			c.lock.Lock()
			c.conns = append(c.conns, conn)
			c.lock.Unlock()
			c.group.Go(func() {
				defer settle()
				c.readAnswers(conn)
			})
			_ = conn.SetWriteDeadline(time.Now().Add(waitTimeout))
			_ = send(client, conn) // an error means that the process has closed the connection, whose answer is read above
		})
	}
	return c
}

// readAnswers counts the answers on the connection until it is closed.
func (c *crowd) readAnswers(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for answered := false; ; answered = true {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			if !answered {
				c.count(0)
			}
			_ = conn.Close()
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		c.count(response.StatusCode)
	}
}

func (c *crowd) count(status int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if status == 0 {
		c.refused++
	} else {
		c.statuses[status]++
	}
}

// await waits until every client has sent everything or has been refused, and logs the answers so far.
func (c *crowd) await() {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if n := c.settled.Load(); n < int64(c.size) {
			return poll.Continue("%d of %d clients have sent everything or have been refused", n, c.size)
		}
		return poll.Success()
	}, poll.WithTimeout(2*waitTimeout), poll.WithDelay(50*time.Millisecond))
	c.lock.Lock()
	defer c.lock.Unlock()
	c.t.Logf("the crowd of %d got answers by status %v; %d connections were closed without one", c.size, c.statuses, c.refused)
}

// close closes all connections and waits until the clients have ended.
func (c *crowd) close() {
	c.lock.Lock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.lock.Unlock()
	c.group.Wait()
}

// checkStatuses checks that no answer had another status than the allowed ones.
func (c *crowd) checkStatuses(allowed ...int) {
	c.t.Helper()
	c.lock.Lock()
	defer c.lock.Unlock()
	for status, n := range c.statuses {
		found := false
		for _, a := range allowed {
			found = found || a == status
		}
		assert.Check(c.t, found, "%d answers have status %d; only %v and closed connections are allowed", n, status, allowed)
	}
}

// endure runs a crowd against the process and checks the process while the crowd is connected and after it has left.
func endure(p *process, c *crowd, allowed ...int) {
	p.t.Helper()
	c.await()
	p.check("with the crowd")
	c.close()
	p.check("after the crowd")
	c.checkStatuses(allowed...)
}

// The clients send in pieces of this many bytes.
const pieceBytes = 16 << 10

// filler is a piece of a body; JSON ignores it.
var filler = []byte(strings.Repeat(" ", pieceBytes))

// writeFiller writes n bytes of filler.
func writeFiller(w io.Writer, n int) error {
	for n > 0 {
		piece := filler[:min(n, len(filler))]
		if _, err := w.Write(piece); err != nil {
			return err
		}
		n -= len(piece)
	}
	return nil
}

// writeHead writes the first lines of a request of a caller of `jaybarrow join`; the other listeners ignore its host and key.
func writeHead(w io.Writer, method, path string, headers ...string) error {
	_, err := fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: desk.example\r\nJaybarrow-Credential: key-1\r\n%s\r\n\r\n", method, path, strings.Join(headers, "\r\n"))
	return err
}

// The crowds. Their bodies are below 1 MiB, the limit of the library's settings before there was one by the configuration, and far over
// the limit of the configuration.
const (
	overLimitBytes = 1_000_000
	sentBytes      = 900_000
	bodyClients    = 300
	// manyClients is above what the limit on descriptors allows.
	manyClients = 1500
	// slowClients with slowBytes each are together above the limit on memory, while each is within the limits.
	slowClients = 900
	slowBytes   = 250_000
)

// announceAndSend announces a body over the limit and sends most of it.
func announceAndSend(path string) func(int, io.Writer) error {
	return func(_ int, w io.Writer) error {
		if err := writeHead(w, "POST", path, fmt.Sprintf("Content-Length: %d", overLimitBytes)); err != nil {
			return err
		}
		return writeFiller(w, sentBytes)
	}
}

// announceOnly announces a body over the limit and sends nothing of it.
func announceOnly(path string) func(int, io.Writer) error {
	return func(_ int, w io.Writer) error {
		return writeHead(w, "POST", path, fmt.Sprintf("Content-Length: %d", overLimitBytes))
	}
}

// sendChunks sends chunks of a body that does not end.
func sendChunks(path string) func(int, io.Writer) error {
	return func(_ int, w io.Writer) error {
		if err := writeHead(w, "POST", path, "Transfer-Encoding: chunked"); err != nil {
			return err
		}
		for sent := 0; sent < sentBytes; sent += len(filler) {
			if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(filler), filler); err != nil {
				return err
			}
		}
		return nil
	}
}

// sendWholeBodies sends complete bodies over the limit, one after the other; each contains a valid job.
func sendWholeBodies(path string) func(int, io.Writer) error {
	const requests = 20
	return func(client int, w io.Writer) error {
		for n := range requests {
			if err := writeHead(w, "POST", fmt.Sprintf("%s%08x%08x", path, client+1, n), fmt.Sprintf("Content-Length: %d", overLimitBytes)); err != nil {
				return err
			}
			job := `{"spec":"1ms","steps":[{"replicas":1,"cpu":100,"estimate_ms":1}]}`
			if _, err := io.WriteString(w, job); err != nil {
				return err
			}
			if err := writeFiller(w, overLimitBytes-len(job)); err != nil {
				return err
			}
		}
		return nil
	}
}

// sendSlowly announces a body within the limit and sends all of it but its end.
func sendSlowly(path string) func(int, io.Writer) error {
	return func(_ int, w io.Writer) error {
		if err := writeHead(w, "POST", path, fmt.Sprintf("Content-Length: %d", maxBodyBytes)); err != nil {
			return err
		}
		return writeFiller(w, slowBytes)
	}
}

// sendHeaders sends headers far over the limit that do not end.
func sendHeaders(_ int, w io.Writer) error {
	if _, err := io.WriteString(w, "GET / HTTP/1.1\r\nHost: desk.example\r\n"); err != nil {
		return err
	}
	for range 64 {
		if _, err := fmt.Fprintf(w, "X-Extra: %s\r\n", strings.Repeat("x", 1<<10)); err != nil {
			return err
		}
	}
	return nil
}

// sendHalfHeaders sends headers within the limit that do not end, without a piece that a server could refuse.
func sendHalfHeaders(_ int, w io.Writer) error {
	_, err := io.WriteString(w, "GET / HTTP/1.1\r\nHost: desk.example\r\n")
	return err
}
