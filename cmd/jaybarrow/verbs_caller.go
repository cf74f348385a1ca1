package main

import (
	"context"
	"errors"
	"flag"
	"io"
	"os"

	"github.com/jaybarrow/jaybarrow"
	"github.com/jaybarrow/jaybarrow/pkg/client"
)

var submitVerbs = map[string]verb{
	"": {arguments: []string{"QUEUE"}, flags: submitFlags, run: submit, noTimeout: true},
}

var cancelVerbs = map[string]verb{
	"": {arguments: []string{"REQUEST"}, run: func(ctx context.Context, c *client.Client, o *options) (any, error) {
		id := jaybarrow.RequestID(o.args[0])
		return map[string]jaybarrow.RequestID{"requestId": id}, c.Cancel(ctx, id)
	}},
}

func submitFlags(f *flag.FlagSet, o *options) {
	f.StringVar(&o.values.request, "id", "", "request id; by default the system chooses one")
	f.BoolVar(&o.values.idempotent, "idempotent", true, "the request may run more than once")
	f.IntVar(&o.values.slots, "slots", 1, "slots")
	f.IntVar(&o.values.memory, "memory", 0, "memory in MB")
	f.IntVar(&o.values.accelerators, "accelerators", 0, "accelerators")
	f.DurationVar(&o.values.answerWithin, "answer-within", 0, "refuse the request if it has not started by then")
	f.DurationVar(&o.values.runTime, "run-time", 0, "declared run time")
	f.StringVar(&o.values.data, "data", "", "body")
	f.StringVar(&o.values.file, "file", "", "file with the body; - reads the standard input")
}

func submit(ctx context.Context, c *client.Client, o *options) (any, error) {
	v := o.values
	body, err := v.body()
	if err != nil {
		return nil, usageError("%v", err)
	}
	return c.Submit(ctx, client.Request{
		Queue: jaybarrow.QueueID(o.args[0]), ID: jaybarrow.RequestID(v.request), NonIdempotent: !v.idempotent,
		Demand: jaybarrow.Demand{
			Slots: jaybarrow.Slots(v.slots), Memory: jaybarrow.Megabytes(v.memory), Accelerators: jaybarrow.Accelerators(v.accelerators),
		},
		AnswerWithin: v.answerWithin, RunTime: v.runTime, Body: body,
	})
}

func (v values) body() ([]byte, error) {
	switch {
	case v.file != "" && v.data != "":
		return nil, errors.New("-data and -file exclude each other")
	case v.file == "-":
		return io.ReadAll(os.Stdin)
	case v.file != "":
		return os.ReadFile(v.file)
	}
	return []byte(v.data), nil
}
