package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/google/subcommands"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/gen/bramley/v1/bramleyv1connect"
	"github.com/bramleyrack/bramleyrack/internal/standin/control"
	"github.com/bramleyrack/bramleyrack/internal/standin/platform"
)

// defaultWait is the default limit of a wait for processes.
const defaultWait = 10 * time.Second

func platformControl(url string) bramleyv1connect.PlatformControlServiceClient {
	return bramleyv1connect.NewPlatformControlServiceClient(http.DefaultClient, url)
}

type readyCommand struct {
	operators string
	timeout   time.Duration
}

func (*readyCommand) Name() string     { return "ready" }
func (*readyCommand) Synopsis() string { return "wait until processes are ready" }
func (*readyCommand) Usage() string    { return "ready --operators IP:PORT,... [--timeout 10s]\n" }
func (c *readyCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.operators, "operators", "", "operator addresses of the processes")
	f.DurationVar(&c.timeout, "timeout", defaultWait, "maximum wait")
}

func (c *readyCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return exitStatus(control.NewClient().WaitReady(ctx, splitList(c.operators)))
}

type publishCommand struct {
	platform, key, operators string
	timeout                  time.Duration
}

func (*publishCommand) Name() string     { return "publish" }
func (*publishCommand) Synopsis() string { return "publish a value and wait until it is in force" }
func (*publishCommand) Usage() string {
	return "publish --platform URL [--operators IP:PORT,...] FILE\n"
}
func (c *publishCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.platform, "platform", "", "URL of the platform")
	f.StringVar(&c.key, "key", "tree", "key of the value")
	f.StringVar(&c.operators, "operators", "", "operator addresses of the processes that must have the value in force")
	f.DurationVar(&c.timeout, "timeout", defaultWait, "maximum wait")
}

func (c *publishCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	return exitStatus(c.publish(ctx, f.Arg(0)))
}

func (c *publishCommand) publish(ctx context.Context, path string) error {
	value, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	start := time.Now()
	published, err := platformControl(c.platform).Publish(ctx, connect.NewRequest(&bramleyv1.PublishRequest{Key: c.key, Value: value}))
	if err != nil {
		return err
	}
	revision := published.Msg.GetRevision()
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := control.NewClient().WaitRevision(ctx, splitList(c.operators), revision); err != nil {
		return err
	}
	fmt.Printf("revision=%d published_ms=%d in_force_ms=%d\n", revision, start.UnixMilli(), time.Since(start).Milliseconds())
	return nil
}

type vmCommand struct {
	platform, name, place, address, role, state string
	remove                                      bool
}

func (*vmCommand) Name() string     { return "vm" }
func (*vmCommand) Synopsis() string { return "add, change or remove an entry of the list of VMs" }
func (*vmCommand) Usage() string {
	return "vm --platform URL --name NAME --place PLACE --address IP:PORT --role entry|upstream [--state leaving] [--remove]\n"
}
func (c *vmCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.platform, "platform", "", "URL of the platform")
	f.StringVar(&c.name, "name", "", "name of the VM")
	f.StringVar(&c.place, "place", "", "place of the VM")
	f.StringVar(&c.address, "address", "", "address of the process on the VM")
	f.StringVar(&c.role, "role", "entry", "entry or upstream")
	f.StringVar(&c.state, "state", "live", "live or leaving")
	f.BoolVar(&c.remove, "remove", false, "remove the VM")
}

func (c *vmCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	vm, err := platform.NewVM(c.name, c.place, c.address, c.role, c.state)
	if err != nil {
		return exitStatus(err)
	}
	_, err = platformControl(c.platform).SetVM(ctx, connect.NewRequest(&bramleyv1.SetVMRequest{Vm: vm, Remove: c.remove}))
	return exitStatus(err)
}

type platformFaultsCommand struct {
	platform         string
	outage           bool
	stale            uint64
	listLag, latency time.Duration
}

func (*platformFaultsCommand) Name() string { return "platform-faults" }
func (*platformFaultsCommand) Synopsis() string {
	return "set all faults of the platform; those without a flag are switched off"
}
func (*platformFaultsCommand) Usage() string {
	return "platform-faults --platform URL [--outage] [--stale REVISION] [--list-lag 5s] [--latency 10ms]\n"
}
func (c *platformFaultsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.platform, "platform", "", "URL of the platform")
	f.BoolVar(&c.outage, "outage", false, "make every read fail")
	f.Uint64Var(&c.stale, "stale", 0, "answer with the newest value at or below this revision; 0 is off")
	f.DurationVar(&c.listLag, "list-lag", 0, "delay until a change of the list of VMs is visible")
	f.DurationVar(&c.latency, "latency", 0, "added latency of every answer")
}

func (c *platformFaultsCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	_, err := platformControl(c.platform).SetFault(ctx, connect.NewRequest(&bramleyv1.SetFaultRequest{
		Outage:        c.outage,
		StaleRevision: c.stale,
		VmListLagMs:   uint32(c.listLag.Milliseconds()),
		LatencyMs:     uint32(c.latency.Milliseconds()),
	}))
	return exitStatus(err)
}

type platformStatsCommand struct {
	platform string
}

func (*platformStatsCommand) Name() string     { return "platform-stats" }
func (*platformStatsCommand) Synopsis() string { return "print the statistics of calls by all readers" }
func (*platformStatsCommand) Usage() string    { return "platform-stats --platform URL\n" }
func (c *platformStatsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.platform, "platform", "", "URL of the platform")
}

func (c *platformStatsCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	stats, err := platformControl(c.platform).Stats(ctx, connect.NewRequest(&bramleyv1.StatsRequest{}))
	if err != nil {
		return exitStatus(err)
	}
	fmt.Printf("platform_calls=%d platform_refused=%d platform_peak_per_second=%d platform_waiting=%d\n",
		stats.Msg.GetCalls(), stats.Msg.GetRefused(), stats.Msg.GetPeakPerSecond(), stats.Msg.GetWaiting())
	return subcommands.ExitSuccess
}

type revisionCommand struct {
	operators string
	atLeast   uint64
	period    time.Duration
}

func (*revisionCommand) Name() string { return "revision" }
func (*revisionCommand) Synopsis() string {
	return "check that no process has a revision below --at-least in force"
}
func (*revisionCommand) Usage() string {
	return "revision --operators IP:PORT,... --at-least 2 [--for 3s]\n"
}
func (c *revisionCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.operators, "operators", "", "operator addresses of the processes")
	f.Uint64Var(&c.atLeast, "at-least", 1, "lowest revision that may be in force")
	f.DurationVar(&c.period, "for", 0, "how long to repeat the check")
}

func (c *revisionCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return exitStatus(control.NewClient().CheckRevision(ctx, splitList(c.operators), c.atLeast, c.period))
}
