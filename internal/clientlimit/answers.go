package clientlimit

import (
	"bytes"
	"errors"
	"net"
	"strconv"
	"sync/atomic"

	"github.com/jaybarrow/jaybarrow/internal/budget"
)

// FreeAnswerBytes is the size up to which an answer is not counted; most answers are smaller.
const FreeAnswerBytes = 64 << 10

// ErrAnswers is the error of a connection whose answer has no room beside those of other connections.
var ErrAnswers = errors.New("the answers of servers are larger than this entry host can hold")

// Answers counts the bytes of large answers that a process has received from servers and not yet decoded. It is safe for concurrent use;
// a nil one counts nothing.
type Answers struct {
	total    int64
	used     atomic.Int64
	reporter *Reporter
}

// NewAnswers returns an Answers with room for total bytes.
func NewAnswers(total budget.Bytes, reporter *Reporter) *Answers {
	return &Answers{total: int64(total), reporter: reporter}
}

// largestFraction is the part of the total that one answer may take: one in so many bytes. While an answer of unknown length grows, the library
// holds several copies of it.
const largestFraction = 4

// Largest returns the size of the largest answer that is received.
func (a *Answers) Largest() int { return int(a.total / largestFraction) }

// Used returns the number of bytes that are counted.
func (a *Answers) Used() int64 { return a.used.Load() }

// AnswerConn is a connection to a server, which carries one call at a time.
type AnswerConn struct {
	net.Conn
	answers  *Answers
	received atomic.Int64 // bytes of the present answer
	held     atomic.Int64 // bytes that are counted
	closed   atomic.Bool
}

// Wrap returns the connection with its answers counted.
func (a *Answers) Wrap(c net.Conn) *AnswerConn { return &AnswerConn{Conn: c, answers: a} }

// Read reads a part of an answer; it fails when there is no room for the answer. An announced answer is counted when its headers arrive, since
// the reader then allocates it.
func (c *AnswerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	size := c.received.Add(int64(n))
	if size == int64(n) {
		size = max(size, announcedLength(p[:n]))
	}
	more := size - c.held.Load()
	if size <= FreeAnswerBytes || more <= 0 {
		return n, err
	}
	c.held.Add(more)
	used := c.answers.used.Add(more)
	if c.closed.Load() {
		// Close may have returned what the connection held before these bytes were added.
		c.Release()
		return 0, net.ErrClosed
	}
	if used > c.answers.total {
		c.answers.reporter.reached("servers", LimitAnswers, "a connection was closed")
		c.Release()
		_ = c.Conn.Close()
		return 0, ErrAnswers
	}
	return n, err
}

// announcedLength returns the length that the first piece of an answer announces in its headers, or 0.
func announcedLength(piece []byte) int64 {
	head, _, _ := bytes.Cut(piece, []byte("\r\n\r\n"))
	_, after, _ := bytes.Cut(bytes.ToLower(head), []byte("\r\ncontent-length:"))
	value, _, _ := bytes.Cut(after, []byte("\r\n"))
	n, _ := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64) // 0 when there is none
	return max(n, 0)
}

// Write begins a call, so that the answer of the call before has been decoded.
func (c *AnswerConn) Write(p []byte) (int, error) {
	c.Release()
	return c.Conn.Write(p)
}

// Release tells that the present answer has been decoded.
func (c *AnswerConn) Release() {
	c.received.Store(0)
	c.answers.used.Add(-c.held.Swap(0))
}

// Close closes the connection.
func (c *AnswerConn) Close() error {
	c.closed.Store(true)
	c.Release()
	return c.Conn.Close()
}
