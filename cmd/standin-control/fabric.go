package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"github.com/bramleyrack/bramleyrack/internal/standin/control"
	"github.com/bramleyrack/bramleyrack/internal/standin/fabric"
)

type routesCommand struct {
	fabric string
}

func (*routesCommand) Name() string     { return "routes" }
func (*routesCommand) Synopsis() string { return "replace the balancers of every service" }
func (*routesCommand) Usage() string {
	return "routes --fabric IP:PORT SERVICE=IP:PORT,... SERVICE=IP:PORT,...\n"
}
func (c *routesCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.fabric, "fabric", "", "control address of the fabric")
}

func (c *routesCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	routes, err := parseRoutes(f.Args())
	if err != nil {
		return exitStatus(err)
	}
	return exitStatus(control.NewClient().PutJSON(ctx, fmt.Sprintf("http://%s/routes", c.fabric), routes))
}

func parseRoutes(args []string) (fabric.Routes, error) {
	routes := make(fabric.Routes)
	for _, arg := range args {
		service, addresses, ok := strings.Cut(arg, "=")
		if !ok {
			return nil, errors.Errorf("%q is not SERVICE=IP:PORT,...", arg)
		}
		parsed, err := parseAddresses(addresses)
		if err != nil {
			return nil, err
		}
		routes[service] = parsed
	}
	return routes, nil
}

func parseAddresses(text string) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for _, item := range splitList(text) {
		address, err := netip.ParseAddrPort(item)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

type fabricFaultsCommand struct {
	fabric, cut string
	drop        float64
	delay       time.Duration
}

func (*fabricFaultsCommand) Name() string { return "fabric-faults" }
func (*fabricFaultsCommand) Synopsis() string {
	return "set all faults of the fabric; those without a flag are switched off"
}
func (*fabricFaultsCommand) Usage() string {
	return "fabric-faults --fabric IP:PORT [--drop 0.01] [--delay 5ms] [--cut IP:PORT,...]\n"
}
func (c *fabricFaultsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.fabric, "fabric", "", "control address of the fabric")
	f.StringVar(&c.cut, "cut", "", "balancers whose packets are dropped in both directions")
	f.Float64Var(&c.drop, "drop", 0, "fraction of packets dropped in each direction")
	f.DurationVar(&c.delay, "delay", 0, "delay of every packet in each direction")
}

func (c *fabricFaultsCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cut, err := parseAddresses(c.cut)
	if err != nil {
		return exitStatus(err)
	}
	faults := fabric.Faults{Drop: c.drop, DelayMilliseconds: int(c.delay.Milliseconds()), Cut: cut}
	return exitStatus(control.NewClient().PutJSON(ctx, fmt.Sprintf("http://%s/faults", c.fabric), faults))
}

// silenceCommand drops all packets on the existing caller paths; later paths work.
type silenceCommand struct {
	fabric string
}

func (*silenceCommand) Name() string { return "silence" }
func (*silenceCommand) Synopsis() string {
	return "drop all packets on the existing caller paths permanently"
}
func (*silenceCommand) Usage() string { return "silence --fabric IP:PORT\n" }
func (c *silenceCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.fabric, "fabric", "", "control address of the fabric")
}

func (c *silenceCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var silenced int
	err := control.NewClient().Post(ctx, fmt.Sprintf("http://%s/silence", c.fabric), &silenced)
	if err == nil {
		fmt.Printf("silenced=%d\n", silenced)
	}
	return exitStatus(err)
}
