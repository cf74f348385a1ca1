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

// echo answers each connection with what it sent; received counts what arrived.
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

type bench struct {
	t        *testing.T
	proxy    *faultproxy.Proxy
	control  *faultproxy.Control
	received chan byte
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{t: t, received: make(chan byte, 100)}
	target := echo(t, b.received)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	b.proxy = faultproxy.New(jaybarrow.SystemClock{}, listener, target)
	t.Cleanup(b.proxy.Close)
	listener, err = net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	b.control = faultproxy.NewControl(b.proxy, listener)
	t.Cleanup(b.control.Close)
	return b
}

func (b *bench) dial() net.Conn {
	b.t.Helper()
	c, err := net.Dial("tcp", string(b.proxy.Address()))
	assert.NilError(b.t, err)
	b.t.Cleanup(func() { _ = c.Close() })
	return c
}

// do calls a control endpoint.
func (b *bench) do(method, path, body string) {
	b.t.Helper()
	request, err := http.NewRequest(method, "http://"+string(b.control.Address())+path, bytes.NewBufferString(body))
	assert.NilError(b.t, err)
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	assert.NilError(b.t, err)
	defer response.Body.Close()
	assert.Equal(b.t, response.StatusCode, http.StatusOK)
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(t, err)
}

// answers reports whether a byte arrives; the deadline is short where silence is expected.
func answers(t *testing.T, c net.Conn, wait time.Duration) (bool, error) {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(wait)))
	n, err := c.Read(make([]byte, 1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = nil
	}
	return n == 1, err
}

const (
	quiet = 150 * time.Millisecond
	long  = 30 * time.Second
)

func (b *bench) working(c net.Conn) {
	b.t.Helper()
	send(b.t, c, "w")
	ok, err := answers(b.t, c, long)
	assert.NilError(b.t, err)
	assert.Assert(b.t, ok)
	<-b.received
}

// Guards against a fault that is not in effect, or that lasts longer or reaches further than it was set.
func TestFaults(t *testing.T) {
	cases := []struct {
		name      string
		method    string
		path      string
		body      string
		arrives   bool // what the open connection sends reaches the target
		answered  bool
		broken    bool // the open connection is closed
		newWorks  bool
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
			b := newBench(t)
			open := b.dial()
			b.working(open)
			b.do(c.method, c.path, c.body)

			begun := time.Now()
			_, _ = io.WriteString(open, "x") // fails on a connection that was cut
			wait := long
			if !c.answered && !c.broken {
				wait = quiet
			}
			ok, err := answers(t, open, wait)
			assert.Equal(t, ok, c.answered)
			assert.Equal(t, err != nil, c.broken, "%v", err)
			assert.Assert(t, time.Since(begun) >= time.Duration(c.atLeastMs)*time.Millisecond)
			if c.arrives {
				assert.Equal(t, <-b.received, byte('x'))
			} else {
				assert.Equal(t, len(b.received), 0)
			}
			assert.Equal(t, b.newWorks(), c.newWorks)

			b.do("PUT", "/control/faults", `{}`)
			b.working(b.dial())
			if c.recovers {
				if !c.answered {
					ok, err := answers(t, open, long)
					assert.Assert(t, ok && err == nil, "what was held back must arrive after the fault: %v", err)
					for len(b.received) > 0 {
						<-b.received
					}
				}
				b.working(open)
			}
		})
	}
}

// newWorks reports whether a new connection carries a byte there and back.
func (b *bench) newWorks() bool {
	c, err := net.Dial("tcp", string(b.proxy.Address()))
	if err != nil {
		return false
	}
	defer c.Close()
	_, _ = io.WriteString(c, "n")
	wait := long
	if f := b.proxy.Faults(); f.Up.Frozen || f.Down.Frozen {
		wait = quiet
	}
	ok, _ := answers(b.t, c, wait)
	for len(b.received) > 0 {
		<-b.received
	}
	return ok
}
