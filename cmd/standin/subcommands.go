package main

import (
	"flag"
	"time"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/internal/standin/faultproxy"
	standinstore "github.com/jaybarrow/jaybarrow/internal/standin/store"
	standinworker "github.com/jaybarrow/jaybarrow/internal/standin/worker"
)

func store(flags *flag.FlagSet) func() (addresses, func(), error) {
	address := flags.String("listen", loopback, "address for the platform's calls")
	control := flags.String("control", loopback, "address of the control endpoints")
	lag := flags.Duration("lag", 2*time.Second, "lag of the list of hosts")
	reboot := flags.Duration("reboot", 5*time.Second, "time from a reboot request until the host is live again")
	return func() (addresses, func(), error) {
		listeners, err := listen(*address, *control)
		if err != nil {
			return addresses{}, nil, err
		}
		clock := jaybarrow.SystemClock{}
		s := standinstore.NewServer(standinstore.ServerDeps{
			Clock:  clock,
			Core:   standinstore.NewCore(clock),
			Hosts:  standinstore.NewHosts(clock, standinstore.Timing{Lag: *lag, Reboot: *reboot}),
			Listen: listeners[0], Control: listeners[1],
		})
		return addresses{s.Address(), s.ControlAddress()}, s.Close, nil
	}
}

func worker(flags *flag.FlagSet) func() (addresses, func(), error) {
	address := flags.String("listen", loopback, "address for tasks")
	id := flags.String("id", "host-1", "id of the worker's host")
	slots := flags.Int("slots", 8, "slots of the worker")
	memory := flags.Int("memory", 128000, "memory of the worker in megabytes")
	accelerators := flags.Int("accelerators", 0, "accelerators of the worker")
	return func() (addresses, func(), error) {
		listeners, err := listen(*address)
		if err != nil {
			return addresses{}, nil, err
		}
		w := standinworker.New(jaybarrow.SystemClock{}, jaybarrow.HostID(*id), jaybarrow.Demand{
			Slots: jaybarrow.Slots(*slots), Memory: jaybarrow.Megabytes(*memory), Accelerators: jaybarrow.Accelerators(*accelerators),
		})
		s := standinworker.NewServer(w, listeners[0])
		return addresses{Listen: s.Address()}, s.Close, nil
	}
}

func proxy(flags *flag.FlagSet) func() (addresses, func(), error) {
	address := flags.String("listen", loopback, "address for clients")
	control := flags.String("control", loopback, "address of the control endpoints")
	target := flags.String("target", "", "address that connections are carried to")
	return func() (addresses, func(), error) {
		listeners, err := listen(*address, *control)
		if err != nil {
			return addresses{}, nil, err
		}
		p := faultproxy.New(jaybarrow.SystemClock{}, listeners[0], jaybarrow.Address(*target))
		c := faultproxy.NewControl(p, listeners[1])
		return addresses{p.Address(), c.Address()}, func() { c.Close(); p.Close() }, nil
	}
}
