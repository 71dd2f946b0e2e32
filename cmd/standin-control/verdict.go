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

const (
	defaultSamples        = 10
	defaultSampleInterval = 200 * time.Millisecond
)

// flowsCommand prints the number of open flows of each agent, as the mean of several samples.
type flowsCommand struct {
	agents   string
	samples  int
	interval time.Duration
}

func (*flowsCommand) Name() string { return "flows" }
func (*flowsCommand) Synopsis() string {
	return "print the mean number of open flows of each agent as JSON"
}
func (*flowsCommand) Usage() string {
	return "flows --agents NUMBER=IP:PORT,... [--samples 10] [--interval 200ms]\n"
}
func (c *flowsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.agents, "agents", "", "operator address of each agent, keyed by the number of its upstream")
	f.IntVar(&c.samples, "samples", defaultSamples, "number of samples")
	f.DurationVar(&c.interval, "interval", defaultSampleInterval, "time between samples")
}

func (c *flowsCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	flows, err := c.flows(ctx)
	if err != nil {
		return exitStatus(err)
	}
	return exitStatus(json.NewEncoder(os.Stdout).Encode(flows))
}

func (c *flowsCommand) flows(ctx context.Context) (map[uint32]float64, error) {
	operators, err := parseAgents(c.agents)
	if err != nil {
		return nil, err
	}
	client := control.NewClient()
	flows := make(map[uint32]float64)
	for range c.samples {
		for number, operator := range operators {
			vars, err := client.Vars(ctx, operator)
			if err != nil {
				return nil, err
			}
			flows[number] += float64(vars.Flows) / float64(c.samples)
		}
		time.Sleep(c.interval)
	}
	return flows, nil
}

func parseAgents(text string) (map[uint32]string, error) {
	operators := make(map[uint32]string)
	for _, item := range splitList(text) {
		number, operator, ok := strings.Cut(item, "=")
		n, err := strconv.ParseUint(number, 10, 32)
		if !ok || err != nil {
			return nil, errors.Errorf("%q is not NUMBER=IP:PORT", item)
		}
		operators[uint32(n)] = operator
	}
	return operators, nil
}

type verdictCommand struct {
	result, flows, upstreams string
	leaving                  uint
	leavingSince             int64
	inForce                  time.Duration
	allowBroken, allowIdle   bool
}

func (*verdictCommand) Name() string { return "verdict" }
func (*verdictCommand) Synopsis() string {
	return "print the summary line and fail if a guarantee is violated"
}
func (*verdictCommand) Usage() string {
	return "verdict --result FILE --flows FILE --upstreams IP:PORT,... [--leaving NUMBER --leaving-since MS] [--in-force 100ms]\n"
}
func (c *verdictCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.result, "result", "", "result file of standin-caller")
	f.StringVar(&c.flows, "flows", "", "output file of the flows command")
	f.StringVar(&c.upstreams, "upstreams", "", "operator addresses of the upstreams")
	f.UintVar(&c.leaving, "leaving", 0, "number of the leaving upstream; 0 means none")
	f.Int64Var(&c.leavingSince, "leaving-since", 0, "when the upstream was marked as leaving, in milliseconds since the Unix epoch")
	f.DurationVar(&c.inForce, "in-force", 0, "measured maximum time until a revision was in force everywhere")
	f.BoolVar(&c.allowBroken, "allow-broken", false, "accept broken flows, for scenarios that kill their owner")
	f.BoolVar(&c.allowIdle, "allow-idle", false, "accept callers without an answer, for scenarios with more load than slots")
}

func (c *verdictCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	input, err := c.input(ctx)
	if err != nil {
		return exitStatus(err)
	}
	v := verdict.New(*input)
	for service, ratio := range v.Imbalances {
		fmt.Fprintf(os.Stderr, "service=%s flows=%.1f imbalance=%.2f\n", service, input.Flows[service], ratio)
	}
	fmt.Println(v.Summary())
	return exitStatus(v.Err())
}

func (c *verdictCommand) input(ctx context.Context) (*verdict.Input, error) {
	result, err := caller.ReadResult(c.result)
	if err != nil {
		return nil, err
	}
	reports, err := fetchReports(ctx, splitList(c.upstreams))
	if err != nil {
		return nil, err
	}
	flows, err := c.flowsByService(reports)
	if err != nil {
		return nil, err
	}
	return &verdict.Input{
		Result:           result,
		Reports:          reports,
		Leaving:          uint32(c.leaving),
		LeavingSince:     time.UnixMilli(c.leavingSince),
		Flows:            flows,
		InForce:          c.inForce,
		AllowBrokenFlows: c.allowBroken,
		AllowIdleWorkers: c.allowIdle,
	}, nil
}

func fetchReports(ctx context.Context, operators []string) ([]upstream.Report, error) {
	client := control.NewClient()
	reports := make([]upstream.Report, len(operators))
	for i, operator := range operators {
		if err := client.GetJSON(ctx, fmt.Sprintf("http://%s/runs", operator), &reports[i]); err != nil {
			return nil, err
		}
	}
	return reports, nil
}

// flowsByService groups the flow counts by service. It omits the leaving upstream, which accepts no new
// work, and upstreams without a flow count.
func (c *verdictCommand) flowsByService(reports []upstream.Report) (map[string][]float64, error) {
	if c.flows == "" {
		return nil, nil
	}
	data, err := os.ReadFile(c.flows)
	if err != nil {
		return nil, err
	}
	var flows map[uint32]float64
	if err := json.Unmarshal(data, &flows); err != nil {
		return nil, err
	}
	grouped := make(map[string][]float64)
	for _, report := range reports {
		count, known := flows[report.Number]
		if known && report.Number != uint32(c.leaving) {
			grouped[report.Service] = append(grouped[report.Service], count)
		}
	}
	return grouped, nil
}
