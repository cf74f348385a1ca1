package limits_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/jobpeer"
)

const jobPath = "/match/00000000000000ff"

// Guards against bodies over the limit that fill the memory of an entry host while they arrive.
func TestJoinedCallersAnnouncedBodies(t *testing.T) {
	j := startJoined(t, nil)
	endure(j.process, startCrowd(t, bodyClients, j.callers, announceAndSend(jobPath)), http.StatusRequestEntityTooLarge)
}

// Guards against room for announced bodies that never arrive.
func TestJoinedCallersBodiesNeverSent(t *testing.T) {
	j := startJoined(t, nil)
	endure(j.process, startCrowd(t, bodyClients, j.callers, announceOnly(jobPath)), http.StatusRequestEntityTooLarge)
}

// Guards against bodies of unknown length that fill the memory of an entry host.
func TestJoinedCallersChunkedBodies(t *testing.T) {
	j := startJoined(t, nil)
	endure(j.process, startCrowd(t, bodyClients, j.callers, sendChunks(jobPath)), http.StatusRequestEntityTooLarge)
}

// Guards against many bodies over the limit on few connections, and against jobs that are accepted from them.
func TestJoinedCallersWholeBodiesOnFewConnections(t *testing.T) {
	j := startJoined(t, nil)
	endure(j.process, startCrowd(t, 10, j.callers, sendWholeBodies("/match/")), http.StatusRequestEntityTooLarge)
}

// Guards against bodies within the limit that together exceed the memory of an entry host, and against a host that has no room for
// ordinary callers while slow ones hold it.
func TestJoinedCallersSlowBodies(t *testing.T) {
	j := startJoined(t, nil)
	endure(j.process, startCrowd(t, slowClients, j.callers, sendSlowly(jobPath)),
		http.StatusRequestTimeout, http.StatusServiceUnavailable, http.StatusTooManyRequests)
}

// Guards against headers without end.
func TestJoinedCallersHeadersWithoutEnd(t *testing.T) {
	j := startJoined(t, nil)
	endure(j.process, startCrowd(t, bodyClients, j.callers, sendHeaders), http.StatusRequestHeaderFieldsTooLarge, http.StatusBadRequest)
}

// Guards against the refusal of headers within the limit, which are larger than the buffer that the library provides by default.
func TestJoinedCallersLargeHeadersAreServed(t *testing.T) {
	j := startJoined(t, nil)
	assert.Check(t, j.submitOrdinary(strings.Repeat("x", 15<<10)))
	assert.Check(t, j.submitOrdinary(strings.Repeat("x", maxHeaderBytes-400)))
}

// Guards against connections that use up the descriptors which an entry host needs for the store, its workers and other entry hosts.
func TestJoinedCallersManyConnections(t *testing.T) {
	j := startJoined(t, nil)
	endure(j.process, startCrowd(t, manyClients, j.callers, sendHalfHeaders), http.StatusRequestTimeout, http.StatusServiceUnavailable)
}

// Guards against compressed bodies within the limit that fill the memory of an entry host when they are decompressed.
func TestJoinedCallersCompressedBodies(t *testing.T) {
	const decompressedBytes = 64 << 20
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	assert.NilError(t, writeFiller(w, decompressedBytes))
	assert.NilError(t, w.Close())
	assert.Assert(t, compressed.Len() < maxBodyBytes)
	j := startJoined(t, nil)
	endure(j.process, startCrowd(t, 30, j.callers, func(client int, w io.Writer) error {
		path := fmt.Sprintf("/match/%016x", 0xc000+client)
		if err := writeHead(w, "POST", path, "Content-Encoding: gzip", fmt.Sprintf("Content-Length: %d", compressed.Len())); err != nil {
			return err
		}
		_, err := w.Write(compressed.Bytes())
		return err
	}), http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnsupportedMediaType, http.StatusServiceUnavailable)
}

// Guards against JSON within the limit on bodies whose decoded form fills the memory of an entry host.
func TestJoinedCallersWideAndDeepJSON(t *testing.T) {
	bodies := []string{
		`{"spec":"1ms","steps":[` + strings.Repeat(`{},`, 87_000) + `{}]}`,
		`{"spec":"1ms","steps":[{"after":[` + strings.Repeat(`0,`, 130_000) + `0]}]}`,
		`{"spec":"1ms","steps":` + strings.Repeat(`[`, 260_000),
		`{"spec":"1ms","steps":[` + strings.Repeat(`{"a":`, 50_000),
	}
	j := startJoined(t, nil)
	endure(j.process, startCrowd(t, 120, j.callers, func(client int, w io.Writer) error {
		body := bodies[client%len(bodies)]
		if err := writeHead(w, "POST", fmt.Sprintf("/match/%016x", 0xd000+client), fmt.Sprintf("Content-Length: %d", len(body))); err != nil {
			return err
		}
		_, err := io.WriteString(w, body)
		return err
	}), http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusServiceUnavailable, http.StatusTooManyRequests)
}

// Guards against records that an entry host keeps for each id and key that a client makes up.
func TestJoinedCallersManyIDsAndKeys(t *testing.T) {
	const requests = 400
	j := startJoined(t, nil)
	crowd := startCrowd(t, 50, j.callers, func(client int, w io.Writer) error {
		for n := range requests {
			method := []string{"GET", "DELETE", "POST"}[n%3]
			_, err := fmt.Fprintf(w, "%s /match/%08x%08x HTTP/1.1\r\nHost: desk.example\r\nJaybarrow-Credential: %s\r\nContent-Length: 0\r\n\r\n",
				method, client+1, n, strings.Repeat("k", 4000)+fmt.Sprint(client, n))
			if err != nil {
				return err
			}
		}
		return nil
	})
	endure(j.process, crowd, http.StatusUnauthorized, http.StatusForbidden, http.StatusBadRequest, http.StatusServiceUnavailable,
		http.StatusTooManyRequests)
}

// Guards against a listener for readiness checks that a client can use to fill the memory of an entry host.
func TestJoinedBalancerBodies(t *testing.T) {
	for _, c := range []struct {
		name string
		send func(int, io.Writer) error
	}{
		{"announced", announceAndSend("/ready")}, {"chunked", sendChunks("/ready")}, {"never sent", announceOnly("/ready")},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := startJoined(t, nil)
			endure(j.process, startCrowd(t, bodyClients, j.balancer, c.send), http.StatusRequestEntityTooLarge, http.StatusServiceUnavailable)
		})
	}
}

// Guards against connections for readiness checks that use up the descriptors of an entry host.
func TestJoinedBalancerManyConnections(t *testing.T) {
	j := startJoined(t, nil)
	endure(j.process, startCrowd(t, manyClients, j.balancer, sendHalfHeaders), http.StatusRequestTimeout, http.StatusServiceUnavailable)
}

// Guards against a listener for metrics that a client can use to fill the memory of an entry host.
func TestJoinedMetricsBodies(t *testing.T) {
	for _, c := range []struct {
		name string
		send func(int, io.Writer) error
	}{
		{"announced", announceAndSend("/metrics")}, {"chunked", sendChunks("/metrics")}, {"never sent", announceOnly("/metrics")},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := startJoined(t, nil)
			endure(j.process, startCrowd(t, bodyClients, j.metrics, c.send), http.StatusRequestEntityTooLarge, http.StatusServiceUnavailable)
		})
	}
}

// Guards against connections for metrics that use up the descriptors of an entry host.
func TestJoinedMetricsManyConnections(t *testing.T) {
	j := startJoined(t, nil)
	endure(j.process, startCrowd(t, manyClients, j.metrics, sendHalfHeaders), http.StatusRequestTimeout, http.StatusServiceUnavailable)
}

// peerMessageBytes is below the largest message that entry hosts send each other.
const peerMessageBytes = 4_000_000

// unfinishedMessage is the body of a call whose message does not end.
type unfinishedMessage struct {
	rest   int
	prefix []byte
	sent   chan<- struct{} // receives a value when everything was sent
	end    <-chan struct{}
}

func newUnfinishedMessage(sent chan<- struct{}, end <-chan struct{}) *unfinishedMessage {
	const n = peerMessageBytes
	return &unfinishedMessage{rest: n - 1000, prefix: []byte{0, byte(n >> 24), byte(n >> 16 & 0xff), byte(n >> 8 & 0xff), byte(n & 0xff)}, sent: sent, end: end}
}

func (m *unfinishedMessage) Read(p []byte) (int, error) {
	if len(m.prefix) > 0 {
		n := copy(p, m.prefix)
		m.prefix = m.prefix[n:]
		return n, nil
	}
	if m.rest == 0 {
		m.sent <- struct{}{}
		<-m.end
		return 0, io.EOF
	}
	n := min(m.rest, len(p))
	clear(p[:n])
	m.rest -= n
	return n, nil
}

// startUnfinishedCalls starts calls between entry hosts whose messages do not end, and waits until each of them was sent or refused.
func startUnfinishedCalls(t *testing.T, address, method string, connections, calls int) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	settled := make(chan struct{}, 2*connections*calls)
	for range connections {
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		client := &http.Client{Transport: &http.Transport{Protocols: protocols, MaxConnsPerHost: 1}}
		t.Cleanup(client.CloseIdleConnections)
		for range calls {
			go func() {
				sent := make(chan struct{}, 1)
				request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+method, newUnfinishedMessage(sent, ended))
				request.Header.Set("Content-Type", "application/grpc")
				request.Header.Set("Te", "trailers")
				refused := make(chan struct{})
				go func() {
					defer close(refused)
					if response, err := client.Do(request); err == nil {
						_, _ = io.Copy(io.Discard, response.Body)
						_ = response.Body.Close()
					}
				}()
				select {
				case <-sent:
				case <-refused:
				}
				settled <- struct{}{}
			}()
		}
	}
	end = func() {
		cancel()
		select {
		case <-ended:
		default:
			close(ended)
		}
	}
	t.Cleanup(end)
	deadline := time.After(waitTimeout)
	for n := range connections * calls {
		select {
		case <-settled:
		case <-deadline:
			// The flow control of the connection holds the rest back, which is a refusal as well.
			t.Logf("%d of %d calls were sent or refused; the rest is held back", n, connections*calls)
			return end
		}
	}
	return end
}

// Guards against unfinished messages on the port between entry hosts that fill the memory of an entry host, over few and over many
// connections.
func TestJoinedPeersUnfinishedMessages(t *testing.T) {
	for _, c := range []struct{ connections, calls int }{{2, 60}, {60, 2}} {
		t.Run(fmt.Sprintf("%d connections", c.connections), func(t *testing.T) {
			j := startJoined(t, nil)
			end := startUnfinishedCalls(t, j.peers, "/jaybarrow.job.v1.Jobs/Commit", c.connections, c.calls)
			j.check("with the crowd")
			end()
			j.check("after the crowd")
			checkPeerCall(t, j.peers)
		})
	}
}

// checkPeerCall checks that an ordinary call of another entry host is answered.
func checkPeerCall(t *testing.T, address string) {
	t.Helper()
	client := jobpeer.NewClient()
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for {
		_, err := client.JobsWaiting(ctx, jaybarrow.Address(address), "match")
		if err == nil || ctx.Err() != nil {
			assert.Check(t, err)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Guards against connections on the port between entry hosts that use up the descriptors of an entry host.
func TestJoinedPeersManyConnections(t *testing.T) {
	j := startJoined(t, nil)
	crowd := startCrowd(t, manyClients, j.peers, func(_ int, w io.Writer) error {
		_, err := io.WriteString(w, "PRI * HTTP/2.0\r\n")
		return err
	})
	crowd.await()
	j.check("with the crowd")
	checkPeerCall(t, j.peers)
	crowd.close()
	j.check("after the crowd")
}

// floodBytes is how much an answer of floodingServer holds, several times the memory of an entry host.
const floodBytes = 1 << 30

// flood answers with a body that is far larger than any expected one.
func flood(w http.ResponseWriter) {
	_ = writeFiller(w, floodBytes)
}

// proxyWithFloods starts a proxy to the address. It answers each call for which floods returns true with a flood.
func proxyWithFloods(t *testing.T, address string, floods func(r *http.Request) bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	forward := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	server := &http.Server{ReadHeaderTimeout: waitTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if floods(r) {
			flood(w)
			return
		}
		forward.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// Guards against answers of the machines' interface that fill the memory of an entry host.
func TestJoinedFleetAnswersWithoutEnd(t *testing.T) {
	const floods = 3
	var flooding atomic.Int64
	j := startJoined(t, func(a *platformAddresses) {
		a.fleet = proxyWithFloods(t, a.fleet, func(*http.Request) bool { return flooding.Add(1) <= floods })
	})
	awaitFloods(t, &flooding, floods)
	j.check("after the answers")
}

// Guards against answers of the store that fill the memory of an entry host.
func TestJoinedStoreAnswersWithoutEnd(t *testing.T) {
	const floods = 10
	var begun atomic.Bool
	var flooding atomic.Int64
	j := startJoined(t, func(a *platformAddresses) {
		a.store = proxyWithFloods(t, a.store, func(*http.Request) bool { return begun.Load() && flooding.Add(1) <= floods })
	})
	begun.Store(true)
	awaitFloods(t, &flooding, floods)
	j.check("after the answers")
}

// Guards against answers of a worker that fill the memory of an entry host.
func TestJoinedWorkerAnswersWithoutEnd(t *testing.T) {
	const floods = 3
	var flooding atomic.Int64
	j := startJoined(t, nil)
	address := proxyWithFloods(t, "127.0.0.1:1", func(*http.Request) bool { flooding.Add(1); return true })
	j.site.Store.Put("servers/i-flood", map[string]any{
		"service": "desk", "address": address, "zone": "z1", "state": "ready", "slots": 8,
		"capacity": map[string]int64{"cpu": 10_000, "mem_mb": 10_000, "gpu": 0}, "labels": []string{"a", "r1"},
		"born": time.Now().UnixMilli(), "sequence": 1,
	})
	awaitFloods(t, &flooding, floods)
	j.check("during the answers")
	j.site.Store.Remove("servers/i-flood")
	j.check("after the answers")
}

// awaitFloods waits until so many answers have begun, and then for the time limit of the calls.
func awaitFloods(t *testing.T, flooding *atomic.Int64, floods int64) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); flooding.Load() < floods; time.Sleep(20 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d of %d answers have begun", flooding.Load(), floods)
	}
	time.Sleep(3 * time.Second)
}
