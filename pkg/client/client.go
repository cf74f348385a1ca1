package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"

	"github.com/jaybarrow/jaybarrow"
)

// Client calls the HTTP API of one entry host, or of a load balancer in front of several. Its methods return errors of type
// *jaybarrow.Error, whose Effect says whether the call may have taken effect.
type Client struct {
	http    *http.Client
	address jaybarrow.Address
	key     string
}

// New returns a Client that authenticates with the key, which may be empty; it uses httpClient's timeouts and connections.
func New(httpClient *http.Client, address jaybarrow.Address, key string) *Client {
	return &Client{http: httpClient, address: address, key: key}
}

// call is one HTTP request.
type call struct {
	method, path string
	header       http.Header
	body         []byte
}

// do sends the request and returns the header and the complete body of the response, or a *jaybarrow.Error.
func (c *Client) do(ctx context.Context, in call) (http.Header, []byte, error) {
	connected := &atomic.Bool{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), in.method,
		"http://"+string(c.address)+in.path, bytes.NewReader(in.body))
	if err != nil {
		return nil, nil, jaybarrow.Errorf(jaybarrow.KindBadRequest, "%w", err)
	}
	// Without GetBody the HTTP transport cannot send the body a second time on its own.
	request.GetBody = nil
	for name, values := range in.header {
		request.Header[name] = values
	}
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, nil, connectionError(in.method, connected.Load(), err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return response.Header, nil, connectionError(in.method, true, err)
	}
	if response.StatusCode != http.StatusOK {
		return response.Header, nil, decodeError(in.method, response.StatusCode, data)
	}
	return response.Header, data, nil
}

// connectionError returns the error of a call without a complete response. Its effect is notRun without a connection, since nothing
// was sent, and for a GET, which changes nothing; otherwise the call may have run.
func connectionError(method string, connected bool, err error) *jaybarrow.Error {
	if !connected {
		return jaybarrow.Errorf(jaybarrow.KindPeerLost, "no connection to the entry host: %w", err).WithEffect(jaybarrow.EffectNotRun)
	}
	e := jaybarrow.Errorf(jaybarrow.KindPeerLost, "the connection to the entry host was lost before the response was complete: %w", err)
	if method == http.MethodGet {
		return e.WithEffect(jaybarrow.EffectNotRun)
	}
	return e
}

// decodeError decodes an error response. A response that is not from an entry host, such as one of a load balancer, leaves open
// whether the call has run.
func decodeError(method string, status int, data []byte) *jaybarrow.Error {
	var f struct {
		Kind    jaybarrow.ErrorKind `json:"kind"`
		Effect  jaybarrow.Effect    `json:"effect"`
		Message string              `json:"message"`
	}
	if err := json.Unmarshal(data, &f); err == nil && f.Kind != "" && f.Effect != "" {
		return &jaybarrow.Error{Kind: f.Kind, Effect: f.Effect, Message: f.Message}
	}
	e := jaybarrow.Errorf(jaybarrow.KindPeerLost, "response with status %d is not from an entry host", status)
	if method == http.MethodGet {
		return e.WithEffect(jaybarrow.EffectNotRun)
	}
	return e
}

// getJSON sends a GET request and decodes the JSON response.
func getJSON[T any](ctx context.Context, c *Client, path string) (T, error) {
	return callJSON[T](ctx, c, call{method: http.MethodGet, path: path})
}

// sendJSON sends a change that is conditional on the revision and decodes the JSON response; it leaves out a negative revision, for
// calls that take none.
func sendJSON[T any](ctx context.Context, c *Client, method, path string, revision jaybarrow.Revision, body any) (T, error) {
	in := call{method: method, path: path, header: http.Header{}}
	if revision >= 0 {
		in.header.Set("If-Match", strconv.Quote(strconv.FormatInt(int64(revision), 10)))
	}
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			var none T
			return none, jaybarrow.Errorf(jaybarrow.KindBadRequest, "encode the request body: %w", err)
		}
		in.header.Set("Content-Type", "application/json")
		in.body = data
	}
	return callJSON[T](ctx, c, in)
}

// noRevision marks calls that are not conditional on a revision.
const noRevision jaybarrow.Revision = -1

// callJSON sends the request and decodes the JSON response.
func callJSON[T any](ctx context.Context, c *Client, in call) (T, error) {
	var out T
	_, data, err := c.do(ctx, in)
	if err != nil {
		return out, err
	}
	if err := json.Unmarshal(data, &out); err != nil {
		return out, connectionError(in.method, true, err)
	}
	return out, nil
}

// pathTo returns the path with the escaped id as its last segment.
func pathTo[T ~string](path string, id T) string { return path + "/" + url.PathEscape(string(id)) }
