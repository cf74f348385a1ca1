package demo_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/demo"
	"github.com/jaybarrow/jaybarrow/internal/httpapi"
	"github.com/jaybarrow/jaybarrow/pkg/client"
)

// Guards against a fault anywhere on the path from a caller to a worker and back.
func TestDemoAnswersRequests(t *testing.T) {
	d, err := demo.New(context.Background(), zerolog.Nop(), "127.0.0.1:0")
	assert.NilError(t, err)
	defer d.Close(context.Background())

	cases := []struct {
		name, key, queue, slots string
		status                  int
		kind                    jaybarrow.ErrorKind
	}{
		{"answered", demo.TrailKey, "match", "1", http.StatusOK, ""},
		{"bad key", "wrong", "match", "1", http.StatusUnauthorized, jaybarrow.KindBadKey},
		{"unknown queue", demo.TrailKey, "none", "1", http.StatusNotFound, jaybarrow.KindUnknownQueue},
		{"never runnable", demo.TrailKey, "match", "9", http.StatusUnprocessableEntity, jaybarrow.KindNeverRunnable},
		{"bad header", demo.TrailKey, "match", "x", http.StatusBadRequest, jaybarrow.KindBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			url := "http://" + string(d.Callers) + "/v1/queues/" + c.queue + "/requests"
			request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(`{"echo":"hello"}`))
			assert.NilError(t, err)
			request.Header.Set("Authorization", "Bearer "+c.key)
			request.Header.Set(httpapi.HeaderSlots, c.slots)
			response, err := http.DefaultClient.Do(request)
			assert.NilError(t, err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, c.status, "%s", body)
			var answer struct {
				Kind   jaybarrow.ErrorKind
				Effect jaybarrow.Effect
				Echo   string
			}
			assert.NilError(t, json.Unmarshal(body, &answer))
			assert.Equal(t, answer.Kind, c.kind)
			if c.kind == "" {
				assert.Equal(t, answer.Echo, "hello")
			} else {
				assert.Equal(t, answer.Effect, jaybarrow.EffectNotRun)
			}
		})
	}
}

// Guards against a reboot that an operator requests and that never ends, because nothing in the demo restarts the worker as the
// platform does.
func TestDemoRebootsAHost(t *testing.T) {
	d, err := demo.New(context.Background(), zerolog.Nop(), "127.0.0.1:0")
	assert.NilError(t, err)
	defer d.Close(context.Background())
	operator := client.New(http.DefaultClient, d.Callers, demo.OperatorKey)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := operator.BeginDrain(context.Background(), "host-1", jaybarrow.PurposeReboot, ""); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		drains, err := operator.Drains(context.Background())
		if err != nil || len(drains) == 0 || len(drains[0].Drains) > 0 {
			return poll.Continue("%+v %v", drains, err)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
}
