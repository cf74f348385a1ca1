package faultproxy_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/faultproxy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo starts a server that sends every byte back to its client, and sends it to received as well. It returns its address.
func echo(t *testing.T, received chan<- byte) jaybarrow.Address {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var group conc.WaitGroup
	group.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer c.Close()
				one := make([]byte, 1)
				for {
					if _, err := c.Read(one); err != nil {
						return
					}
					received <- one[0]
					if _, err := c.Write(one); err != nil {
						return
					}
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	return jaybarrow.Address(listener.Addr().String())
}

// fixture is a proxy in front of an echo server, with its control endpoints.
type fixture struct {
	t        *testing.T
	proxy    *faultproxy.Proxy
	control  *faultproxy.Control
	received chan byte
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, received: make(chan byte, 100)}
	target := echo(t, f.received)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f.proxy = faultproxy.New(jaybarrow.SystemClock{}, listener, target)
	t.Cleanup(f.proxy.Close)
	listener, err = net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f.control = faultproxy.NewControl(f.proxy, listener)
	t.Cleanup(f.control.Close)
	return f
}

func (f *fixture) dial() net.Conn {
	f.t.Helper()
	c, err := net.Dial("tcp", string(f.proxy.Address()))
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = c.Close() })
	return c
}

// do calls a control endpoint.
func (f *fixture) do(method, path, body string) {
	f.t.Helper()
	request, err := http.NewRequest(method, "http://"+string(f.control.Address())+path, bytes.NewBufferString(body))
	assert.NilError(f.t, err)
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	assert.NilError(f.t, err)
	defer response.Body.Close()
	assert.Equal(f.t, response.StatusCode, http.StatusOK)
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(t, err)
}

// readsByte reports whether a byte arrives within the wait. The wait is noAnswerWait where no answer is expected.
func readsByte(t *testing.T, c net.Conn, wait time.Duration) (bool, error) {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(wait)))
	n, err := c.Read(make([]byte, 1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = nil
	}
	return n == 1, err
}

const (
	noAnswerWait  = 150 * time.Millisecond
	answerTimeout = 30 * time.Second
)

// requireEcho fails the test unless the connection carries a byte to the target and back.
func (f *fixture) requireEcho(c net.Conn) {
	f.t.Helper()
	send(f.t, c, "w")
	ok, err := readsByte(f.t, c, answerTimeout)
	assert.NilError(f.t, err)
	assert.Assert(f.t, ok)
	<-f.received
}

// Guards against a fault that has no effect, that outlasts its setting, or that affects other directions or connections.
func TestFaults(t *testing.T) {
	cases := []struct {
		name      string
		method    string
		path      string
		body      string
		arrives   bool // bytes from the open connection reach the target
		answered  bool // the open connection receives the echo
		broken    bool // the open connection is closed
		newWorks  bool // a new connection works during the fault
		recovers  bool // the open connection works after the fault
		atLeastMs int64
	}{
		{name: "none", method: "PUT", path: "/control/faults", body: `{}`, arrives: true, answered: true, newWorks: true, recovers: true},
		{name: "cut", method: "POST", path: "/control/cut", broken: true, newWorks: true},
		{name: "refuse", method: "PUT", path: "/control/faults", body: `{"refuse":true}`, arrives: true, answered: true, recovers: true},
		{name: "freeze up", method: "PUT", path: "/control/faults", body: `{"up":{"frozen":true}}`, recovers: true},
		{name: "freeze down", method: "PUT", path: "/control/faults", body: `{"down":{"frozen":true}}`, arrives: true, recovers: true},
		{name: "freeze open", method: "POST", path: "/control/freezeOpen", newWorks: true},
		{name: "freeze open down", method: "POST", path: "/control/freezeOpen?direction=down", arrives: true, newWorks: true},
		{name: "drop one answer", method: "PUT", path: "/control/faults", body: `{"dropAnswers":1}`, arrives: true, broken: true, newWorks: true},
		{name: "drop all answers", method: "PUT", path: "/control/faults", body: `{"dropAnswers":-1}`, arrives: true, broken: true},
		{name: "delay", method: "PUT", path: "/control/faults", body: `{"up":{"delayMs":60},"down":{"delayMs":60}}`, arrives: true, answered: true, newWorks: true, recovers: true, atLeastMs: 120},
		{name: "cut down", method: "POST", path: "/control/cut?direction=down", arrives: true, broken: true, newWorks: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			open := f.dial()
			f.requireEcho(open)
			f.do(c.method, c.path, c.body)

			sentAt := time.Now()
			_, _ = io.WriteString(open, "x") // the write fails on a connection that was cut
			wait := answerTimeout
			if !c.answered && !c.broken {
				wait = noAnswerWait
			}
			ok, err := readsByte(t, open, wait)
			assert.Equal(t, ok, c.answered)
			assert.Equal(t, err != nil, c.broken, "%v", err)
			assert.Assert(t, time.Since(sentAt) >= time.Duration(c.atLeastMs)*time.Millisecond)
			if c.arrives {
				assert.Equal(t, <-f.received, byte('x'))
			} else {
				assert.Equal(t, len(f.received), 0)
			}
			assert.Equal(t, f.newWorks(), c.newWorks)

			f.do("PUT", "/control/faults", `{}`)
			f.requireEcho(f.dial())
			if c.recovers {
				if !c.answered {
					ok, err := readsByte(t, open, answerTimeout)
					assert.Assert(t, ok && err == nil, "data that the fault delayed must arrive after the fault: %v", err)
					for len(f.received) > 0 {
						<-f.received
					}
				}
				f.requireEcho(open)
			}
		})
	}
}

// newWorks reports whether a new connection carries a byte there and back.
func (f *fixture) newWorks() bool {
	c, err := net.Dial("tcp", string(f.proxy.Address()))
	if err != nil {
		return false
	}
	defer c.Close()
	_, _ = io.WriteString(c, "n")
	wait := answerTimeout
	if faults := f.proxy.Faults(); faults.Up.Frozen || faults.Down.Frozen {
		wait = noAnswerWait
	}
	ok, _ := readsByte(f.t, c, wait)
	for len(f.received) > 0 {
		<-f.received
	}
	return ok
}
