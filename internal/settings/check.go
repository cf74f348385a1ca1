package settings

import (
	"fmt"
	"os"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/validate"
)

// Fault is one error in a settings file.
type Fault struct {
	File    string
	Section string // empty if the fault concerns the whole file
	Key     string // empty if the fault concerns the whole section
	Value   string
	Allowed string // what is allowed instead
}

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: section [%s], key %q, value %q: allowed is %s", f.File, f.Section, f.Key, f.Value, f.Allowed)
}

// Check reads the file and returns its settings with every fault in it. The settings are valid only if there are no faults.
func Check(file string) (Settings, []Fault) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, []Fault{{File: file, Allowed: "a readable file: " + err.Error()}}
	}
	return parse(file, data)
}

// parse reads and checks the content of a file; the file name is used only in the faults.
func parse(file string, data []byte) (Settings, []Fault) {
	// With shadows a repeated key is reported; by default its last value would silently be used.
	parsed, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows: true, AllowDuplicateShadowValues: true, KeyValueDelimiters: "=", IgnoreContinuation: true,
	}, data)
	if err != nil {
		return Settings{}, []Fault{{File: file, Allowed: "INI syntax: " + err.Error()}}
	}
	c := checker{file: file, ini: parsed, settings: Defaults()}
	c.rejectUnknown()
	for _, f := range fields {
		c.checkField(f)
	}
	c.checkPeers()
	c.checkRelations()
	return c.settings, c.faults
}

// checker collects the faults of one file.
type checker struct {
	file     string
	ini      *ini.File
	settings Settings
	faults   []Fault
}

func (c *checker) addFault(section, key, value, allowed string) {
	c.faults = append(c.faults, Fault{c.file, section, key, value, allowed})
}

// rejectUnknown reports unknown sections, unknown keys and repeated keys.
func (c *checker) rejectUnknown() {
	sections, keys := make(map[string]bool), make(map[string]bool)
	sections[peersSection] = true
	for _, f := range fields {
		sections[f.section] = true
		keys[f.section+"/"+f.key] = true
	}
	for _, s := range c.ini.Sections() {
		if !sections[s.Name()] && (s.Name() != ini.DefaultSection || len(s.Keys()) > 0) {
			c.addFault(s.Name(), "", "", "one of the known sections")
			continue
		}
		for _, k := range s.Keys() {
			if s.Name() != peersSection && !keys[s.Name()+"/"+k.Name()] {
				c.addFault(s.Name(), k.Name(), k.Value(), "one of the section's known keys")
			}
			if values := k.ValueWithShadows(); len(values) > 1 {
				c.addFault(s.Name(), k.Name(), strings.Join(values, ", "), "one line for each key")
			}
		}
	}
}

// checkField stores the value of one key or reports why it is not allowed.
func (c *checker) checkField(f field) {
	section, err := c.ini.GetSection(f.section)
	present := err == nil && section.HasKey(f.key)
	if !present {
		if f.required {
			c.addFault(f.section, f.key, "", f.allowed+"; it has no default")
		}
		return
	}
	if value := section.Key(f.key).Value(); !f.set(&c.settings, value) {
		c.addFault(f.section, f.key, value, f.allowed)
	}
}

// checkPeers stores the other entry hosts and reports invalid and repeated ones.
func (c *checker) checkPeers() {
	section, err := c.ini.GetSection(peersSection)
	if err != nil {
		return
	}
	addresses := map[jaybarrow.Address]bool{c.settings.Entry.PeerAddress: true}
	for _, k := range section.Keys() {
		dataCentre, address, _ := strings.Cut(k.Value(), "@")
		p := Peer{jaybarrow.EntryID(k.Name()), jaybarrow.DataCentreID(dataCentre), jaybarrow.Address(address)}
		switch {
		case !validate.Name(k.Name()):
			c.addFault(peersSection, k.Name(), k.Value(), "as key an entry host's id: "+validate.NameForm)
		case p.ID == c.settings.Entry.ID:
			c.addFault(peersSection, k.Name(), k.Value(), "only other entry hosts; this is the id in [entry]")
		case !validate.Name(dataCentre), !validate.Address(address):
			c.addFault(peersSection, k.Name(), k.Value(), peerForm)
		case addresses[p.Address]:
			c.addFault(peersSection, k.Name(), k.Value(), "an address that no other entry host has")
		default:
			addresses[p.Address] = true
			c.settings.Peers = append(c.settings.Peers, p)
		}
	}
}

// checkRelations reports valid values that contradict each other.
func (c *checker) checkRelations() {
	s := c.settings
	if s.Entry.CallerAddress != "" && s.Entry.CallerAddress == s.Entry.PeerAddress {
		c.addFault("entry", "peerAddress", string(s.Entry.PeerAddress), "an address other than callerAddress")
	}
	if s.Queues.MaxWaitingPerTeam > s.Queues.MaxWaiting {
		c.addFault("queues", "maxWaitingPerTeam", fmt.Sprint(s.Queues.MaxWaitingPerTeam), fmt.Sprintf("at most maxWaiting, %d", s.Queues.MaxWaiting))
	}
}
