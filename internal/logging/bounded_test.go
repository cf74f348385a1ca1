package logging_test

import (
	"bytes"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow/internal/logging"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	lock    sync.Mutex
	out     bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.out.Write(p)
}

// Guards against a standard output that nobody reads: a log line must not block its caller, and the queue must stay bounded.
func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := logging.NewBoundedWriter(out)
	line := bytes.Repeat([]byte("x"), 999)
	line = append(line, '\n')
	for range 5000 {
		n, err := w.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	assert.Assert(t, w.Dropped() > 2000, "%d lines dropped", w.Dropped())
	close(out.release)
	w.Close()
	written := bytes.Count(out.out.Bytes(), []byte("\n"))
	assert.Equal(t, int64(written)+w.Dropped(), int64(5000))
}
