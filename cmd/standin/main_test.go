package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"testing"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

// Guards against a process that does not print its addresses, does not listen on them, or does not stop when its context ends.
func TestRun(t *testing.T) {
	cases := []struct {
		name    string
		args    []string
		control bool
	}{
		{"store", []string{"store"}, true},
		{"worker", []string{"worker", "-id", "host-7"}, false},
		{"proxy", []string{"proxy", "-target", "127.0.0.1:1"}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			out, in := io.Pipe()
			var group conc.WaitGroup
			var code int
			group.Go(func() { code = run(ctx, c.args, in, io.Discard) })
			line, err := bufio.NewReader(out).ReadBytes('\n')
			assert.NilError(t, err)
			var listening addresses
			assert.NilError(t, json.Unmarshal(line, &listening))
			connection, err := net.Dial("tcp", string(listening.Listen))
			assert.NilError(t, err)
			assert.NilError(t, connection.Close())
			assert.Equal(t, listening.Control != "", c.control)
			stop()
			group.Wait()
			assert.Equal(t, code, exitOK)
		})
	}
}

// Guards against a wrong command line that is not reported, so that the caller takes the process for started.
func TestRunUsage(t *testing.T) {
	for _, args := range [][]string{nil, {"none"}, {"store", "-none"}} {
		var stderr bytes.Buffer
		assert.Equal(t, run(context.Background(), args, io.Discard, &stderr), exitUsage)
		assert.Assert(t, stderr.Len() > 0)
	}
}
