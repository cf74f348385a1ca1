package client

import (
	"context"
	"net/http"
	"strconv"

	"github.com/jaybarrow/jaybarrow"
)

// Submit runs a request and waits for its answer; the answer's id is set whenever the entry host gave one.
func (c *Client) Submit(ctx context.Context, r Request) (Answer, error) {
	header := http.Header{}
	number := func(name string, n int64) {
		if n != 0 {
			header.Set(name, strconv.FormatInt(n, 10))
		}
	}
	if r.ID != "" {
		header.Set("Request-Id", string(r.ID))
	}
	if r.NonIdempotent {
		header.Set("Idempotent", "false")
	}
	number("Slots", int64(r.Demand.Slots))
	number("Memory-Mb", int64(r.Demand.Memory))
	number("Accelerators", int64(r.Demand.Accelerators))
	number("Answer-Within-Ms", r.AnswerWithin.Milliseconds())
	number("Run-Time-Ms", r.RunTime.Milliseconds())
	received, body, err := c.do(ctx, call{
		method: http.MethodPost, path: at("/v1/queues", r.Queue) + "/requests", header: header, body: r.Body,
	})
	answer := Answer{ID: r.ID, Body: body}
	if id := received.Get("Request-Id"); id != "" {
		answer.ID = jaybarrow.RequestID(id)
	}
	return answer, err
}

// Cancel ends a queued or running request of the key's team.
func (c *Client) Cancel(ctx context.Context, id jaybarrow.RequestID) error {
	_, _, err := c.do(ctx, call{method: http.MethodDelete, path: at("/v1/requests", id)})
	return err
}
