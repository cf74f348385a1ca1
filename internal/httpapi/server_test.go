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

// echo answers a request with its own body and counts the requests that ran.
type echo struct{ ran atomic.Int64 }

func (e *echo) Handle(_ context.Context, in request.Submit) (request.Submitted, error) {
	e.ran.Add(1)
	return request.Submitted{ID: in.ID, Body: in.Body}, nil
}

// followed is a store whose changes reach the directory at once.
type followed struct {
	*store.Core
	directory *directory.Directory
}

func (f followed) CompareAndSwap(ctx context.Context, key jaybarrow.Key, previous jaybarrow.Revision, value []byte, lease jaybarrow.LeaseID) (jaybarrow.Revision, error) {
	revision, err := f.Core.CompareAndSwap(ctx, key, previous, value, lease)
	if err == nil {
		err = f.directory.Apply([]jaybarrow.Record{{Key: key, Value: value, Revision: revision}}, revision)
	}
	return revision, err
}

type server struct {
	address string
	echo    *echo
}

func start(t *testing.T, operators jaybarrow.KeyHash) server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	d := directory.New()
	records := fleet.NewRecords(jaybarrow.SystemClock{}, followed{store.NewCore(jaybarrow.SystemClock{}), d})
	e := &echo{}
	handlers := httpapi.Handlers{Submit: e, Commands: httpapi.Commands{
		PutPool:  fleet.NewPutPool(records),
		PutTeam:  fleet.NewPutTeam(records, identity.NewChangeID),
		SetLimit: fleet.NewSetLimit(records, identity.NewChangeID),
	}}
	handlers.Queries.Pools, handlers.Queries.Pool = fleetquery.NewPools(d)
	handlers.Queries.Vars = func() []byte { return []byte("{}") }
	s := httpapi.New(zerolog.Nop(), listener, httpapi.Settings{MaxBody: maxBody, OperatorKeyHash: operators}, handlers)
	t.Cleanup(func() { assert.NilError(t, s.Close(context.Background())) })
	return server{listener.Addr().String(), e}
}

func (s server) call(t *testing.T, method, path, body string, headers ...string) (*http.Response, httpapi.Fault) {
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
	var fault httpapi.Fault
	if response.StatusCode != http.StatusOK {
		assert.NilError(t, json.Unmarshal(data, &fault), "%s", data)
	}
	return response, fault
}

// Guards against operators' routes that are open to callers, or open by default.
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
		{"none configured", "", "Bearer " + operatorKey, jaybarrow.KindForbidden},
		{"none configured and none given", "", "", jaybarrow.KindForbidden},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			hash := jaybarrow.KeyHash("")
			if c.configured != "" {
				hash = request.HashKey(c.configured)
			}
			s := start(t, hash)
			for _, path := range []string{"/v1/pools", "/debug/vars"} {
				response, fault := s.call(t, http.MethodGet, path, "", "Authorization", c.authorization)
				assert.Equal(t, fault.Kind, c.kind)
				if c.kind != "" {
					assert.Equal(t, response.StatusCode, c.kind.Info().Status)
				}
			}
		})
	}
}

// Guards against changes that are decoded loosely, and against error answers without kind and effect.
func TestOperatorDecoding(t *testing.T) {
	s := start(t, request.HashKey(operatorKey))
	cases := []struct {
		name, method, path, body, ifMatch string
		kind                              jaybarrow.ErrorKind
		part                              string
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
		{"limit left out", "PUT", "/v1/teams/trail/limit", `{}`, `"1"`, jaybarrow.KindBadRequest, "limit"},
		{"limit of no team", "PUT", "/v1/teams/trail/limit", `{"limit":0}`, `"1"`, jaybarrow.KindNotFound, "trail"},
		{"no such record", "GET", "/v1/pools/none", "", "", jaybarrow.KindNotFound, "none"},
		{"no such route", "GET", "/v1/colours", "", "", jaybarrow.KindNotFound, ""},
		{"no such method", "POST", "/v1/pools", "", "", jaybarrow.KindNotFound, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			response, fault := s.call(t, c.method, c.path, c.body, "Authorization", "Bearer "+operatorKey, "If-Match", c.ifMatch)
			assert.Equal(t, fault.Kind, c.kind, "%s", fault.Message)
			assert.Equal(t, fault.Effect, jaybarrow.EffectNotRun)
			assert.Equal(t, response.StatusCode, c.kind.Info().Status)
			assert.Assert(t, strings.Contains(fault.Message, c.part), fault.Message)
		})
	}
}

// Guards against a revision that is lost between If-Match, the store and ETag.
func TestRevisionsTravelInHeaders(t *testing.T) {
	s := start(t, request.HashKey(operatorKey))
	put := func(ifMatch, body string) (*http.Response, httpapi.Fault) {
		return s.call(t, http.MethodPut, "/v1/pools/desk", body, "Authorization", "Bearer "+operatorKey, "If-Match", ifMatch)
	}
	first, _ := put(`"0"`, `{"maxUnavailable":1}`)
	got, _ := s.call(t, http.MethodGet, "/v1/pools/desk", "", "Authorization", "Bearer "+operatorKey)
	assert.Equal(t, got.Header.Get("ETag"), first.Header.Get("ETag"))
	second, _ := put(got.Header.Get("ETag"), `{"maxUnavailable":2}`)
	assert.Equal(t, second.Header.Get("ETag"), next(t, first.Header.Get("ETag")))
	_, fault := put(got.Header.Get("ETag"), `{"maxUnavailable":3}`)
	assert.Equal(t, fault.Kind, jaybarrow.KindConflict)
	assert.Assert(t, strings.Contains(fault.Message, "revision 2"), fault.Message)
}

// Guards against caller headers that are guessed at: none of these requests may run.
func TestCallerHeaders(t *testing.T) {
	s := start(t, "")
	cases := []struct{ name, header, value string }{
		{"request id with a slash", "Request-Id", "a/b"},
		{"request id that is a path step", "Request-Id", ".."},
		{"long request id", "Request-Id", strings.Repeat("a", 129)},
		{"negative slots", "Slots", "-1"},
		{"overflowing time", "Answer-Within-Ms", "99999999999999"},
		{"idempotent in another form", "Idempotent", "yes"},
		{"key without Bearer", "Authorization", "secret"},
		{"empty key", "Authorization", "Bearer "},
		{"long key", "Authorization", "Bearer " + strings.Repeat("k", 257)},
		{"long header name", strings.Repeat("x", 65), "1"},
		{"long header value", "X-Note", strings.Repeat("v", 4097)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, fault := s.call(t, http.MethodPost, "/v1/queues/match/requests", "work", c.header, c.value)
			assert.Equal(t, fault.Kind, jaybarrow.KindBadRequest)
			assert.Equal(t, fault.Effect, jaybarrow.EffectNotRun)
		})
	}
	_, fault := s.call(t, http.MethodPost, "/v1/queues/match/requests", "work", "Slots", "1", "Slots", "2")
	assert.Equal(t, fault.Kind, jaybarrow.KindBadRequest)
	assert.Equal(t, s.echo.ran.Load(), int64(0))
}

// Guards against a refusal that the caller of a large body never sees, because the connection is reset under it.
func TestRefusalOfALargeBodyArrives(t *testing.T) {
	s := start(t, "")
	for range 20 {
		_, fault := s.call(t, http.MethodPost, "/v1/queues/match/requests", strings.Repeat("b", 4<<20))
		assert.Equal(t, fault.Kind, jaybarrow.KindBodyTooLarge)
	}
}

// Guards against a body that runs although it is incomplete or too large.
func TestIncompleteAndLargeBodies(t *testing.T) {
	s := start(t, "")
	response, _ := s.call(t, http.MethodPost, "/v1/queues/match/requests", strings.Repeat("b", maxBody))
	assert.Equal(t, response.StatusCode, http.StatusOK, "a body of exactly the limit")
	cases := []struct {
		name, head, body string
		kind             jaybarrow.ErrorKind
	}{
		{"too large", "Content-Length: 1001", strings.Repeat("b", 1001), jaybarrow.KindBodyTooLarge},
		{"too large in chunks", "Transfer-Encoding: chunked", "400\r\n" + strings.Repeat("b", 1024) + "\r\n0\r\n\r\n", jaybarrow.KindBodyTooLarge},
		{"shorter than declared", "Content-Length: 10", "short", jaybarrow.KindBodyTruncated},
		{"chunk cut off", "Transfer-Encoding: chunked", "a\r\nshort", jaybarrow.KindBodyTruncated},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := start(t, "")
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
			var fault httpapi.Fault
			assert.NilError(t, json.NewDecoder(response.Body).Decode(&fault))
			assert.Equal(t, fault.Kind, c.kind, "%s", fault.Message)
			assert.Equal(t, fault.Effect, jaybarrow.EffectNotRun)
			assert.Equal(t, s.echo.ran.Load(), int64(0))
		})
	}
}

// Guards against a body that is changed on the way, as by the library's decompression.
func TestBodyIsOpaque(t *testing.T) {
	s := start(t, "")
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
