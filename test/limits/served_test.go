package limits_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	requestPath = "/v1/queues/match/requests"
	poolPath    = "/v1/pools/desk"
)

// Guards against bodies that fill the memory of an entry host while they arrive, on the routes of callers and of operators. Each body is
// within the limit of the settings, all of them together are over the memory.
func TestServedBodies(t *testing.T) {
	for _, path := range []string{requestPath, poolPath} {
		for _, c := range []struct {
			name string
			send func(int, io.Writer) error
		}{
			{"announced", announceAndSend(path)}, {"chunked", sendChunks(path)}, {"never sent", announceOnly(path)},
		} {
			t.Run(c.name+" to "+path, func(t *testing.T) {
				s := startServed(t)
				endure(s.process, startCrowd(t, bodyClients, s.callers, c.send), http.StatusRequestEntityTooLarge, http.StatusRequestTimeout,
					http.StatusBadRequest, http.StatusServiceUnavailable)
			})
		}
	}
}

// Guards against headers without end.
func TestServedHeadersWithoutEnd(t *testing.T) {
	s := startServed(t)
	endure(s.process, startCrowd(t, bodyClients, s.callers, sendHeaders), http.StatusRequestHeaderFieldsTooLarge, http.StatusBadRequest)
}

// Guards against the refusal of headers within the limit.
func TestServedLargeHeadersAreServed(t *testing.T) {
	s := startServed(t)
	request, err := http.NewRequest(http.MethodGet, "http://"+s.callers+"/healthz", nil)
	assert.NilError(t, err)
	request.Header.Set("X-Extra", strings.Repeat("x", 15<<10))
	assert.Check(t, send(request))
}

// Guards against connections that use up the descriptors of an entry host.
func TestServedManyConnections(t *testing.T) {
	s := startServed(t)
	endure(s.process, startCrowd(t, manyClients, s.callers, sendHalfHeaders), http.StatusRequestTimeout, http.StatusServiceUnavailable, http.StatusBadRequest)
}

// Guards against unfinished messages and connections on the port between entry hosts that fill the memory of an entry host or use up
// its descriptors.
func TestServedPeers(t *testing.T) {
	for _, c := range []struct{ connections, calls int }{{2, 60}, {60, 2}} {
		t.Run(fmt.Sprintf("messages on %d connections", c.connections), func(t *testing.T) {
			s := startServed(t)
			end := startUnfinishedCalls(t, s.peers, "/jaybarrow.peer.v1.Peer/Submit", c.connections, c.calls)
			s.check("with the crowd")
			end()
			s.check("after the crowd")
		})
	}
	t.Run("many connections", func(t *testing.T) {
		s := startServed(t)
		crowd := startCrowd(t, manyClients, s.peers, func(_ int, w io.Writer) error {
			_, err := io.WriteString(w, "PRI * HTTP/2.0\r\n")
			return err
		})
		crowd.await()
		s.check("with the crowd")
		crowd.close()
		s.check("after the crowd")
	})
}
