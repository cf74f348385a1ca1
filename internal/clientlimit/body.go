package clientlimit

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// The errors of Receive; other errors are those of the connection.
var (
	ErrTooLarge = errors.New("the body is larger than this entry host accepts")
	ErrNoRoom   = errors.New("other requests hold the room for bodies")
)

// Body is what one request holds of a Bytes; a nil one holds nothing.
type Body struct {
	bytes   *Bytes
	conn    net.Conn
	held    int64
	since   time.Time
	shard   int
	evicted chan struct{} // closed when the body has to give way
	once    sync.Once     // guards the close of evicted
}

// evict makes the pending read of the body, or its wait for room, fail.
func (b *Body) evict() {
	b.once.Do(func() { close(b.evicted) })
	_ = b.conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

func (b *Body) isEvicted() bool {
	select {
	case <-b.evicted:
		return true
	default:
		return false
	}
}

// Hold takes n more bytes for the body or its decompressed form, and returns false if there is no room for them.
func (b *Body) Hold(n int64) bool {
	if b == nil || b.bytes == nil {
		return true
	}
	return b.hold(n, b.bytes.limitFor(n), nil)
}

// HoldDecoded takes n bytes for the decoded form of a complete body, and returns false if there is no room for them; otherwise the caller returns
// them with ReleaseDecoded when it has decoded the body. It may use the room that new large bodies may not: complete bodies would otherwise
// wait for each other, since each holds its room while it waits.
func (b *Body) HoldDecoded(n int64) bool {
	if b == nil || b.bytes == nil {
		return true
	}
	return b.hold(n, b.bytes.total, nil)
}

// CanHold reports whether n bytes may ever be held.
func (b *Body) CanHold(n int64) bool { return b == nil || b.bytes == nil || n <= b.bytes.total-b.held }

// ReleaseDecoded returns n bytes of HoldDecoded.
func (b *Body) ReleaseDecoded(n int64) {
	if b == nil || b.bytes == nil {
		return
	}
	b.held -= n
	b.bytes.release(n)
}

// grow is Hold for a body that is being received, which may have to give way while it waits.
func (b *Body) grow(n int64) bool {
	if b.bytes == nil {
		return true
	}
	return b.hold(n, b.bytes.limitFor(n), b.evicted)
}

func (b *Body) hold(n, limit int64, evicted <-chan struct{}) bool {
	if !b.bytes.reserve(n, limit, evicted) {
		return false
	}
	b.held += n
	return true
}

// Release returns all that the request holds.
func (b *Body) Release() {
	if b == nil || b.bytes == nil {
		return
	}
	b.bytes.release(b.held)
	b.held = 0
}

// firstChunkBytes is the room that a body of unknown length gets at first; it doubles whenever it is full.
const firstChunkBytes = 4 << 10

// Receive reads the body of a request from the stream, which reads from the connection; announced is its length, or -1 when it is unknown.
// Room for the body is taken before a byte of it is read. Without a Bytes, only the limit holds. The caller releases the Body, also after
// an error.
func Receive(bytes *Bytes, conn net.Conn, stream io.Reader, announced, limit int) ([]byte, *Body, error) {
	if announced > limit {
		return nil, nil, ErrTooLarge
	}
	body := &Body{bytes: bytes, conn: conn, evicted: make(chan struct{})}
	size := announced
	if announced < 0 {
		size = min(firstChunkBytes, limit)
	}
	if !body.Hold(int64(size)) {
		return nil, body, ErrNoRoom
	}
	if bytes != nil {
		body.since = bytes.clock.Now()
		bytes.add(body)
		defer bytes.remove(body)
	}
	data, err := body.read(stream, make([]byte, size), announced < 0, limit)
	if err != nil && body.isEvicted() {
		err = ErrNoRoom
	}
	return data, body, err
}

// read fills the buffer, which grows while the length of the body is unknown.
func (b *Body) read(stream io.Reader, buffer []byte, grows bool, limit int) ([]byte, error) {
	n, err := io.ReadFull(stream, buffer)
	for grows && err == nil {
		if n == limit {
			// The buffer does not grow for a byte that is refused.
			var one [1]byte
			if _, err = io.ReadFull(stream, one[:]); err == nil {
				return nil, ErrTooLarge
			}
			break
		}
		size := min(2*len(buffer), limit)
		if !b.grow(int64(size)) {
			return nil, ErrNoRoom
		}
		grown := make([]byte, size)
		copy(grown, buffer)
		if b.bytes != nil {
			b.bytes.release(int64(len(buffer)))
			b.held -= int64(len(buffer))
		}
		var more int
		more, err = io.ReadFull(stream, grown[n:])
		buffer, n = grown, n+more
	}
	if grows && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)) {
		err = endOfChunks(err, stream)
	}
	if err != nil {
		return nil, err
	}
	return buffer[:n], nil
}

// endOfChunks tells a complete body from a truncated one: io.ReadFull returns io.ErrUnexpectedEOF for both, but a complete stream goes on
// returning io.EOF.
func endOfChunks(err error, stream io.Reader) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	var one [1]byte
	if _, next := stream.Read(one[:]); next != io.EOF { //nolint:errorlint // a wrapped EOF is a truncated body
		return io.ErrUnexpectedEOF
	}
	return nil
}
