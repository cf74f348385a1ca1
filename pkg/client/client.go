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

// Client calls one entry host, or a load balancer in front of several.
type Client struct {
	http    *http.Client
	address jaybarrow.Address
	key     string
}

// New returns a Client that presents the key; it uses httpClient's timeouts and connections.
func New(httpClient *http.Client, address jaybarrow.Address, key string) *Client {
	return &Client{http: httpClient, address: address, key: key}
}

// call is one HTTP call.
type call struct {
	method, path string
	header       http.Header
	body         []byte
}

// do returns the whole answer, or a *jaybarrow.Error.
func (c *Client) do(ctx context.Context, in call) (http.Header, []byte, error) {
	connected := &atomic.Bool{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), in.method,
		"http://"+string(c.address)+in.path, bytes.NewReader(in.body))
	if err != nil {
		return nil, nil, jaybarrow.Errorf(jaybarrow.KindBadRequest, "%w", err)
	}
	// Without GetBody the library cannot send the body a second time by itself.
	request.GetBody = nil
	for name, values := range in.header {
		request.Header[name] = values
	}
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, nil, lost(in.method, connected.Load(), err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return response.Header, nil, lost(in.method, true, err)
	}
	if response.StatusCode != http.StatusOK {
		return response.Header, nil, fault(in.method, response.StatusCode, data)
	}
	return response.Header, data, nil
}

// lost says of a call without a whole answer whether it may have run: without a connection nothing was sent, and a GET
// changes nothing.
func lost(method string, connected bool, err error) *jaybarrow.Error {
	if !connected {
		return jaybarrow.Errorf(jaybarrow.KindPeerLost, "no connection to the entry host: %w", err).WithEffect(jaybarrow.EffectNotRun)
	}
	e := jaybarrow.Errorf(jaybarrow.KindPeerLost, "the connection to the entry host broke before the whole answer: %w", err)
	if method == http.MethodGet {
		return e.WithEffect(jaybarrow.EffectNotRun)
	}
	return e
}

// fault decodes an error answer; one that is not the system's own, such as a load balancer's, leaves the effect open.
func fault(method string, status int, data []byte) *jaybarrow.Error {
	var f struct {
		Kind    jaybarrow.ErrorKind `json:"kind"`
		Effect  jaybarrow.Effect    `json:"effect"`
		Message string              `json:"message"`
	}
	if err := json.Unmarshal(data, &f); err == nil && f.Kind != "" && f.Effect != "" {
		return &jaybarrow.Error{Kind: f.Kind, Effect: f.Effect, Message: f.Message}
	}
	e := jaybarrow.Errorf(jaybarrow.KindPeerLost, "answer with status %d that is not the system's own", status)
	if method == http.MethodGet {
		return e.WithEffect(jaybarrow.EffectNotRun)
	}
	return e
}

// get reads a JSON answer.
func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	return exchange[T](ctx, c, call{method: http.MethodGet, path: path})
}

// change sends a value made from the revision; a negative revision is left out, for calls that take none.
func change[T any](ctx context.Context, c *Client, method, path string, revision jaybarrow.Revision, body any) (T, error) {
	in := call{method: method, path: path, header: http.Header{}}
	if revision >= 0 {
		in.header.Set("If-Match", strconv.Quote(strconv.FormatInt(int64(revision), 10)))
	}
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			var none T
			return none, jaybarrow.Errorf(jaybarrow.KindBadRequest, "encode: %w", err)
		}
		in.header.Set("Content-Type", "application/json")
		in.body = data
	}
	return exchange[T](ctx, c, in)
}

// noRevision marks calls that are not made from a revision.
const noRevision jaybarrow.Revision = -1

func exchange[T any](ctx context.Context, c *Client, in call) (T, error) {
	var out T
	_, data, err := c.do(ctx, in)
	if err != nil {
		return out, err
	}
	if err := json.Unmarshal(data, &out); err != nil {
		return out, lost(in.method, true, err)
	}
	return out, nil
}

// at returns a path with an escaped last part.
func at[T ~string](path string, id T) string { return path + "/" + url.PathEscape(string(id)) }
