package client

import (
	"context"
	"net/http"
	"strconv"

	"github.com/jaybarrow/jaybarrow"
)

// Submit sends a request and waits for its answer. The answer's ID is set, even on an error, if the request has one or the
// entry host has assigned one.
func (c *Client) Submit(ctx context.Context, r Request) (Answer, error) {
	header := http.Header{}
	setNumber := func(name string, n int64) {
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
	setNumber("Slots", int64(r.Demand.Slots))
	setNumber("Memory-Mb", int64(r.Demand.Memory))
	setNumber("Accelerators", int64(r.Demand.Accelerators))
	setNumber("Answer-Within-Ms", r.AnswerWithin.Milliseconds())
	setNumber("Run-Time-Ms", r.RunTime.Milliseconds())
	responseHeader, body, err := c.do(ctx, call{
		method: http.MethodPost, path: pathTo("/v1/queues", r.Queue) + "/requests", header: header, body: r.Body,
	})
	answer := Answer{ID: r.ID, Body: body}
	if id := responseHeader.Get("Request-Id"); id != "" {
		answer.ID = jaybarrow.RequestID(id)
	}
	return answer, err
}

// Cancel cancels a queued or running request of the team that the key belongs to.
func (c *Client) Cancel(ctx context.Context, id jaybarrow.RequestID) error {
	_, _, err := c.do(ctx, call{method: http.MethodDelete, path: pathTo("/v1/requests", id)})
	return err
}
