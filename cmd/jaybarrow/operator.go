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

// keyVariable holds the key when the flag -key is not given, so that the key need not appear in the list of processes.
const keyVariable = "JAYBARROW_KEY"

// operatorTimeout bounds an operator's command; an entry host reads a lost write back within a few seconds.
const operatorTimeout = 30 * time.Second

// verb is one operation of a command, such as "put" of "team".
type verb struct {
	arguments []string // names, for the usage
	flags     func(*flag.FlagSet, *options)
	run       func(context.Context, *client.Client, *options) (any, error)
	unlimited bool // may take as long as the request runs
}

// options are the parsed arguments and flags of a verb.
type options struct {
	args     []string
	entry    string
	key      string
	json     bool
	revision int64 // -1: not given
	values   values
}

// errUsage marks an error in the arguments; it ends with exitUsage.
var errUsage = errors.New("usage")

func usageError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errUsage, fmt.Sprintf(format, args...))
}

// operatorCommand runs one of the verbs; the verb "" needs no word.
func operatorCommand(name string, verbs map[string]verb) subcommand {
	return func(ctx context.Context, args []string, stdout, stderr io.Writer) int {
		word := ""
		if len(args) > 0 && verbs[args[0]].run != nil {
			word, args = args[0], args[1:]
		}
		v, ok := verbs[word]
		if !ok {
			for _, line := range usageLines(name, verbs) {
				fmt.Fprintln(stderr, line)
			}
			return exitUsage
		}
		o, err := parse(name, word, v, args, stderr)
		if err != nil {
			return exitUsage
		}
		return execute(ctx, v, o, stdout, stderr)
	}
}

func usageLines(name string, verbs map[string]verb) []string {
	lines := make([]string, 0, len(verbs))
	for word, v := range verbs {
		parts := append([]string{"usage: jaybarrow", name, word}, v.arguments...)
		lines = append(lines, strings.Join(strings.Fields(strings.Join(parts, " ")), " ")+" [flags]")
	}
	sort.Strings(lines)
	return lines
}

// parse reads flags before, between and after the arguments.
func parse(name, word string, v verb, args []string, stderr io.Writer) (*options, error) {
	o := &options{}
	flags := flag.NewFlagSet(strings.TrimSpace("jaybarrow "+name+" "+word), flag.ContinueOnError)
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

func execute(ctx context.Context, v verb, o *options, stdout, stderr io.Writer) int {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	if !v.unlimited {
		limited, cancel := context.WithTimeout(ctx, operatorTimeout)
		defer cancel()
		ctx = limited
	}
	out, err := v.run(ctx, client.New(&http.Client{Transport: transport}, jaybarrow.Address(o.entry), o.key), o)
	if err != nil {
		return report(err, o, stderr)
	}
	if err := show(stdout, o.json, out); err != nil {
		fmt.Fprintln(stderr, "jaybarrow:", err)
		return exitFailure
	}
	return exitOK
}

// report prints an error; with -json in the form of the HTTP API.
func report(err error, o *options, stderr io.Writer) int {
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

// made returns the revision that a change is made from; the command line has no wildcard either.
func (o *options) made() (jaybarrow.Revision, error) {
	if o.revision < 0 {
		return 0, usageError("-revision is missing: the revision that the record was read at, or 0 for a new record")
	}
	return jaybarrow.Revision(o.revision), nil
}

// madeOr returns the given revision, or the one that was read just before; it is for changes of one value, which leave
// the rest of the record as it is.
func (o *options) madeOr(read jaybarrow.Revision) jaybarrow.Revision {
	if o.revision < 0 {
		return read
	}
	return jaybarrow.Revision(o.revision)
}
