package main

import (
	"bytes"
	"context"
	"io"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a README quick start whose job does not run from its submission to its end.
func TestDemoRunsAJobToItsEnd(t *testing.T) {
	var stdout, stderr bytes.Buffer
	assert.Equal(t, run(context.Background(), []string{"demo", "-job"}, &stdout, &stderr), exitOK, stderr.String())
	assert.Assert(t, strings.HasSuffix(stdout.String(), ": completed\n"), stdout.String())
}

// Guards against invalid platform settings that are accepted, and against a list of faults that stops at the first one.
func TestJoinListsEveryFaultOfItsSettings(t *testing.T) {
	file := t.TempDir() + "/boot.toml"
	writeFile(t, file, "node = \"\"\nip = \"x\"\ncontrol_mode = \"heartbeat\"\n[limits]\nlink_mbps = -1\n[platform]\nvalue_bytes = 100\n[bounds]\nevacuate_ms = -1\n")
	var stdout, stderr bytes.Buffer
	assert.Equal(t, run(context.Background(), []string{"join", "-settings", file}, &stdout, &stderr), exitUsage)
	for _, want := range []string{"node", "ip", "control_mode", "listen.front", "platform.address", "cloud.address", "port_range", "bounds.hold_max_ms", "limits.link_mbps", "platform.value_bytes", "bounds.evacuate_ms"} {
		assert.Assert(t, strings.Contains(stderr.String(), file+": "+want+" = "), "%s in %s", want, stderr.String())
	}
}

func writeFile(t *testing.T, path, content string) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
}

// Guards against a deploy file that switches team admission on with a value that is taken for off.
func TestTheDefaultOfTeamAdmissionIsChecked(t *testing.T) {
	for value, want := range map[string]bool{"": false, "true": true, "1": true, "false": false} {
		t.Setenv(teamAdmissionVariable, value)
		on, err := flagDefault(teamAdmissionVariable)
		assert.NilError(t, err)
		assert.Equal(t, on, want, value)
	}
	t.Setenv(teamAdmissionVariable, "perhaps")
	var stderr strings.Builder
	assert.Equal(t, runJoin(t.Context(), []string{"-settings", "none"}, io.Discard, &stderr), exitUsage)
	assert.Assert(t, strings.Contains(stderr.String(), `JAYBARROW_TEAM_ADMISSION = "perhaps": want true or false`), stderr.String())
}
