package client_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/demo"
	"github.com/jaybarrow/jaybarrow/pkg/client"
)

var ctx = context.Background()

func newClient(t *testing.T, address, key string) *client.Client {
	t.Helper()
	c := &http.Client{Transport: &http.Transport{}, Timeout: 20 * time.Second}
	t.Cleanup(c.CloseIdleConnections)
	return client.New(c, jaybarrow.Address(address), key)
}

// Guards against an error that reports a request as not run although it may have run, and against a request that is sent twice.
func TestErrorsReportWhetherTheRequestRan(t *testing.T) {
	hangUp := func(w http.ResponseWriter) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			conn.Close()
		}
	}
	cases := []struct {
		name   string
		answer func(w http.ResponseWriter, r *http.Request)
		kind   jaybarrow.ErrorKind
		effect jaybarrow.Effect
	}{
		{"error of an entry host", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Request-Id", "r1")
			w.WriteHeader(http.StatusTooManyRequests)
			_, _ = io.WriteString(w, `{"kind":"noPermit","effect":"notRun","message":"limit is used"}`)
		}, jaybarrow.KindNoPermit, jaybarrow.EffectNotRun},
		{"answer of a load balancer", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusBadGateway)
		}, jaybarrow.KindPeerLost, jaybarrow.EffectMayHaveRun},
		{"connection broken after the send", func(w http.ResponseWriter, _ *http.Request) {
			hangUp(w)
		}, jaybarrow.KindPeerLost, jaybarrow.EffectMayHaveRun},
		{"answer cut off", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "part")
			hangUp(w)
		}, jaybarrow.KindPeerLost, jaybarrow.EffectMayHaveRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var calls atomic.Int64
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				calls.Add(1)
				c.answer(w, r)
			}))
			defer s.Close()
			_, err := newClient(t, strings.TrimPrefix(s.URL, "http://"), "k").Submit(ctx, client.Request{Queue: "match", Body: []byte("work")})
			var e *jaybarrow.Error
			assert.Assert(t, errors.As(err, &e), "%v", err)
			assert.Equal(t, e.Kind, c.kind)
			assert.Equal(t, e.Effect, c.effect)
			assert.Equal(t, calls.Load(), int64(1))
		})
	}
}

// Guards against a request that was never sent being reported as possibly run.
func TestNoConnectionMeansNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = newClient(t, address, "k").Submit(ctx, client.Request{Queue: "match"})
	assert.Equal(t, jaybarrow.AsError(err).Effect, jaybarrow.EffectNotRun)
}

// Guards against differences in routes, headers or fields between the client and the HTTP API.
func TestAgainstAnEntryHost(t *testing.T) {
	d, err := demo.New(ctx, zerolog.Nop(), "127.0.0.1:0")
	assert.NilError(t, err)
	defer d.Close(ctx)
	operator, caller := newClient(t, string(d.Callers), demo.OperatorKey), newClient(t, string(d.Callers), demo.TrailKey)

	answer, err := caller.Submit(ctx, client.Request{Queue: "match", ID: "r-1", NonIdempotent: true, Demand: jaybarrow.Demand{Slots: 2}, Body: []byte(`{"echo":"hello"}`)})
	assert.NilError(t, err)
	assert.Equal(t, answer.ID, jaybarrow.RequestID("r-1"))
	assert.Assert(t, strings.Contains(string(answer.Body), "hello"))
	assert.Assert(t, jaybarrow.IsKind(caller.Cancel(ctx, "r-1"), jaybarrow.KindNotFound))

	teams, err := operator.Teams(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(teams), 2)
	limit, err := operator.SetLimit(ctx, "trail", 4, teams[1].Limit.Revision)
	assert.NilError(t, err)
	assert.Equal(t, limit.Limit, jaybarrow.Slots(4), "%+v", limit)
	assert.Equal(t, limit.InForce, len(limit.Pending) == 0, "%+v", limit)
	_, err = operator.SetLimit(ctx, "trail", 5, teams[1].Limit.Revision)
	assert.Assert(t, jaybarrow.IsKind(err, jaybarrow.KindConflict), "%v", err)
	_, err = caller.Teams(ctx)
	assert.Assert(t, jaybarrow.IsKind(err, jaybarrow.KindBadKey), "%v", err)

	key, err := operator.AddKey(ctx, "trail")
	assert.NilError(t, err)
	_, err = operator.WithdrawKey(ctx, key.Hash, key.Revision)
	assert.NilError(t, err)
	pool, err := operator.PutPool(ctx, jaybarrow.Pool{ID: "spare", Spare: true}, 0)
	assert.NilError(t, err)
	host := jaybarrow.Host{ID: "h9", Pool: "spare", DataCentre: "demo", Rack: "r9", Address: "127.0.0.1:9", Capacity: jaybarrow.Demand{Slots: 1}}
	_, err = operator.PutHost(ctx, host, 0)
	assert.NilError(t, err)
	_, err = operator.DeletePool(ctx, "spare", pool.Revision)
	assert.Assert(t, jaybarrow.IsKind(err, jaybarrow.KindConflict), "%v", err)
	status, err := operator.Status(ctx, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(status.InForceOn), 1)
	_, err = operator.Measures(ctx)
	assert.NilError(t, err)
	_, err = operator.Explain(ctx, jaybarrow.Subject{Kind: "colour", ID: "red"})
	assert.Assert(t, jaybarrow.IsKind(err, jaybarrow.KindBadRequest), "%v", err)
}
