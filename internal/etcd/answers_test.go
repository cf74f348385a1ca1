package etcd_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/etcd"
)

// Guards against an answer of the store that is received although it is far larger than any list of records.
func TestALargeAnswerIsNotReceived(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100000000")
		_, _ = w.Write([]byte("{"))
		_ = http.NewResponseController(w).Flush()
		<-t.Context().Done()
	}))
	t.Cleanup(server.CloseClientConnections)
	client := etcd.New(etcd.Settings{
		Address: jaybarrow.Address(server.Listener.Addr().String()), Connections: 1, DialTimeout: time.Second, CallTimeout: time.Minute,
	})
	defer client.Close()
	begin := time.Now()
	_, err := client.Hosts(t.Context())
	assert.Equal(t, jaybarrow.AsError(err).Kind, jaybarrow.KindStoreUnavailable, "%v", err)
	assert.Assert(t, time.Since(begin) < time.Minute/2, "the answer was awaited")
}
