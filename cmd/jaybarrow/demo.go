package main

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/jaybarrow/jaybarrow/internal/demo"
	"github.com/jaybarrow/jaybarrow/internal/logging"
)

func runDemo(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("demo", flag.ContinueOnError)
	flags.SetOutput(stderr)
	listen := flags.String("listen", "127.0.0.1:8080", "address for callers and operators")
	job := flags.Bool("job", false, "run a job of two steps on a stand-in of the platform and exit")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	if *job {
		return runJobDemo(ctx, stdout, stderr)
	}
	log, err := logging.New(stderr, "info")
	if err != nil {
		fmt.Fprintln(stderr, "jaybarrow:", err)
		return exitFailure
	}
	d, err := demo.New(ctx, log, *listen)
	if err != nil {
		fmt.Fprintln(stderr, "jaybarrow:", err)
		return exitFailure
	}
	fmt.Fprintf(stdout, "entry host with 4 workers in pools desk and batch; try:\n"+
		"  curl -sS -H 'Authorization: Bearer %s' -d '{\"runMs\":50,\"echo\":\"hello\"}' http://%s/v1/queues/match/requests\n"+
		"as an operator:\n"+
		"  JAYBARROW_KEY=%s jaybarrow team list -entry %s\n",
		demo.TrailKey, d.Callers, demo.OperatorKey, d.Callers)
	<-ctx.Done()
	d.Close(context.WithoutCancel(ctx))
	fmt.Fprintln(stdout, "stopped")
	return exitOK
}
