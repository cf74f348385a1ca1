package clientlimit_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/clientlimit"
)

const kilobyte = 1 << 10

// receive receives a body of size bytes that has arrived completely.
func receive(b *clientlimit.Bytes, size int) (*clientlimit.Body, error) {
	_, body, err := clientlimit.Receive(b, nil, bytes.NewReader(make([]byte, size)), size, 1<<20)
	return body, err
}

// Guards against a body that is read although it is over the limit, a body at the limit that is refused, and a truncated one that is taken
// for complete.
func TestTheLimitOfOneBody(t *testing.T) {
	const limit = 10_000
	type result struct {
		read int
		err  error
	}
	cases := []struct {
		name            string
		sent, announced int
		end             error
		want            result
	}{
		{"announced at the limit", limit, limit, io.EOF, result{limit, nil}},
		{"announced over the limit", limit + 1, limit + 1, io.EOF, result{0, clientlimit.ErrTooLarge}},
		{"unknown length at the limit", limit, -1, io.EOF, result{limit, nil}},
		{"unknown length over the limit", limit + 1, -1, io.EOF, result{0, clientlimit.ErrTooLarge}},
		{"unknown length, empty", 0, -1, io.EOF, result{0, nil}},
		{"unknown length, small", 10, -1, io.EOF, result{10, nil}},
		{"announced and truncated", 10, 20, io.EOF, result{0, io.ErrUnexpectedEOF}},
		{"unknown length and truncated", 10, -1, io.ErrUnexpectedEOF, result{0, io.ErrUnexpectedEOF}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := clientlimit.NewBytes(jaybarrow.SystemClock{}, 1<<20)
			stream := io.MultiReader(strings.NewReader(strings.Repeat("b", c.sent)), failingReader{c.end})
			data, body, err := clientlimit.Receive(b, nil, stream, c.announced, limit)
			assert.Assert(t, errors.Is(err, c.want.err), "%v", err)
			assert.Equal(t, len(data), c.want.read)
			body.Release()
			assert.Equal(t, b.Used(), int64(0))
		})
	}
}

type failingReader struct{ err error }

func (f failingReader) Read([]byte) (int, error) { return 0, f.err }

// Guards against a body over the limit of which a byte is read.
func TestABodyOverTheLimitIsNotRead(t *testing.T) {
	_, _, err := clientlimit.Receive(nil, nil, nil, 11, 10) // a read of the nil stream would panic
	assert.ErrorIs(t, err, clientlimit.ErrTooLarge)
}

// Guards against bodies that together exceed the total, small ones that wait behind large ones, and a wait for room that misses a release.
func TestRoomForAllBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := clientlimit.NewBytes(jaybarrow.SystemClock{}, 400*kilobyte)
		first, err := receive(b, 290*kilobyte)
		assert.NilError(t, err)
		begin := time.Now()
		_, err = receive(b, 50*kilobyte)
		assert.ErrorIs(t, err, clientlimit.ErrNoRoom)
		assert.Assert(t, time.Since(begin) >= time.Second, "no wait for room")
		begin = time.Now()
		small, err := receive(b, 10*kilobyte)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(begin), time.Duration(0))
		done := make(chan error, 1)
		go func() {
			body, err := receive(b, 100*kilobyte)
			body.Release()
			done <- err
		}()
		time.Sleep(300 * time.Millisecond)
		first.Release()
		assert.NilError(t, <-done)
		small.Release()
		assert.Equal(t, b.Used(), int64(0))
		_, err = receive(b, 401*kilobyte)
		assert.ErrorIs(t, err, clientlimit.ErrNoRoom)
	})
}

// Guards against slow senders that hold all room, and against the end of a body that has had little time.
func TestTheOldestSlowBodyGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := clientlimit.NewBytes(jaybarrow.SystemClock{}, 400*kilobyte)
		ended := make([]error, 3)
		var closers []func()
		for i := range ended {
			server, client := net.Pipe()
			closers = append(closers, func() { _ = client.Close() })
			go func() {
				_, body, err := clientlimit.Receive(b, server, server, 100*kilobyte, 1<<20)
				ended[i] = err
				body.Release()
			}()
			time.Sleep(100 * time.Millisecond)
		}
		begin := time.Now()
		body, err := receive(b, 100*kilobyte)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(begin), 200*time.Millisecond, "the first body had 300 ms before")
		synctest.Wait()
		assert.ErrorIs(t, ended[0], clientlimit.ErrNoRoom)
		assert.NilError(t, ended[1])
		assert.NilError(t, ended[2])
		for _, end := range closers {
			end()
		}
		synctest.Wait()
		body.Release()
		assert.Equal(t, b.Used(), int64(0))
	})
}

// Guards against a chunked body over the limit that gets 503 instead of 413, since its buffer would grow for the byte over the limit.
func TestAChunkedBodyOverTheLimitNeedsNoMoreRoom(t *testing.T) {
	const limit = 8 * kilobyte
	b := clientlimit.NewBytes(jaybarrow.SystemClock{}, 12*kilobyte)
	_, body, err := clientlimit.Receive(b, nil, strings.NewReader(strings.Repeat("b", limit+1)), -1, limit)
	assert.ErrorIs(t, err, clientlimit.ErrTooLarge)
	body.Release()
	assert.Equal(t, b.Used(), int64(0))
}

// Guards against a body that has to give way and keeps its room while it waits for more.
func TestABodyThatWaitsForRoomGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := clientlimit.NewBytes(jaybarrow.SystemClock{}, 400*kilobyte)
		other, err := receive(b, 200*kilobyte)
		assert.NilError(t, err)
		server, client := net.Pipe()
		defer client.Close()
		begin := time.Now()
		ended := make(chan time.Duration, 1)
		go func() {
			_, body, err := clientlimit.Receive(b, server, server, -1, 1<<20)
			assert.Check(t, errors.Is(err, clientlimit.ErrNoRoom))
			body.Release()
			ended <- time.Since(begin)
		}()
		_, err = client.Write(make([]byte, 64*kilobyte)) // then the buffer of 64 KB has no room to double
		assert.NilError(t, err)
		assert.Equal(t, <-ended, 500*time.Millisecond)
		other.Release()
	})
}

// Guards against complete bodies that fill their share of the room and wait for each other with their decoded forms, although a part of the
// room is free.
func TestCompleteBodiesDoNotBlockEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, decoded = 256 * kilobyte, 1024 * kilobyte
		b := clientlimit.NewBytes(jaybarrow.SystemClock{}, 23<<20)
		var bodies []*clientlimit.Body
		for range 69 { // as many as get room
			body, err := receive(b, size)
			assert.NilError(t, err)
			bodies = append(bodies, body)
		}
		begin := time.Now()
		done := make(chan bool)
		for _, body := range bodies {
			go func() {
				defer body.Release()
				held := body.HoldDecoded(decoded)
				if held {
					time.Sleep(20 * time.Millisecond)
					body.ReleaseDecoded(decoded)
				}
				done <- held
			}()
		}
		for range bodies {
			assert.Check(t, <-done)
		}
		assert.Assert(t, time.Since(begin) < time.Second)
		synctest.Wait()
		assert.Equal(t, b.Used(), int64(0))
	})
}

// Guards against counts that differ after many bodies at once, and, with the race detector, against unguarded state.
func TestManyBodiesAtOnce(t *testing.T) {
	b := clientlimit.NewBytes(jaybarrow.SystemClock{}, 300*kilobyte)
	done := make(chan struct{})
	for i := range 64 {
		go func() {
			defer func() { done <- struct{}{} }()
			for n := range 50 {
				body, _ := receive(b, 1+(i*n*97)%(40*kilobyte))
				body.Hold(100)
				body.Release()
			}
		}()
	}
	for range 64 {
		<-done
	}
	assert.Equal(t, b.Used(), int64(0))
}
