package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	command "github.com/jaybarrow/jaybarrow/internal/command/job"
	"github.com/jaybarrow/jaybarrow/internal/jobhost"
	"github.com/jaybarrow/jaybarrow/internal/jobmetrics"
	"github.com/jaybarrow/jaybarrow/internal/standin/site"
	"github.com/jaybarrow/jaybarrow/platform"
)

const (
	demoKey          = "demo-trail-key"
	demoJob          = jaybarrow.JobID("00000000000000d1")
	demoPollInterval = 100 * time.Millisecond // between two reads of the job's state
	demoTimeout      = 30 * time.Second
)

// runJobDemo runs a job of two steps on an in-process stand-in of the platform and prints each change of its state until it ends.
func runJobDemo(ctx context.Context, stdout, stderr io.Writer) int {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	s := site.New(site.Settings{
		Pools:   map[string]int{"desk": 2},
		Queues:  []site.Queue{{Name: "match", Host: "desk.example", Prefix: "/match/", Pool: "desk", MaxAttempts: 2}},
		Tenants: []site.Tenant{{Name: "trail", Keys: []string{demoKey}}},
	})
	defer s.Close()
	host, err := demoHost(s)
	if err != nil {
		fmt.Fprintln(stderr, "jaybarrow:", err)
		return exitFailure
	}
	defer host.Close()
	if err := runJob(ctx, host, stdout); err != nil {
		fmt.Fprintln(stderr, "jaybarrow:", err)
		return exitFailure
	}
	return exitOK
}

// demoHost returns an entry host that runs on the stand-in.
func demoHost(s *site.Site) (*jobhost.Host, error) {
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	store, log := platform.NewStore(jaybarrow.Address(s.StoreAddress())), zerolog.Nop()
	return jobhost.New(jobhost.Deps{
		Clock: jaybarrow.SystemClock{}, Log: log, Entry: "demo", Peers: peers, Settings: jobhost.DefaultSettings(), Metrics: jobmetrics.New(),
		Platform: jobhost.Platform{
			Store: store, Register: platform.NewRegister(log, store), Operators: platform.NewOperators(log, store),
			Agents: platform.NewAgents(), Fleet: platform.NewFleet(jaybarrow.Address(s.FleetAddress()), "demo"),
		},
	}), nil
}

// runJob submits a job, retrying until it is accepted, and prints each change of its state until it ends.
func runJob(ctx context.Context, host *jobhost.Host, stdout io.Writer) error {
	step := jaybarrow.Step{Tasks: 3, Demand: jaybarrow.Resources{CPU: 1000, Memory: 64}, EstimateMs: 300}
	second := step
	second.After = []jaybarrow.StepIndex{0}
	accepted := false
	var last jaybarrow.JobState
	for {
		queue, _, err := host.Authorizer.FindQueue("desk.example", "/match/")
		if err == nil && !accepted {
			_, err = host.Accept.Handle(ctx, command.Accept{
				Queue: queue, Key: demoKey, ID: demoJob, Spec: "300ms", Steps: []jaybarrow.Step{step, second},
			})
			accepted = err == nil
		}
		if accepted {
			state, err := host.State.Handle(ctx, "trail", demoJob)
			if err != nil {
				return err
			}
			if state != last {
				fmt.Fprintf(stdout, "job %s of two steps with 3 tasks each: %s\n", demoJob, state)
			}
			if last = state; state.Ended() {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("await the end of the job: %w", ctx.Err())
		case <-time.After(demoPollInterval):
		}
	}
}
