package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaybarrow/jaybarrow/internal/demo"
)

const validSettings = `[entry]
id = e1
dataCentre = north
callerAddress = 127.0.0.1:8080
peerAddress = 127.0.0.1:8081
[platform]
storeAddress = 127.0.0.1:2379
`

const validPlatformSettings = `
node = "front-1"
ip = "127.0.0.1"
zone = "north"
port_range = [7000, 7015]
control_mode = "rpc"
[listen]
front = "127.0.0.1:8340"
ready = "127.0.0.1:8343"
[platform]
address = "127.0.0.1:8344"
form = "kv"
[cloud]
address = "127.0.0.1:8345"
[bounds]
config_ms = 2000
hold_max_ms = 10000
`

// Guards against wrong exit codes, results printed to stderr and error messages printed to stdout.
func TestExitCodes(t *testing.T) {
	t.Setenv(keyVariable, "")
	d, err := demo.New(context.Background(), zerolog.Nop(), "127.0.0.1:0")
	assert.NilError(t, err)
	defer d.Close(context.Background())
	good, bad := filepath.Join(t.TempDir(), "good.ini"), filepath.Join(t.TempDir(), "bad.ini")
	assert.NilError(t, os.WriteFile(good, []byte(validSettings), 0o600))
	assert.NilError(t, os.WriteFile(bad, []byte("[entry]\nid = /\n"), 0o600))
	platformFile, badPlatformFile := filepath.Join(t.TempDir(), "boot.toml"), filepath.Join(t.TempDir(), "bad.toml")
	assert.NilError(t, os.WriteFile(platformFile, []byte(validPlatformSettings), 0o600))
	assert.NilError(t, os.WriteFile(badPlatformFile, []byte(strings.NewReplacer("rpc", "heartbeat", "127.0.0.1:8340", "nowhere").Replace(validPlatformSettings)), 0o600))
	operator := " -key " + demo.OperatorKey + " -entry " + string(d.Callers)
	caller := " -key " + demo.TrailKey + " -entry " + string(d.Callers)

	cases := []struct {
		name, args string
		code       int
		stdout     string
		stderr     string
	}{
		{"no command", "", exitUsage, "", "usage"},
		{"unknown command", "fly", exitUsage, "", "unknown command"},
		{"version", "version", exitOK, "jaybarrow", ""},
		{"check without file", "check", exitUsage, "", "usage"},
		{"check a good file", "check -settings " + good, exitOK, "no faults", ""},
		{"check a bad file", "check -settings " + bad, exitUsage, "", "section [entry], key \"id\", value \"/\""},
		{"check a missing file", "check -settings " + good + ".not", exitUsage, "", "readable"},
		{"check a platform file", "check -platform " + platformFile, exitOK, "no faults", ""},
		{"check a bad platform file", "check -platform " + badPlatformFile, exitUsage, "", "control_mode = \"heartbeat\": want rpc"},
		{"check both", "check -settings " + good + " -platform " + badPlatformFile, exitUsage, "no faults", "listen.front"},
		{"command without verb", "team", exitUsage, "", "usage: jaybarrow team delete TEAM"},
		{"unknown verb", "team paint", exitUsage, "", "usage"},
		{"unknown flag", "team list -colour red", exitUsage, "", "colour"},
		{"too few arguments", "limit trail" + operator, exitUsage, "", "TEAM SLOTS"},
		{"bad number", "limit trail many" + operator, exitUsage, "", "whole number"},
		{"bad time", "target match soon" + operator, exitUsage, "", "TIME"},
		{"no revision", "pool put p1" + operator, exitUsage, "", "-revision"},
		{"missing body file", "submit match -file " + bad + ".not" + caller, exitUsage, "", "no such file"},
		{"no entry host", "team list -entry 127.0.0.1:1", exitFailure, "", "notRun"},
		{"wrong key", "team list" + caller, exitFailure, "", "badKey"},
		{"no key", "team list -entry " + string(d.Callers), exitFailure, "", "badKey"},
		{"list teams", "team list" + operator, exitOK, "trail", ""},
		{"flags before arguments", "pool put -revision 0" + operator + " p2", exitOK, "revision", ""},
		{"lost race", "pool put p2 -revision 0" + operator, exitFailure, "", "conflict"},
		{"limit", "limit clubs 3" + operator, exitOK, "limit 3, granted", ""},
		{"share", "share clubs 4.5" + operator, exitOK, "revision", ""},
		{"target", "target match 5s" + operator, exitOK, "revision", ""},
		{"value out of range", "target render 0s" + operator, exitFailure, "", "targetMs"},
		{"add key", "key add trail" + operator, exitOK, "secret", ""},
		{"status", "status" + operator, exitOK, "in force everywhere: true", ""},
		{"measures", "status measures" + operator, exitOK, "spareHosts", ""},
		{"explain", "explain team trail" + operator, exitOK, "DECISION", ""},
		{"submit", "submit match -data hello" + caller, exitOK, "hello", ""},
		{"submit to no queue", "submit none" + caller, exitFailure, "", "unknownQueue"},
		{"cancel an unknown request", "cancel r1" + caller, exitFailure, "", "notFound"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			code := run(context.Background(), strings.Fields(c.args), &stdout, &stderr)
			assert.Equal(t, code, c.code, "%s%s", &stdout, &stderr)
			assert.Assert(t, strings.Contains(stdout.String(), c.stdout), "stdout: %s", &stdout)
			assert.Assert(t, strings.Contains(stderr.String(), c.stderr), "stderr: %s", &stderr)
			assert.Equal(t, stdout.Len() == 0, c.stdout == "", "stdout: %s", &stdout)
			assert.Equal(t, stderr.Len() == 0, c.stderr == "", "stderr: %s", &stderr)
		})
	}
}

// Guards against -json output that a script cannot read, and against a key that is not read from the environment.
func TestJSONAndEnvironment(t *testing.T) {
	d, err := demo.New(context.Background(), zerolog.Nop(), "127.0.0.1:0")
	assert.NilError(t, err)
	defer d.Close(context.Background())
	t.Setenv(keyVariable, demo.OperatorKey)
	var stdout, stderr bytes.Buffer
	assert.Equal(t, run(context.Background(), []string{"team", "list", "-json", "-entry", string(d.Callers)}, &stdout, &stderr), exitOK)
	var teams []struct{ ID string }
	assert.NilError(t, json.Unmarshal(stdout.Bytes(), &teams))
	assert.Equal(t, len(teams), 2)
	assert.Equal(t, run(context.Background(), []string{"team", "get", "none", "-json", "-entry", string(d.Callers)}, &stdout, &stderr), exitFailure)
	var fault struct{ Kind, Effect string }
	assert.NilError(t, json.Unmarshal(stderr.Bytes(), &fault))
	assert.Equal(t, fault.Kind, "notFound")
}
