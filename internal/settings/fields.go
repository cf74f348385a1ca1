package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jaybarrow/jaybarrow/internal/validate"
)

// field describes one key of the file: where it stands, which values are allowed and how a value is stored.
type field struct {
	section, key string
	required     bool
	allowed      string                              // description of the allowed values, as a fault shows it
	set          func(s *Settings, text string) bool // returns false if the value is not allowed
}

// The section peers has one key for each other entry host instead of fixed keys.
const (
	peersSection = "peers"
	peerForm     = "dataCentre@IP:port, such as north@10.0.0.8:8081"
)

var fields = []field{
	name("entry", "id", func(s *Settings, v string) { set(&s.Entry.ID, v) }),
	name("entry", "dataCentre", func(s *Settings, v string) { set(&s.Entry.DataCentre, v) }),
	address("entry", "callerAddress", func(s *Settings, v string) { set(&s.Entry.CallerAddress, v) }),
	address("entry", "peerAddress", func(s *Settings, v string) { set(&s.Entry.PeerAddress, v) }),
	text("entry", "operatorKeyHash", "empty, or "+validate.HashForm, optional(validate.Hash),
		func(s *Settings, v string) { set(&s.Entry.OperatorKeyHash, v) }),
	oneOf("entry", "logLevel", []string{"debug", "info", "warn", "error"}, func(s *Settings, v string) { s.Entry.LogLevel = v }),
	address("platform", "storeAddress", func(s *Settings, v string) { set(&s.Platform.StoreAddress, v) }),
	millis("platform", "callTimeoutMs", 50, 30000, func(s *Settings) *time.Duration { return &s.Platform.CallTimeout }),
	number("queues", "maxWaiting", 1, 1000000, func(s *Settings) *int { return &s.Queues.MaxWaiting }),
	number("queues", "maxWaitingPerTeam", 1, 1000000, func(s *Settings) *int { return &s.Queues.MaxWaitingPerTeam }),
	number("queues", "maxBodyBytes", 1, 64<<20, func(s *Settings) *int { return &s.Queues.MaxBodyBytes }),
	number("workers", "connectionsPerWorker", 2, 64, func(s *Settings) *int { return &s.Workers.ConnectionsPerWorker }),
	millis("workers", "dialTimeoutMs", 10, 10000, func(s *Settings) *time.Duration { return &s.Workers.DialTimeout }),
	// A lease renewal that takes longer than a third of the 10 s task lease leaves no time for a second attempt.
	millis("workers", "callTimeoutMs", 50, 3000, func(s *Settings) *time.Duration { return &s.Workers.CallTimeout }),
	millis("workers", "startWindowMs", 100, 10000, func(s *Settings) *time.Duration { return &s.Workers.StartWindow }),
	oneOf("keys", "whenCutOff", []string{string(CutOffRefuse), string(CutOffServe)}, func(s *Settings, v string) { set(&s.Keys.WhenCutOff, v) }),
	// The watch sends a progress notification each second; below 2 s a single late one would make an entry host refuse requests.
	millis("keys", "freshnessMs", 2000, 10000, func(s *Settings) *time.Duration { return &s.Keys.Freshness }),
	number("claims", "perSecond", 1, 1000, func(s *Settings) *int { return &s.Claims.PerSecond }),
	oneOf("moves", "automatic", []string{"true", "false"}, func(s *Settings, v string) { s.Moves.Automatic = v == "true" }),
	number("moves", "economyPercent", 0, 100, func(s *Settings) *int { return &s.Moves.EconomyPercent }),
	millis("shutdown", "graceMs", 0, 86400000, func(s *Settings) *time.Duration { return &s.Shutdown.Grace }),
	number("limits", "memoryMb", 128, 1<<20, func(s *Settings) *int { return &s.Limits.MemoryMB }),
	number("limits", "descriptors", 300, 1<<20, func(s *Settings) *int { return &s.Limits.Descriptors }),
}

func set[T ~string](target *T, value string) { *target = T(value) }

// text returns an optional field whose value must pass valid.
func text(section, key, allowed string, valid func(string) bool, store func(*Settings, string)) field {
	return field{section: section, key: key, allowed: allowed, set: func(s *Settings, v string) bool {
		if !valid(v) {
			return false
		}
		store(s, v)
		return true
	}}
}

// name returns a required field that holds a name.
func name(section, key string, store func(*Settings, string)) field {
	f := text(section, key, validate.NameForm, validate.Name, store)
	f.required = true
	return f
}

// address returns a required field that holds an IP address and port.
func address(section, key string, store func(*Settings, string)) field {
	f := text(section, key, validate.AddressForm, validate.Address, store)
	f.required = true
	return f
}

// oneOf returns an optional field that takes one of the values.
func oneOf(section, key string, values []string, store func(*Settings, string)) field {
	valid := func(v string) bool {
		for _, allowed := range values {
			if v == allowed {
				return true
			}
		}
		return false
	}
	return text(section, key, "one of "+strings.Join(values, ", "), valid, store)
}

// optional returns a check that also accepts an empty value.
func optional(valid func(string) bool) func(string) bool {
	return func(v string) bool { return v == "" || valid(v) }
}

// number returns an optional field that takes a whole number from low to high.
func number(section, key string, low, high int, target func(*Settings) *int) field {
	return field{
		section: section, key: key, allowed: fmt.Sprintf("a whole number from %d to %d", low, high),
		set: func(s *Settings, v string) bool {
			n, err := strconv.Atoi(v)
			if err != nil || n < low || n > high {
				return false
			}
			*target(s) = n
			return true
		},
	}
}

// millis returns an optional field that takes a duration in milliseconds from low to high.
func millis(section, key string, low, high int, target func(*Settings) *time.Duration) field {
	return field{
		section: section, key: key, allowed: fmt.Sprintf("milliseconds, a whole number from %d to %d", low, high),
		set: func(s *Settings, v string) bool {
			n, err := strconv.Atoi(v)
			if err != nil || n < low || n > high {
				return false
			}
			*target(s) = time.Duration(n) * time.Millisecond
			return true
		},
	}
}
