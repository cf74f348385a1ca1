package listen_test

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/listen"
)

// acceptError returns an error of Accept as package net wraps it.
func acceptError(number syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", number)}
}

// faultyListener fails with each of the errors in turn and then returns a connection.
type faultyListener struct {
	net.Listener
	failures []error
	calls    int
}

func (l *faultyListener) Accept() (net.Conn, error) {
	l.calls++
	if l.calls <= len(l.failures) {
		return nil, l.failures[l.calls-1]
	}
	c, _ := net.Pipe()
	return c, nil
}

func (l *faultyListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *faultyListener) Close() error { return nil }

// Guards against a listener that stops for good when the process has no free file descriptor for a moment.
func TestAcceptWaitsOutTemporaryErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := &faultyListener{failures: []error{acceptError(syscall.EMFILE), acceptError(syscall.ENFILE), acceptError(syscall.EMFILE)}}
		c, err := listen.New(jaybarrow.SystemClock{}, zerolog.Nop(), inner).Accept()
		assert.NilError(t, err)
		assert.NilError(t, c.Close())
		assert.Equal(t, inner.calls, 4)
	})
}

// Guards against an endless loop on a listener that can never accept again.
func TestAcceptReturnsAPermanentError(t *testing.T) {
	inner := &faultyListener{failures: []error{acceptError(syscall.EINVAL)}}
	_, err := listen.New(jaybarrow.SystemClock{}, zerolog.Nop(), inner).Accept()
	assert.ErrorIs(t, err, syscall.EINVAL)
	assert.Equal(t, inner.calls, 1)
}

// Guards against a stop that waits until the operating system has descriptors again.
func TestCloseEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failures := make([]error, 1<<20)
		for i := range failures {
			failures[i] = acceptError(syscall.EMFILE)
		}
		l := listen.New(jaybarrow.SystemClock{}, zerolog.Nop(), &faultyListener{failures: failures})
		ended := make(chan error, 1)
		go func() {
			_, err := l.Accept()
			ended <- err
		}()
		synctest.Wait()
		assert.NilError(t, l.Close())
		assert.Assert(t, errors.Is(<-ended, net.ErrClosed))
	})
}
