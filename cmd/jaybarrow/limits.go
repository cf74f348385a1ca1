package main

import (
	"math"
	"net"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/budget"
	"github.com/jaybarrow/jaybarrow/internal/clientlimit"
	"github.com/jaybarrow/jaybarrow/internal/jobmetrics"
)

// clientLimits are the limits for the clients of one process.
type clientLimits struct {
	limits   clientlimit.Limits
	reporter *clientlimit.Reporter
	bodies   *clientlimit.Bytes
	answers  *clientlimit.Answers
}

// newClientLimits returns the limits in force.
func newClientLimits(limits clientlimit.Limits, log zerolog.Logger, count func(name string)) *clientLimits {
	reporter := clientlimit.NewReporter(jaybarrow.SystemClock{}, log, count)
	return &clientLimits{
		limits: limits, reporter: reporter, bodies: clientlimit.NewBytes(jaybarrow.SystemClock{}, limits.Bodies),
		answers: clientlimit.NewAnswers(limits.Answers, reporter),
	}
}

// planClientLimits returns the limits for a process with the memory and the descriptors; 0 descriptors stand for as many as the operating
// system allows.
func planClientLimits(memory budget.Bytes, descriptors int) clientlimit.Limits {
	return clientlimit.Plan(clientlimit.Machine{Memory: memory, Descriptors: allowedDescriptors(descriptors)})
}

// allowedDescriptors returns how many descriptors the process may open by its settings, where they say so, and by the operating system.
func allowedDescriptors(descriptors int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return descriptors
	}
	if descriptors == 0 {
		return int(limit.Cur) //nolint:gosec // checked above
	}
	return min(descriptors, int(limit.Cur)) //nolint:gosec // checked above
}

// http returns the listener of an HTTP server with its limits.
func (c *clientLimits) http(l net.Listener, name string, connections int) net.Listener {
	return clientlimit.New(l, clientlimit.Settings{Name: name, MaxConnections: connections, Bodies: c.bodies, Reporter: c.reporter})
}

// peers returns the listener for other entry hosts with its limits. Calls that run for hours are counted only while their message arrives.
func (c *clientLimits) peers(l net.Listener, calls int, longCalls bool) net.Listener {
	return clientlimit.New(l, clientlimit.Settings{
		Name: "peers", MaxConnections: c.limits.Peers, Reporter: c.reporter, Messages: c.limits.Messages, Calls: calls, LongCalls: longCalls,
	})
}

// addGauges adds the gauges of what clients hold.
func (c *clientLimits) addGauges(metrics *jobmetrics.Metrics, callers net.Listener) {
	metrics.Gauge("limits.bodyBytes", c.bodies.Used)
	metrics.Gauge("limits.answerBytes", c.answers.Used)
	if l, ok := callers.(*clientlimit.Listener); ok {
		metrics.Gauge("limits.callerConnections", l.Open)
	}
}
