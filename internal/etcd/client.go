package etcd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/etcd/gateway"
)

// Settings bounds the client's connections and waits.
type Settings struct {
	Address     jaybarrow.Address
	Connections int // for unary calls; each watch has one of its own
	DialTimeout time.Duration
	CallTimeout time.Duration // for a unary call, and for a watch to be confirmed as created
}

// Client implements Store, HostList and Rebooter.
type Client struct {
	settings Settings
	unary    *fasthttp.HostClient
	watches  *http.Client
}

var (
	_ jaybarrow.Store    = (*Client)(nil)
	_ jaybarrow.HostList = (*Client)(nil)
	_ jaybarrow.Rebooter = (*Client)(nil)
)

// idleTime is below the time after which servers commonly close idle connections, so that a write rarely meets a
// connection that is being closed, which would leave its outcome unknown.
const idleTime = 5 * time.Second

// New returns a Client without connections.
func New(settings Settings) *Client {
	dialer := &net.Dialer{Timeout: settings.DialTimeout}
	return &Client{
		settings: settings,
		unary: &fasthttp.HostClient{
			Addr:                string(settings.Address),
			MaxConns:            settings.Connections,
			MaxConnWaitTimeout:  settings.CallTimeout,
			MaxIdleConnDuration: idleTime,
			// The library's own retries would write twice.
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial: func(address string) (net.Conn, error) {
				c, err := dialer.Dial("tcp", address)
				if err != nil {
					return nil, &notSent{err}
				}
				return c, nil
			},
		},
		watches: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext,
			// A connection whose watch was closed may have gone silent; it must not carry the next one.
			DisableKeepAlives: true,
		}},
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.unary.CloseIdleConnections()
	c.watches.CloseIdleConnections()
}

// notSent is an error before the first byte of a request was sent.
type notSent struct{ cause error }

func (e *notSent) Error() string { return e.cause.Error() }

func (e *notSent) Unwrap() error { return e.cause }

// call makes one unary call. Its error's effect is notRun only when the store cannot have processed the call. A call in
// progress ends at its timeout or at the context's deadline; the end of the context by cancellation is seen before the
// send only.
func (c *Client) call(ctx context.Context, method, path string, body, result any) error {
	if err := ctx.Err(); err != nil {
		return notRun(path, err)
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return notRun(path, err)
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + string(c.settings.Address) + path)
	request.Header.SetMethod(method)
	if method == fasthttp.MethodPost {
		request.Header.SetContentType("application/json")
		request.SetBodyRaw(encoded)
	}
	if err := c.unary.DoDeadline(request, response, c.deadline(ctx)); err != nil {
		return c.transportError(path, err)
	}
	return answer(path, response.StatusCode(), response.Body(), result)
}

func (c *Client) deadline(ctx context.Context) time.Time {
	deadline := time.Now().Add(c.settings.CallTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		return d
	}
	return deadline
}

func (c *Client) transportError(path string, err error) error {
	var unsent *notSent
	if errors.As(err, &unsent) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return notRun(path, err)
	}
	// Connections that are open may all have gone silent while new ones work.
	c.unary.CloseIdleConnections()
	return jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "%s: %w", path, err)
}

func notRun(path string, err error) *jaybarrow.Error {
	return jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "%s: %w", path, err).WithEffect(jaybarrow.EffectNotRun)
}

// answer decodes the result, or turns an error status into an error. Status 503 proves that the store did not process the
// call only when the store itself says so; a middlebox may send the status after a lost answer.
func answer(path string, status int, body []byte, result any) error {
	if status == fasthttp.StatusOK {
		if err := json.Unmarshal(body, result); err != nil {
			return jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "%s: decode the answer: %w", path, err)
		}
		return nil
	}
	var refusal gateway.ErrorResponse
	_ = json.Unmarshal(body, &refusal)
	switch {
	case status == fasthttp.StatusServiceUnavailable && refusal.Code == gateway.CodeUnavailable:
		return notRun(path, fmt.Errorf("status %d: %s", status, refusal.Message))
	case status == fasthttp.StatusNotFound && refusal.Code == gateway.CodeNotFound:
		return jaybarrow.Errorf(jaybarrow.KindNotFound, "%s: %s", path, refusal.Message)
	case status == fasthttp.StatusBadRequest && refusal.Code == gateway.CodeInvalidArgument:
		return jaybarrow.Errorf(jaybarrow.KindBadRequest, "%s: %s", path, refusal.Message)
	}
	return jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "%s: status %d", path, status)
}

func (c *Client) post(ctx context.Context, path string, body, result any) error {
	return c.call(ctx, fasthttp.MethodPost, path, body, result)
}

// read is post for a call that changes nothing, whose failure therefore has no effect.
func (c *Client) read(ctx context.Context, method, path string, body, result any) error {
	err := c.call(ctx, method, path, body, result)
	if err == nil {
		return nil
	}
	return jaybarrow.AsError(err).WithEffect(jaybarrow.EffectNotRun)
}
