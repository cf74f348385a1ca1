package main

import (
	"bytes"
	"context"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a first command of the README that does not show a job from hand-in to its end.
func TestDemoRunsAJobToItsEnd(t *testing.T) {
	var out, errors bytes.Buffer
	assert.Equal(t, run(context.Background(), []string{"demo", "-job"}, &out, &errors), exitOK, errors.String())
	assert.Assert(t, strings.HasSuffix(out.String(), ": completed\n"), out.String())
}

// Guards against settings of the platform that are taken although they are wrong, and faults that are not all listed.
func TestJoinListsEveryFaultOfItsSettings(t *testing.T) {
	file := t.TempDir() + "/boot.toml"
	writeFile(t, file, "node = \"\"\nip = \"x\"\ncontrol_mode = \"heartbeat\"\n")
	var out, errors bytes.Buffer
	assert.Equal(t, run(context.Background(), []string{"join", "-settings", file}, &out, &errors), exitUsage)
	for _, want := range []string{"node", "ip", "control_mode", "listen.front", "platform.address", "cloud.address", "port_range", "bounds.hold_max_ms"} {
		assert.Assert(t, strings.Contains(errors.String(), file+": "+want+" = "), "%s in %s", want, errors.String())
	}
}

func writeFile(t *testing.T, path, content string) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
}
