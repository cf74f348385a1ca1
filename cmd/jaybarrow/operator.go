package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/pkg/client"
)

// keyVariable is the environment variable that is read if the flag -key is not given, so that the key need not appear in the process
// list.
const keyVariable = "JAYBARROW_KEY"

// operatorTimeout bounds an operator's command. An entry host may need a few seconds to read back a write whose result was lost.
const operatorTimeout = 30 * time.Second

// verb is one operation of a command, such as "put" of "team".
type verb struct {
	arguments []string // names of the required arguments, as the usage text shows them
	flags     func(*flag.FlagSet, *options)
	run       func(context.Context, *client.Client, *options) (any, error)
	noTimeout bool // runs without operatorTimeout, since a request may run for hours
}

// options are the parsed arguments and flags of a verb.
type options struct {
	args     []string
	entry    string
	key      string
	json     bool
	revision int64 // -1 if not given
	values   values
}

// errUsage marks an error in the arguments; the command then exits with exitUsage.
var errUsage = errors.New("usage")

func usageError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errUsage, fmt.Sprintf(format, args...))
}

// operatorCommand returns a subcommand that runs the verb named by the first argument, or the verb "" if the argument names none.
func operatorCommand(name string, verbs map[string]verb) subcommand {
	return func(ctx context.Context, args []string, stdout, stderr io.Writer) int {
		verbName := ""
		if len(args) > 0 && verbs[args[0]].run != nil {
			verbName, args = args[0], args[1:]
		}
		v, ok := verbs[verbName]
		if !ok {
			for _, line := range usageLines(name, verbs) {
				fmt.Fprintln(stderr, line)
			}
			return exitUsage
		}
		o, err := parseOptions(name, verbName, v, args, stderr)
		if err != nil {
			return exitUsage
		}
		return runVerb(ctx, v, o, stdout, stderr)
	}
}

func usageLines(name string, verbs map[string]verb) []string {
	lines := make([]string, 0, len(verbs))
	for verbName, v := range verbs {
		parts := append([]string{"usage: jaybarrow", name, verbName}, v.arguments...)
		lines = append(lines, strings.Join(strings.Fields(strings.Join(parts, " ")), " ")+" [flags]")
	}
	sort.Strings(lines)
	return lines
}

// parseOptions reads the arguments and flags of a verb; flags may stand before, between and after the arguments.
func parseOptions(name, verbName string, v verb, args []string, stderr io.Writer) (*options, error) {
	o := &options{}
	flags := flag.NewFlagSet(strings.TrimSpace("jaybarrow "+name+" "+verbName), flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.StringVar(&o.entry, "entry", "127.0.0.1:8080", "address of any entry host")
	flags.StringVar(&o.key, "key", "", "key; by default the environment variable "+keyVariable)
	flags.BoolVar(&o.json, "json", false, "print JSON")
	flags.Int64Var(&o.revision, "revision", -1, "revision that the change is made from; 0 for a new record")
	if v.flags != nil {
		v.flags(flags, o)
	}
	for rest := args; ; {
		if err := flags.Parse(rest); err != nil {
			return nil, err
		}
		if flags.NArg() == 0 {
			break
		}
		o.args, rest = append(o.args, flags.Arg(0)), flags.Args()[1:]
	}
	if o.key == "" {
		o.key = os.Getenv(keyVariable)
	}
	if len(o.args) != len(v.arguments) {
		err := usageError("%s needs %d arguments: %s", flags.Name(), len(v.arguments), strings.Join(v.arguments, " "))
		fmt.Fprintln(stderr, "jaybarrow:", err)
		return nil, err
	}
	return o, nil
}

func runVerb(ctx context.Context, v verb, o *options, stdout, stderr io.Writer) int {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	if !v.noTimeout {
		bounded, cancel := context.WithTimeout(ctx, operatorTimeout)
		defer cancel()
		ctx = bounded
	}
	out, err := v.run(ctx, client.New(&http.Client{Transport: transport}, jaybarrow.Address(o.entry), o.key), o)
	if err != nil {
		return reportError(err, o, stderr)
	}
	if err := printResult(stdout, o.json, out); err != nil {
		fmt.Fprintln(stderr, "jaybarrow:", err)
		return exitFailure
	}
	return exitOK
}

// reportError prints an error, with -json in the form of the HTTP API, and returns the exit code.
func reportError(err error, o *options, stderr io.Writer) int {
	if errors.Is(err, errUsage) {
		fmt.Fprintln(stderr, "jaybarrow:", err)
		return exitUsage
	}
	e := jaybarrow.AsError(err)
	if o.json {
		_ = json.NewEncoder(stderr).Encode(map[string]any{"kind": e.Kind, "effect": e.Effect, "message": e.Message})
		return exitFailure
	}
	fmt.Fprintf(stderr, "jaybarrow: %v (%s)\n", e, e.Effect)
	return exitFailure
}

// requiredRevision returns the value of -revision, which the write of a whole record needs. As in the HTTP API, no value matches every
// revision.
func (o *options) requiredRevision() (jaybarrow.Revision, error) {
	if o.revision < 0 {
		return 0, usageError("-revision is missing: the revision that the record was read at, or 0 for a new record")
	}
	return jaybarrow.Revision(o.revision), nil
}

// revisionOr returns the value of -revision, or by default the revision that was just read. Only changes of a single value may use
// it, since they leave the rest of the record unchanged.
func (o *options) revisionOr(readRevision jaybarrow.Revision) jaybarrow.Revision {
	if o.revision < 0 {
		return readRevision
	}
	return jaybarrow.Revision(o.revision)
}
