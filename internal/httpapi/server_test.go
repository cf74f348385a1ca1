package httpapi_test

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/command/fleet"
	"github.com/jaybarrow/jaybarrow/internal/command/request"
	"github.com/jaybarrow/jaybarrow/internal/directory"
	"github.com/jaybarrow/jaybarrow/internal/httpapi"
	"github.com/jaybarrow/jaybarrow/internal/identity"
	fleetquery "github.com/jaybarrow/jaybarrow/internal/query/fleet"
	"github.com/jaybarrow/jaybarrow/internal/standin/store"
)

const (
	operatorKey = "operators"
	maxBody     = 1000
)

// echoHandler returns the body of each request and counts the requests that ran.
type echoHandler struct{ ran atomic.Int64 }

func (e *echoHandler) Handle(_ context.Context, in request.Submit) (request.Submitted, error) {
	e.ran.Add(1)
	return request.Submitted{ID: in.ID, Body: in.Body}, nil
}

// appliedStore is a store that applies each write to the directory before it returns, as if the watch had no delay.
type appliedStore struct {
	*store.Core
	directory *directory.Directory
}

func (f appliedStore) CompareAndSwap(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision, value []byte, lease jaybarrow.LeaseID) (jaybarrow.Revision, error) {
	revision, err := f.Core.CompareAndSwap(ctx, key, previous, value, lease)
	if err == nil {
		err = f.directory.Apply([]jaybarrow.Record{{Key: key, Value: value, Revision: revision}}, revision)
	}
	return revision, err
}

type server struct {
	address string
	echo    *echoHandler
}

func startServer(t *testing.T, operators jaybarrow.KeyHash) server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	d := directory.New()
	records := fleet.NewRecords(jaybarrow.SystemClock{}, appliedStore{store.NewCore(jaybarrow.SystemClock{}), d})
	e := &echoHandler{}
	handlers := httpapi.Handlers{Submit: e, Commands: httpapi.Commands{
		PutPool:  fleet.NewPutPool(records),
		PutTeam:  fleet.NewPutTeam(records, identity.NewChangeID),
		SetLimit: fleet.NewSetLimit(records, identity.NewChangeID),
	}}
	handlers.Queries.Pools, handlers.Queries.Pool = fleetquery.NewPools(d)
	handlers.Queries.Vars = func() []byte { return []byte("{}") }
	s := httpapi.New(zerolog.Nop(), listener, httpapi.Settings{MaxBody: maxBody, OperatorKeyHash: operators}, handlers, nil)
	t.Cleanup(func() { assert.NilError(t, s.Close(context.Background())) })
	return server{listener.Addr().String(), e}
}

func (s server) call(t *testing.T, method, path, body string, headers ...string) (*http.Response, httpapi.ErrorResponse) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+s.address+path, strings.NewReader(body))
	assert.NilError(t, err)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Add(headers[i], headers[i+1])
	}
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	var failure httpapi.ErrorResponse
	if response.StatusCode != http.StatusOK {
		assert.NilError(t, json.Unmarshal(data, &failure), "%s", data)
	}
	return response, failure
}

// Guards against operators' routes that accept a wrong or missing key, or any key when none is configured.
func TestOperatorsKey(t *testing.T) {
	cases := []struct {
		name, configured, authorization string
		kind                            jaybarrow.ErrorKind
	}{
		{"right key", operatorKey, "Bearer " + operatorKey, ""},
		{"wrong key", operatorKey, "Bearer other", jaybarrow.KindBadKey},
		{"no key", operatorKey, "", jaybarrow.KindBadKey},
		{"the hash itself", operatorKey, "Bearer " + string(request.HashKey(operatorKey)), jaybarrow.KindBadKey},
		{"other scheme", operatorKey, "Basic " + operatorKey, jaybarrow.KindBadRequest},
		{"no key configured", "", "Bearer " + operatorKey, jaybarrow.KindForbidden},
		{"no key configured and none given", "", "", jaybarrow.KindForbidden},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			hash := jaybarrow.KeyHash("")
			if c.configured != "" {
				hash = request.HashKey(c.configured)
			}
			s := startServer(t, hash)
			for _, path := range []string{"/v1/pools", "/debug/vars"} {
				response, failure := s.call(t, http.MethodGet, path, "", "Authorization", c.authorization)
				assert.Equal(t, failure.Kind, c.kind)
				if c.kind != "" {
					assert.Equal(t, response.StatusCode, c.kind.Info().Status)
				}
			}
		})
	}
}

// Guards against changes that are applied although a part of the request is missing, unknown or out of range, and against error
// responses without a kind and an effect.
func TestOperatorDecoding(t *testing.T) {
	s := startServer(t, request.HashKey(operatorKey))
	cases := []struct {
		name, method, path, body, ifMatch string
		kind                              jaybarrow.ErrorKind
		messagePart                       string
	}{
		{"unknown field", "PUT", "/v1/pools/desk", `{"maxUnavailable":1,"colour":"red"}`, `"0"`, jaybarrow.KindBadRequest, "colour"},
		{"two values", "PUT", "/v1/pools/desk", `{"maxUnavailable":1}{}`, `"0"`, jaybarrow.KindBadRequest, "more after"},
		{"no body", "PUT", "/v1/pools/desk", ``, `"0"`, jaybarrow.KindBadRequest, "body"},
		{"wrong type", "PUT", "/v1/pools/desk", `{"maxUnavailable":"1"}`, `"0"`, jaybarrow.KindBadRequest, "maxUnavailable"},
		{"other id", "PUT", "/v1/pools/desk", `{"id":"batch"}`, `"0"`, jaybarrow.KindBadRequest, "field id"},
		{"no revision", "PUT", "/v1/pools/desk", `{}`, "", jaybarrow.KindBadRequest, "If-Match"},
		{"wildcard", "PUT", "/v1/pools/desk", `{}`, "*", jaybarrow.KindBadRequest, "If-Match"},
		{"value out of range", "PUT", "/v1/pools/desk", `{"maxUnavailable":-1}`, `"0"`, jaybarrow.KindBadRequest, "from 0 to"},
		{"bad id", "PUT", "/v1/pools/de%2fsk", `{}`, `"0"`, jaybarrow.KindBadRequest, "field id"},
		{"missing limit", "PUT", "/v1/teams/trail/limit", `{}`, `"1"`, jaybarrow.KindBadRequest, "limit"},
		{"limit of an unknown team", "PUT", "/v1/teams/trail/limit", `{"limit":0}`, `"1"`, jaybarrow.KindNotFound, "trail"},
		{"no such record", "GET", "/v1/pools/none", "", "", jaybarrow.KindNotFound, "none"},
		{"no such route", "GET", "/v1/colours", "", "", jaybarrow.KindNotFound, ""},
		{"no such method", "POST", "/v1/pools", "", "", jaybarrow.KindNotFound, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			response, failure := s.call(t, c.method, c.path, c.body, "Authorization", "Bearer "+operatorKey, "If-Match", c.ifMatch)
			assert.Equal(t, failure.Kind, c.kind, "%s", failure.Message)
			assert.Equal(t, failure.Effect, jaybarrow.EffectNotRun)
			assert.Equal(t, response.StatusCode, c.kind.Info().Status)
			assert.Assert(t, strings.Contains(failure.Message, c.messagePart), failure.Message)
		})
	}
}

// Guards against a change that is written without the revision of If-Match, and against an ETag that is not the record's revision.
func TestRevisionsInHeaders(t *testing.T) {
	s := startServer(t, request.HashKey(operatorKey))
	putPool := func(ifMatch, body string) (*http.Response, httpapi.ErrorResponse) {
		return s.call(t, http.MethodPut, "/v1/pools/desk", body, "Authorization", "Bearer "+operatorKey, "If-Match", ifMatch)
	}
	first, _ := putPool(`"0"`, `{"maxUnavailable":1}`)
	got, _ := s.call(t, http.MethodGet, "/v1/pools/desk", "", "Authorization", "Bearer "+operatorKey)
	assert.Equal(t, got.Header.Get("ETag"), first.Header.Get("ETag"))
	second, _ := putPool(got.Header.Get("ETag"), `{"maxUnavailable":2}`)
	assert.Equal(t, second.Header.Get("ETag"), next(t, first.Header.Get("ETag")))
	_, failure := putPool(got.Header.Get("ETag"), `{"maxUnavailable":3}`)
	assert.Equal(t, failure.Kind, jaybarrow.KindConflict)
	assert.Assert(t, strings.Contains(failure.Message, "revision 2"), failure.Message)
}

// Guards against requests that run although one of their headers is malformed, too long or repeated.
func TestCallerHeaders(t *testing.T) {
	s := startServer(t, "")
	cases := []struct{ name, header, value string }{
		{"request id with a slash", "Request-Id", "a/b"},
		{"request id that is a path element", "Request-Id", ".."},
		{"long request id", "Request-Id", strings.Repeat("a", 129)},
		{"negative slots", "Slots", "-1"},
		{"overflowing time", "Answer-Within-Ms", "99999999999999"},
		{"idempotent is no boolean", "Idempotent", "yes"},
		{"key without Bearer", "Authorization", "secret"},
		{"empty key", "Authorization", "Bearer "},
		{"long key", "Authorization", "Bearer " + strings.Repeat("k", 257)},
		{"long header name", strings.Repeat("x", 65), "1"},
		{"long header value", "X-Note", strings.Repeat("v", 4097)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, failure := s.call(t, http.MethodPost, "/v1/queues/match/requests", "work", c.header, c.value)
			assert.Equal(t, failure.Kind, jaybarrow.KindBadRequest)
			assert.Equal(t, failure.Effect, jaybarrow.EffectNotRun)
		})
	}
	_, failure := s.call(t, http.MethodPost, "/v1/queues/match/requests", "work", "Slots", "1", "Slots", "2")
	assert.Equal(t, failure.Kind, jaybarrow.KindBadRequest)
	assert.Equal(t, s.echo.ran.Load(), int64(0))
}

// Guards against a lost response to a body that is too large: a connection that is closed with unread bytes is reset, and the
// reset can discard the response.
func TestRejectionOfLargeBodyArrives(t *testing.T) {
	s := startServer(t, "")
	for range 20 {
		_, failure := s.call(t, http.MethodPost, "/v1/queues/match/requests", strings.Repeat("b", 4<<20))
		assert.Equal(t, failure.Kind, jaybarrow.KindBodyTooLarge)
	}
}

// Guards against a request that runs although its body is incomplete or too large.
func TestIncompleteAndLargeBodies(t *testing.T) {
	s := startServer(t, "")
	response, _ := s.call(t, http.MethodPost, "/v1/queues/match/requests", strings.Repeat("b", maxBody))
	assert.Equal(t, response.StatusCode, http.StatusOK, "a body of exactly the maximum size")
	cases := []struct {
		name, head, body string
		kind             jaybarrow.ErrorKind
	}{
		{"too large", "Content-Length: 1001", strings.Repeat("b", 1001), jaybarrow.KindBodyTooLarge},
		{"too large in chunks", "Transfer-Encoding: chunked", "400\r\n" + strings.Repeat("b", 1024) + "\r\n0\r\n\r\n", jaybarrow.KindBodyTooLarge},
		{"shorter than declared", "Content-Length: 10", "short", jaybarrow.KindBodyTruncated},
		{"truncated chunk", "Transfer-Encoding: chunked", "a\r\nshort", jaybarrow.KindBodyTruncated},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := startServer(t, "")
			conn, err := net.Dial("tcp", s.address)
			assert.NilError(t, err)
			defer conn.Close()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
			_, err = fmt.Fprintf(conn, "POST /v1/queues/match/requests HTTP/1.1\r\nHost: x\r\n%s\r\n\r\n%s", c.head, c.body)
			assert.NilError(t, err)
			assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			defer response.Body.Close()
			var failure httpapi.ErrorResponse
			assert.NilError(t, json.NewDecoder(response.Body).Decode(&failure))
			assert.Equal(t, failure.Kind, c.kind, "%s", failure.Message)
			assert.Equal(t, failure.Effect, jaybarrow.EffectNotRun)
			assert.Equal(t, s.echo.ran.Load(), int64(0))
		})
	}
}

// Guards against a body that the front end changes, such as by decompressing it.
func TestBodyIsOpaque(t *testing.T) {
	s := startServer(t, "")
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	_, err := w.Write(bytes.Repeat([]byte("work"), 100))
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	r, err := http.NewRequest(http.MethodPost, "http://"+s.address+"/v1/queues/match/requests", bytes.NewReader(packed.Bytes()))
	assert.NilError(t, err)
	r.Header.Set("Content-Encoding", "gzip")
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(data, packed.Bytes()))
}

// next returns the ETag of the revision after the one in etag.
func next(t *testing.T, etag string) string {
	t.Helper()
	revision, err := strconv.Atoi(strings.Trim(etag, `"`))
	assert.NilError(t, err)
	return strconv.Quote(strconv.Itoa(revision + 1))
}

// Guards against a stop that waits for ever when it comes before the listener has started to accept.
func TestAServerCanBeClosedAtOnce(t *testing.T) {
	for range 50 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		s := httpapi.New(zerolog.Nop(), listener, httpapi.Settings{}, httpapi.Handlers{}, nil)
		closed := make(chan error, 1)
		go func() { closed <- s.Close(t.Context()) }()
		select {
		case <-closed:
		case <-time.After(10 * time.Second):
			t.Fatal("the server does not stop")
		}
	}
}
