package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/pkg/client"
)

// Guards against settings that are not allowed but pass the check command or let the program start.
func TestBadSettingsAreRefused(t *testing.T) {
	t.Parallel()
	good := fmt.Sprintf("[entry]\nid = e1\ndataCentre = dc1\ncallerAddress = %s\npeerAddress = %s\n[platform]\nstoreAddress = %s\n",
		freeAddress(t), freeAddress(t), freeAddress(t))
	cases := []struct{ name, settings, wantErr string }{
		{"nothing", "", `key "id"`},
		{"unknown section", good + "[extra]\na = 1\n", "section [extra]"},
		{"unknown key", good + "[queues]\nmaxWaitin = 1\n", `key "maxWaitin"`},
		{"repeated key", good + "[queues]\nmaxWaiting = 10000\nmaxWaiting = 20000\n", "one line for each key"},
		{"host name", strings.Replace(good, "127.0.0.1", "localhost", 1), `key "callerAddress"`},
		{"out of range", good + "[keys]\nfreshnessMs = 60000\n", `key "freshnessMs"`},
		{"value outside the choices", good + "[keys]\nwhenCutOff = maybe\n", `key "whenCutOff"`},
		{"entry host as its own peer", good + "[peers]\ne1 = dc1@127.0.0.1:9\n", `key "e1"`},
		{"not INI", "id: e1\n", "INI syntax"},
	}
	for _, x := range cases {
		for _, command := range []string{"check", "serve"} {
			t.Run(x.name+"/"+command, func(t *testing.T) {
				file := filepath.Join(t.TempDir(), "settings.ini")
				assert.NilError(t, os.WriteFile(file, []byte(x.settings), 0o600))
				p := start(t, "jaybarrow", nil, command, "-settings", file)
				select {
				case <-p.exited:
				case <-time.After(waitTimeout):
					t.Fatal("the program did not exit")
				}
				assert.Equal(t, p.cmd.ProcessState.ExitCode(), 2, "%s", p.log())
				assert.Assert(t, strings.Contains(p.log(), x.wantErr), "%s", p.log())
			})
		}
	}
	file := filepath.Join(t.TempDir(), "settings.ini")
	assert.NilError(t, os.WriteFile(file, []byte(good), 0o600))
	p := start(t, "jaybarrow", nil, "check", "-settings", file)
	<-p.exited
	assert.Equal(t, p.cmd.ProcessState.ExitCode(), 0, "%s", p.log())
}

// sendRaw sends the head and the body on a new connection, closes its sending side, and returns the answer's status, error kind
// and effect.
func sendRaw(t *testing.T, e *entryHost, head string, body []byte) (int, jaybarrow.ErrorKind, jaybarrow.Effect) {
	t.Helper()
	connection, err := net.Dial("tcp", string(e.callers))
	assert.NilError(t, err)
	defer connection.Close()
	assert.NilError(t, connection.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = connection.Write(append([]byte(strings.ReplaceAll(head, "\n", "\r\n")+"\r\n\r\n"), body...))
	assert.NilError(t, err)
	_ = connection.(*net.TCPConn).CloseWrite() // fails when the entry host has already refused the request and closed the connection
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(t, err)
	defer response.Body.Close()
	var fault struct {
		Kind   jaybarrow.ErrorKind `json:"kind"`
		Effect jaybarrow.Effect    `json:"effect"`
	}
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&fault))
	return response.StatusCode, fault.Kind, fault.Effect
}

// Guards against an invalid request that gets the wrong error, runs, or makes concurrent valid requests fail.
func TestFaultyRequestsAreRefused(t *testing.T) {
	t.Parallel()
	p := keyPlan()
	p.dataCentres = 1
	p.entriesPerDC = 2
	p.extraSettings = "[queues]\nmaxBodyBytes = 10000\n"
	c := newCluster(t, p)
	h := &history{}
	load := c.startLoad(h, 6, func(caller, _ int) *entryHost { return c.entries[caller%2] }, func(caller, n int) call {
		time.Sleep(5 * time.Millisecond)
		return call{team: "trail", queue: "match", id: jaybarrow.RequestID(fmt.Sprintf("good-%d-%d", caller, n))}
	})
	head := func(queue, key, id string, length int, more string) string {
		return fmt.Sprintf("POST /v1/queues/%s/requests HTTP/1.1\nHost: x\nAuthorization: Bearer %s\nRequest-Id: %s\nContent-Length: %d%s",
			queue, key, id, length, more)
	}
	key, small, large := c.keys["trail"], []byte(`{"runMs":1}`), make([]byte, 20000)
	cases := []struct {
		name, head string
		body       []byte
		kind       jaybarrow.ErrorKind
	}{
		{"oversized body", head("match", key, "bad-1", len(large), ""), large, jaybarrow.KindBodyTooLarge},
		{"truncated body", head("match", key, "bad-2", 100, ""), small, jaybarrow.KindBodyTruncated},
		{"bad key", head("match", "nobody", "bad-3", len(small), ""), small, jaybarrow.KindBadKey},
		{"bad key on an open queue", head("walkin", "nobody", "bad-4", len(small), ""), small, jaybarrow.KindBadKey},
		{"unknown queue", head("nowhere", key, "bad-5", len(small), ""), small, jaybarrow.KindUnknownQueue},
		{"never runnable", head("match", key, "bad-6", len(small), "\nSlots: 9"), small, jaybarrow.KindNeverRunnable},
		{"bad header", head("match", key, "bad-7", len(small), "\nSlots: many"), small, jaybarrow.KindBadRequest},
	}
	for range 5 {
		for _, e := range c.entries {
			caller := client.New(c.callers, e.callers, key)
			_, err := caller.Submit(context.Background(), client.Request{Queue: "match", ID: "bad-8", Body: make([]byte, 4<<20)})
			assert.Assert(t, jaybarrow.IsKind(err, jaybarrow.KindBodyTooLarge), "%v", err)
		}
		for _, x := range cases {
			for _, e := range c.entries {
				status, kind, effect := sendRaw(t, e, x.head, x.body)
				assert.Equal(t, kind, x.kind, x.name)
				assert.Equal(t, status, x.kind.Info().Status, x.name)
				assert.Equal(t, effect, jaybarrow.EffectNotRun, x.name)
			}
		}
	}
	load.stop()
	for _, x := range h.list() {
		assert.Check(t, x.kind == "", "%s through %s: %s %s", x.request, x.entry, x.kind, x.message)
	}
	l := ledgers(c.ledgers())
	for started := range l.started() {
		assert.Check(t, !strings.HasPrefix(string(started.id), "bad-"), "the invalid request %s ran", started.id)
	}
	assert.NilError(t, checkInvariants(l, h.list(), c.plan.teams))
}
