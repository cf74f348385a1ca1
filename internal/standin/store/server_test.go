package store_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/store"
)

func start(t *testing.T) *store.Server {
	t.Helper()
	s, err := store.NewLoopback(jaybarrow.SystemClock{}, store.Timing{})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s
}

func do(t *testing.T, method string, address jaybarrow.Address, path, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+string(address)+path, strings.NewReader(body))
	assert.NilError(t, err)
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, strings.TrimSpace(string(answer))
}

// Guards against a stand-in that accepts calls that the platform rejects, which would hide such calls of the client, and
// against deviations from the encoding of the etcd gateway. In that encoding "L2E=" is the key "/a".
func TestGateway(t *testing.T) {
	compare := `{"key":"L2E=","target":"MOD","result":"EQUAL","mod_revision":"0"}`
	put := `{"request_put":{"key":"L2E=","value":"dg=="}}`
	cases := []struct {
		name, path, body string
		status           int
		answer           string
	}{
		{"put", "/v3/kv/txn", `{"compare":[` + compare + `],"success":[` + put + `]}`, 200, `{"header":{"revision":"2"},"succeeded":true}`},
		{"failed comparison", "/v3/kv/txn", `{"compare":[` + strings.Replace(compare, `"0"`, `"9"`, 1) + `],"success":[` + put + `]}`, 200, `{"header":{"revision":"1"}}`},
		{"no comparison", "/v3/kv/txn", `{"success":[` + put + `]}`, 400, ""},
		{"two operations", "/v3/kv/txn", `{"compare":[` + compare + `],"success":[` + put + `,` + put + `]}`, 400, ""},
		{"another key", "/v3/kv/txn", `{"compare":[` + strings.Replace(compare, "L2E=", "L2I=", 1) + `],"success":[` + put + `]}`, 400, ""},
		{"comparison of the version", "/v3/kv/txn", `{"compare":[` + strings.Replace(compare, "MOD", "VERSION", 1) + `],"success":[` + put + `]}`, 400, ""},
		{"range that is not a prefix", "/v3/kv/range", `{"key":"L2E=","range_end":"L3o="}`, 400, ""},
		{"empty prefix", "/v3/kv/range", `{"key":"L2E=","range_end":"L2I="}`, 200, `{"header":{"revision":"1"}}`},
		{"lease", "/v3/lease/grant", `{"TTL":"5"}`, 200, `{"header":{"revision":"1"},"ID":"1","TTL":"5"}`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status, answer := do(t, http.MethodPost, start(t).Address(), c.path, c.body)
			assert.Equal(t, status, c.status, "%s", answer)
			if c.answer != "" {
				assert.Equal(t, answer, c.answer)
			}
		})
	}
}

// Guards against control calls that are accepted without effect, and against faults that affect control calls.
func TestControl(t *testing.T) {
	s := start(t)
	control := func(method, path, body string, result any) {
		t.Helper()
		status, answer := do(t, method, s.ControlAddress(), "/control/"+path, body)
		assert.Equal(t, status, http.StatusOK, "%s", answer)
		if result != nil {
			assert.NilError(t, json.Unmarshal([]byte(answer), result))
		}
	}
	_, _ = do(t, http.MethodPost, s.Address(), "/v3/kv/txn", `{"compare":[{"key":"L2E=","target":"MOD","result":"EQUAL","mod_revision":"0"}],"success":[{"request_put":{"key":"L2E=","value":"dg=="}}]}`)
	_, _ = do(t, http.MethodPost, s.Address(), "/platform/hosts/host-1/reboot", "")
	control(http.MethodPut, "timing", `{"lagMs":3600000}`, nil)
	control(http.MethodPut, "hosts/host-2", `{"condition":"leaving"}`, nil)
	_, hosts := do(t, http.MethodGet, s.Address(), "/platform/hosts", "")
	assert.Equal(t, hosts, `{"hosts":[]}`)
	control(http.MethodPut, "timing", `{"lagMs":0}`, nil)
	_, hosts = do(t, http.MethodGet, s.Address(), "/platform/hosts", "")
	assert.Equal(t, hosts, `{"hosts":[{"host":"host-1","condition":"live"},{"host":"host-2","condition":"leaving"}]}`)

	control(http.MethodPut, "faults", `{"outage":"refuse","lostAnswers":{"next":2}}`, nil)
	var faults store.Faults
	control(http.MethodGet, "faults", "", &faults)
	assert.Equal(t, faults, store.Faults{Outage: store.OutageRefuse, LostAnswers: store.LostAnswers{Next: 2}})

	var calls map[store.CallKind]int
	control(http.MethodGet, "calls", "", &calls)
	assert.DeepEqual(t, calls, map[store.CallKind]int{store.CallTxn: 1, store.CallReboot: 1, store.CallHosts: 2})
	var log []store.Change
	control(http.MethodGet, "log?prefix=/a", "", &log)
	assert.Equal(t, len(log), 1)
	assert.Equal(t, string(log[0].Value), "v")
	assert.Assert(t, time.Since(time.Unix(0, log[0].TimeNs)) < time.Hour)
	control(http.MethodGet, "log?prefix=/b", "", &log)
	assert.Equal(t, len(log), 0)
	var reboots []store.Reboot
	control(http.MethodGet, "reboots", "", &reboots)
	assert.Equal(t, reboots[0].Host, jaybarrow.HostID("host-1"))
	control(http.MethodPost, "compact", `{"revision":2}`, nil)
	assert.Equal(t, s.Core().Compacted(), jaybarrow.Revision(2))
}
