package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/etcd/gateway"
)

// Watch opens a watch on a connection of its own and returns once the store has confirmed it.
func (c *Client) Watch(ctx context.Context, prefix jaybarrow.Key, from jaybarrow.Revision) (jaybarrow.Watch, error) {
	body, err := json.Marshal(gateway.WatchRequest{Create: gateway.WatchCreate{
		Key: []byte(prefix), RangeEnd: gateway.PrefixEnd([]byte(prefix)), StartRevision: from + 1, ProgressNotify: true,
	}})
	if err != nil {
		return nil, notRunError(gateway.PathWatch, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	confirmTimer := time.AfterFunc(c.settings.CallTimeout, cancel)
	w, err := c.openWatch(ctx, body)
	if err == nil && !confirmTimer.Stop() {
		_ = w.body.Close()
		err = notRunError(gateway.PathWatch, context.DeadlineExceeded)
	}
	if err != nil {
		confirmTimer.Stop()
		cancel()
		return nil, err
	}
	w.cancel = cancel
	return w, nil
}

func (c *Client) openWatch(ctx context.Context, body []byte) (*watch, error) {
	url := "http://" + string(c.settings.Address) + gateway.PathWatch
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, notRunError(gateway.PathWatch, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.watches.Do(request)
	if err != nil {
		return nil, notRunError(gateway.PathWatch, err)
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		errorBody, _ := io.ReadAll(io.LimitReader(response.Body, 1<<16))
		return nil, jaybarrow.AsError(decodeAnswer(gateway.PathWatch, response.StatusCode, errorBody, nil)).WithEffect(jaybarrow.EffectNotRun)
	}
	w := &watch{body: response.Body, decoder: json.NewDecoder(response.Body)}
	first, err := w.receive()
	if err == nil && !first.Created {
		err = jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "%s: the watch was not confirmed", gateway.PathWatch)
	}
	if err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return w, nil
}

type watch struct {
	cancel  context.CancelFunc
	body    io.ReadCloser
	decoder *json.Decoder
}

// Next waits for changes or progress. The revision of a batch of changes is that of its last change, because the protocol
// allows the header to be ahead of the changes delivered; that of a progress notice is the header's.
func (w *watch) Next() (jaybarrow.WatchEvent, error) {
	result, err := w.receive()
	if err != nil {
		return jaybarrow.WatchEvent{}, err
	}
	event := jaybarrow.WatchEvent{Revision: result.Header.Revision}
	for _, e := range result.Events {
		record := e.Record()
		event.Records = append(event.Records, record)
		event.Revision = record.Revision
	}
	return event, nil
}

func (w *watch) receive() (gateway.WatchResult, error) {
	var response gateway.WatchResponse
	if err := w.decoder.Decode(&response); err != nil {
		return response.Result, notRunError(gateway.PathWatch, err)
	}
	result := response.Result
	switch {
	case result.Canceled && result.CompactRevision > 0:
		return result, jaybarrow.Errorf(jaybarrow.KindNotFound, "changes up to revision %d have been compacted", result.CompactRevision)
	case result.Canceled:
		return result, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "the store cancelled the watch")
	case result.Header.Revision == 0:
		return result, jaybarrow.Errorf(jaybarrow.KindStoreUnavailable, "a message of the watch has no revision")
	}
	return result, nil
}

// Close ends the watch and its connection; a waiting Next fails.
func (w *watch) Close() {
	w.cancel()
	_ = w.body.Close()
}
