package task

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/jaybarrow/jaybarrow"
)

// report is what a worker reported about a task.
type report struct {
	outcome Outcome
	boot    Boot
	clock   jaybarrow.WorkerClock
	status  int
	body    []byte
	kept    bool // whether body is the stored answer
}

// observe records the worker's clock from a response.
func (c *Client) observe(w *worker, response *fasthttp.Response) {
	value, err := strconv.ParseInt(string(response.Header.Peek(HeaderClock)), 10, 64)
	if err != nil {
		return
	}
	w.clock.observe(Boot(response.Header.Peek(HeaderBoot)), jaybarrow.WorkerClock(value), c.clock.Now())
}

// send makes a control call and passes the response to read.
func (c *Client) send(host jaybarrow.Host, method, path string, setHeaders func(*fasthttp.Request), read func(*fasthttp.Response) error) error {
	w := c.worker(host.Address)
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + string(host.Address) + path)
	request.Header.SetMethod(method)
	setHeaders(request)
	_, err := exchange(w.control, &call{}, c.settings.CallTimeout, request, response, func(response *fasthttp.Response) error {
		c.observe(w, response)
		return read(response)
	})
	if err != nil {
		return jaybarrow.Errorf(jaybarrow.KindWorkerLost, "%s %s on %s: %w", method, path, host.ID, err)
	}
	return nil
}

// noExtraHeaders is the setHeaders of a call that needs no headers of its own.
func noExtraHeaders(*fasthttp.Request) {}

// ask makes a control call about one task. A response for another task is an error.
func (c *Client) ask(host jaybarrow.Host, method string, id jaybarrow.TaskID, action string, setHeaders func(*fasthttp.Request)) (report, error) {
	var r report
	err := c.send(host, method, "/tasks/"+string(id)+action, setHeaders, func(response *fasthttp.Response) error {
		if answered := string(response.Header.Peek(HeaderTask)); answered != string(id) {
			return fmt.Errorf("the response is for task %q", answered)
		}
		clock, _ := strconv.ParseInt(string(response.Header.Peek(HeaderClock)), 10, 64)
		r = report{
			outcome: Outcome(response.Header.Peek(HeaderOutcome)),
			boot:    Boot(response.Header.Peek(HeaderBoot)),
			clock:   jaybarrow.WorkerClock(clock),
			status:  response.StatusCode(),
			body:    append([]byte(nil), response.Body()...),
			kept:    string(response.Header.Peek(HeaderAnswerKept)) == "true",
		}
		return nil
	})
	return r, err
}

// askWithRetry makes a control call about one task and retries a failed call once, on another connection.
func (c *Client) askWithRetry(host jaybarrow.Host, method string, id jaybarrow.TaskID) (report, error) {
	r, err := c.ask(host, method, id, "", noExtraHeaders)
	if err != nil {
		r, err = c.ask(host, method, id, "", noExtraHeaders)
	}
	return r, err
}

// Status fetches the worker's status.
func (c *Client) Status(_ context.Context, host jaybarrow.Host) (jaybarrow.WorkerStatus, error) {
	var status jaybarrow.WorkerStatus
	err := c.send(host, fasthttp.MethodGet, "/status", noExtraHeaders, func(response *fasthttp.Response) error {
		return json.Unmarshal(response.Body(), &status)
	})
	return status, err
}

// SetDraining makes the worker refuse new tasks, or accept them again. It returns KindConflict when the worker has applied
// a drain command with a higher fencing token.
func (c *Client) SetDraining(_ context.Context, host jaybarrow.Host, draining bool, fence jaybarrow.Revision) error {
	method := fasthttp.MethodDelete
	if draining {
		method = fasthttp.MethodPost
	}
	stale := false
	err := c.send(host, method, "/drain", func(request *fasthttp.Request) {
		request.Header.Set(HeaderFence, strconv.FormatInt(int64(fence), 10))
	}, func(response *fasthttp.Response) error {
		stale = response.StatusCode() == fasthttp.StatusConflict
		if !stale && response.StatusCode() != fasthttp.StatusOK {
			return fmt.Errorf("status %d", response.StatusCode())
		}
		return nil
	})
	if stale {
		return jaybarrow.Errorf(jaybarrow.KindConflict, "%s has applied a drain command newer than revision %d", host.ID, fence)
	}
	return err
}

// Checkpoint makes the worker checkpoint and end the task. It returns KindWorkerRefused when the task cannot be resumed or
// has ended, and KindNotFound when the worker has no record of it.
func (c *Client) Checkpoint(_ context.Context, host jaybarrow.Host, id jaybarrow.TaskID) error {
	r, err := c.ask(host, fasthttp.MethodPost, id, "/checkpoint", noExtraHeaders)
	switch {
	case err != nil:
		return err
	case r.outcome == OutcomeUnknown:
		return jaybarrow.Errorf(jaybarrow.KindNotFound, "%s has no record of task %s", host.ID, id)
	case r.outcome != OutcomeCheckpointed:
		return jaybarrow.Errorf(jaybarrow.KindWorkerRefused, "%s cannot checkpoint task %s, which is %s", host.ID, id, r.outcome)
	}
	return nil
}
