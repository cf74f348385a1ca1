package etcd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/etcd/gateway"
)

// Settings holds the store's address and the client's limits.
type Settings struct {
	Address     jaybarrow.Address
	Connections int // largest number for unary calls; each watch has one of its own
	DialTimeout time.Duration
	CallTimeout time.Duration // for a unary call, and for the store's confirmation of a new watch
}

// Client calls the store; it implements jaybarrow.Store, HostList and Rebooter.
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

// idleTimeout is below the time after which servers commonly close idle connections, so that few writes meet a connection that
// the server is closing; the outcome of such a write is unknown.
const idleTimeout = 5 * time.Second

// maxAnswerBytes is the size of the largest answer to a call; a list of all records of a large fleet takes a few MB.
const maxAnswerBytes = 64 << 20

// New returns a Client that connects on its first call.
func New(settings Settings) *Client {
	dialer := &net.Dialer{Timeout: settings.DialTimeout}
	return &Client{
		settings: settings,
		unary: &fasthttp.HostClient{
			Addr:                string(settings.Address),
			MaxConns:            settings.Connections,
			MaxConnWaitTimeout:  settings.CallTimeout,
			MaxIdleConnDuration: idleTimeout,
			MaxResponseBodySize: maxAnswerBytes,
			// The library's own retries could apply a write twice.
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial: func(address string) (net.Conn, error) {
				c, err := dialer.Dial("tcp", address)
				if err != nil {
					return nil, &notSentError{err}
				}
				return c, nil
			},
		},
		watches: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext,
			// The connection of a closed watch may have stopped responding, so the next watch must not reuse it.
			DisableKeepAlives: true,
		}},
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.unary.CloseIdleConnections()
	c.watches.CloseIdleConnections()
}

// notSentError is an error that occurred before the first byte of a request was sent.
type notSentError struct{ cause error }

func (e *notSentError) Error() string { return e.cause.Error() }

func (e *notSentError) Unwrap() error { return e.cause }

// call makes one unary call and decodes the answer into result. The effect of its error is notRun only when the store cannot
// have processed the call. A call in progress ends at its timeout or at the context's deadline; cancellation of the context
// is noticed only before the request is sent.
func (c *Client) call(ctx context.Context, method, path string, body, result any) error {
	if err := ctx.Err(); err != nil {
		return notRunError(path, err)
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return notRunError(path, err)
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
	return decodeAnswer(path, response.StatusCode(), response.Body(), result)
}

func (c *Client) deadline(ctx context.Context) time.Time {
	deadline := time.Now().Add(c.settings.CallTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		return d
	}
	return deadline
}

func (c *Client) transportError(path string, err error) error {
	var unsent *notSentError
	if errors.As(err, &unsent) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return notRunError(path, err)
	}
	// The other open connections may have stopped responding too, while new ones work.
	c.unary.CloseIdleConnections()
	return jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "%s: %w", path, err)
}

func notRunError(path string, err error) *jaybarrow.Error {
	return jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "%s: %w", path, err).WithEffect(jaybarrow.EffectNotRun)
}

// decodeAnswer decodes the result, or turns an error status into an error. Status 503 proves that the store did not process the
// call only when the body is the store's own; a middlebox may send this status after the answer was lost.
func decodeAnswer(path string, status int, body []byte, result any) error {
	if status == fasthttp.StatusOK {
		if err := json.Unmarshal(body, result); err != nil {
			return jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "%s: decode the answer: %w", path, err)
		}
		return nil
	}
	var errorResponse gateway.ErrorResponse
	_ = json.Unmarshal(body, &errorResponse)
	switch {
	case status == fasthttp.StatusServiceUnavailable && errorResponse.Code == gateway.CodeUnavailable:
		return notRunError(path, fmt.Errorf("status %d: %s", status, errorResponse.Message))
	case status == fasthttp.StatusNotFound && errorResponse.Code == gateway.CodeNotFound:
		return jaybarrow.Errorf(jaybarrow.KindNotFound, "%s: %s", path, errorResponse.Message)
	case status == fasthttp.StatusBadRequest && errorResponse.Code == gateway.CodeInvalidArgument:
		return jaybarrow.Errorf(jaybarrow.KindBadRequest, "%s: %s", path, errorResponse.Message)
	}
	return jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "%s: status %d", path, status)
}

func (c *Client) post(ctx context.Context, path string, body, result any) error {
	return c.call(ctx, fasthttp.MethodPost, path, body, result)
}

// read makes a call that changes nothing, so the effect of its errors is always notRun. It is repeated once when the store has closed its
// connection, as an outage does with those that are kept; the second call opens a new one.
func (c *Client) read(ctx context.Context, method, path string, body, result any) error {
	err := c.call(ctx, method, path, body, result)
	if err != nil && connectionClosed(err) {
		err = c.call(ctx, method, path, body, result)
	}
	if err == nil {
		return nil
	}
	return jaybarrow.AsError(err).WithEffect(jaybarrow.EffectNotRun)
}

// connectionClosed reports whether the other end has closed the connection of a call, so that no answer can come any more.
func connectionClosed(err error) bool {
	return errors.Is(err, fasthttp.ErrConnectionClosed) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
