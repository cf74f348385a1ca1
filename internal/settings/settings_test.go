package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

const validFile = `[entry]
id = entry-1
dataCentre = north
callerAddress = 127.0.0.1:8080
peerAddress = 127.0.0.1:8081
[platform]
storeAddress = 127.0.0.1:2379
[peers]
entry-2 = south@[::1]:8081
`

// Guards against a valid file that is refused, and against values that are read but not stored or that change other defaults.
func TestValidSettings(t *testing.T) {
	s, faults := parse("f", []byte(validFile+"[keys]\nwhenCutOff = serve\nfreshnessMs = 3000\n"))
	assert.Equal(t, len(faults), 0, "%v", faults)
	assert.DeepEqual(t, s.Peers, []Peer{{"entry-2", "south", "[::1]:8081"}})
	assert.Equal(t, s.Keys, Keys{CutOffServe, 3 * time.Second})
	assert.Equal(t, s.Queues, Defaults().Queues)
}

// Guards against an invalid file that is accepted, and against a fault that does not name the file, section, key, value and allowed
// values.
func TestFaults(t *testing.T) {
	cases := []struct{ name, old, new, section, key, value string }{
		{"unknown section", "[peers]", "[pears]\na = b\n[peers]", "pears", "", ""},
		{"unknown key", "[platform]", "[platform]\nport = 1", "platform", "port", "1"},
		{"key before the sections", "[entry]", "colour = red\n[entry]", "DEFAULT", "", ""},
		{"repeated key", "id = entry-1", "id = entry-1\nid = entry-1", "entry", "id", "entry-1, entry-1"},
		{"key in another case", "dataCentre = north", "datacentre = north", "entry", "datacentre", "north"},
		{"missing id", "id = entry-1\n", "", "entry", "id", ""},
		{"name with a slash", "id = entry-1", "id = a/b", "entry", "id", "a/b"},
		{"host name instead of IP", "127.0.0.1:2379", "store:2379", "platform", "storeAddress", "store:2379"},
		{"no port", "127.0.0.1:8080", "127.0.0.1", "entry", "callerAddress", "127.0.0.1"},
		{"port 0", "127.0.0.1:8080", "127.0.0.1:0", "entry", "callerAddress", "127.0.0.1:0"},
		{"unspecified address", "127.0.0.1:8081", "0.0.0.0:8081", "entry", "peerAddress", "0.0.0.0:8081"},
		{"same address twice", "127.0.0.1:8081", "127.0.0.1:8080", "entry", "peerAddress", "127.0.0.1:8080"},
		{"peer without data centre", "south@[::1]:8081", "[::1]:8081", "peers", "entry-2", "[::1]:8081"},
		{"peer with own id", "entry-2 =", "entry-1 =", "peers", "entry-1", "south@[::1]:8081"},
		{"peer with own address", "[::1]:8081", "127.0.0.1:8081", "peers", "entry-2", "south@127.0.0.1:8081"},
		{"key instead of hash", "[peers]", "[entry]\noperatorKeyHash = secret\n[peers]", "entry", "operatorKeyHash", "secret"},
		{"unknown log level", "[peers]", "[entry]\nlogLevel = loud\n[peers]", "entry", "logLevel", "loud"},
		{"number with unit", "[peers]", "[queues]\nmaxBodyBytes = 1M\n[peers]", "queues", "maxBodyBytes", "1M"},
		{"limit of a team above the total", "[peers]", "[queues]\nmaxWaiting = 10\n[peers]", "queues", "maxWaitingPerTeam", "2000"},
		{"too many connections", "[peers]", "[workers]\nconnectionsPerWorker = 65\n[peers]", "workers", "connectionsPerWorker", "65"},
		{"negative", "[peers]", "[claims]\nperSecond = -1\n[peers]", "claims", "perSecond", "-1"},
		{"rule", "[peers]", "[keys]\nwhenCutOff = maybe\n[peers]", "keys", "whenCutOff", "maybe"},
		{"empty number", "[peers]", "[shutdown]\ngraceMs =\n[peers]", "shutdown", "graceMs", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(validFile, c.old))
			_, faults := parse("f.ini", []byte(strings.Replace(validFile, c.old, c.new, 1)))
			found := false
			for _, f := range faults {
				found = found || (f.Section == c.section && f.Key == c.key && f.Value == c.value && f.Allowed != "" && f.File == "f.ini")
			}
			assert.Assert(t, found, "%v", faults)
		})
	}
}

// Guards against a check that stops at the first fault.
func TestAllFaultsAreListed(t *testing.T) {
	file := filepath.Join(t.TempDir(), "f.ini")
	assert.NilError(t, os.WriteFile(file, []byte("[entry]\nid = /\n[claims]\nperSecond = 0\n[x]\n"), 0o600))
	_, faults := Check(file)
	assert.Assert(t, cmp.Len(faults, 7)) // x, id, dataCentre, two addresses, storeAddress, perSecond
	_, faults = Check(file + ".missing")
	assert.Assert(t, cmp.Len(faults, 1))
}

// Guards against a settings table in the operators' page that differs from the keys and allowed values in the code.
func TestSettingsTableInTheOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators.md")
	assert.NilError(t, err)
	for _, f := range fields {
		found := false
		for _, line := range strings.Split(string(page), "\n") {
			cells := strings.Split(line, " | ")
			found = found || len(cells) == 5 && cells[0] == "| `["+f.section+"]`" && cells[1] == "`"+f.key+"`" && cells[3] == f.allowed
		}
		assert.Assert(t, found, "no row for [%s] %s: %s", f.section, f.key, f.allowed)
	}
	assert.Equal(t, strings.Count(string(page), "\n| `["), len(fields))
}
