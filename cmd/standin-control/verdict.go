package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"github.com/bramleyrack/bramleyrack/internal/standin/caller"
	"github.com/bramleyrack/bramleyrack/internal/standin/control"
	"github.com/bramleyrack/bramleyrack/internal/standin/upstream"
	"github.com/bramleyrack/bramleyrack/internal/standin/verdict"
)

// flowsCommand prints how many flows each agent holds.
type flowsCommand struct {
	agents string
}

func (*flowsCommand) Name() string     { return "flows" }
func (*flowsCommand) Synopsis() string { return "print the flows of each agent as JSON" }
func (*flowsCommand) Usage() string    { return "flows --agents NUMBER=IP:PORT,...\n" }
func (c *flowsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.agents, "agents", "", "operator address of each agent, by the number of its upstream")
}

func (c *flowsCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	flows, err := c.flows(ctx)
	if err != nil {
		return exit(err)
	}
	return exit(json.NewEncoder(os.Stdout).Encode(flows))
}

func (c *flowsCommand) flows(ctx context.Context) (map[uint32]int, error) {
	client := control.NewClient()
	flows := make(map[uint32]int)
	for _, item := range list(c.agents) {
		number, operator, ok := strings.Cut(item, "=")
		n, err := strconv.ParseUint(number, 10, 32)
		if !ok || err != nil {
			return nil, errors.Errorf("%q is not NUMBER=IP:PORT", item)
		}
		vars, err := client.Vars(ctx, operator)
		if err != nil {
			return nil, err
		}
		flows[uint32(n)] = vars.Flows
	}
	return flows, nil
}

// verdictCommand prints the closing line and fails when a promise is broken.
type verdictCommand struct {
	result, flows, upstreams string
	leaving                  uint
	leavingSince             int64
	inForce                  time.Duration
	allowBroken              bool
}

func (*verdictCommand) Name() string     { return "verdict" }
func (*verdictCommand) Synopsis() string { return "print the closing line and judge it" }
func (*verdictCommand) Usage() string {
	return "verdict --result FILE --flows FILE --upstreams IP:PORT,... [--leaving NUMBER --leaving-since MS] [--in-force 100ms]\n"
}
func (c *verdictCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.result, "result", "", "file with the result of the callers")
	f.StringVar(&c.flows, "flows", "", "file with the flows of each agent")
	f.StringVar(&c.upstreams, "upstreams", "", "operator addresses of the upstreams")
	f.UintVar(&c.leaving, "leaving", 0, "number of the leaving upstream; 0 is none")
	f.Int64Var(&c.leavingSince, "leaving-since", 0, "time of the mark in milliseconds since the Unix epoch")
	f.DurationVar(&c.inForce, "in-force", 0, "longest time until a revision was in force everywhere")
	f.BoolVar(&c.allowBroken, "allow-broken", false, "accept broken flows, for a scenario that kills their owner")
}

func (c *verdictCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	input, err := c.input(ctx)
	if err != nil {
		return exit(err)
	}
	v := verdict.New(*input)
	fmt.Println(v.Line())
	return exit(v.Err())
}

func (c *verdictCommand) input(ctx context.Context) (*verdict.Input, error) {
	result, err := caller.ReadResult(c.result)
	if err != nil {
		return nil, err
	}
	reports, err := reports(ctx, list(c.upstreams))
	if err != nil {
		return nil, err
	}
	flows, err := c.flowsByService(reports)
	if err != nil {
		return nil, err
	}
	return &verdict.Input{
		Result:       result,
		Reports:      reports,
		Leaving:      uint32(c.leaving),
		LeavingSince: time.UnixMilli(c.leavingSince),
		Flows:        flows,
		InForce:      c.inForce,
		AllowBroken:  c.allowBroken,
	}, nil
}

func reports(ctx context.Context, operators []string) ([]upstream.Report, error) {
	client := control.NewClient()
	reports := make([]upstream.Report, len(operators))
	for i, operator := range operators {
		if err := client.GetJSON(ctx, fmt.Sprintf("http://%s/runs", operator), &reports[i]); err != nil {
			return nil, err
		}
	}
	return reports, nil
}

// flowsByService groups the flows of the agents that take new work by their service.
func (c *verdictCommand) flowsByService(reports []upstream.Report) (map[string][]int, error) {
	if c.flows == "" {
		return nil, nil
	}
	data, err := os.ReadFile(c.flows)
	if err != nil {
		return nil, err
	}
	var flows map[uint32]int
	if err := json.Unmarshal(data, &flows); err != nil {
		return nil, err
	}
	grouped := make(map[string][]int)
	for _, report := range reports {
		count, known := flows[report.Number]
		if known && report.Number != uint32(c.leaving) {
			grouped[report.Service] = append(grouped[report.Service], count)
		}
	}
	return grouped, nil
}
