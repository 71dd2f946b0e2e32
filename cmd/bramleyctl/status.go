package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"github.com/bramleyrack/bramleyrack/internal/peer"
	"github.com/bramleyrack/bramleyrack/internal/secrets"
)

const (
	// defaultStatusTimeout bounds the whole status command.
	defaultStatusTimeout = 10 * time.Second
	// defaultStatusInterval is the time between two queries of --watch.
	defaultStatusInterval = 500 * time.Millisecond
	// statusCallTimeout bounds the Status call to one process.
	statusCallTimeout = 2 * time.Second
)

type statusCommand struct {
	term      terminal
	output    output
	processes string
	platform  string
	tree      string
	revision  uint64
	watch     bool
	timeout   time.Duration
	interval  time.Duration
	getenv    func(string) string
}

func newStatusCommand(term terminal) *statusCommand {
	return &statusCommand{term: term, getenv: os.Getenv}
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "show the state, revision and load of processes" }

func (*statusCommand) Usage() string {
	return `status (--processes IP:PORT,... | --platform URL | --tree FILE) [--revision N] [--watch] [-o text|json]
  Queries each process, at its peer address, for its state, revision, flows and busy slots, and marks
  the processes that lag behind --revision. The default revision is the published one with --platform,
  and otherwise the highest one reported. --platform takes the addresses from the published settings
  tree and the list of VMs, with two reads in total; --tree takes the agents in a file. Requires
  BRAMLEY_PEER_CERTIFICATE, BRAMLEY_PEER_KEY and BRAMLEY_PEER_CA, each either directly or with _FILE.
  --watch repeats the query until the revision is in force in every process.
  Exits with 1 if a process lags or is unreachable, and with 3 if --watch times out.
`
}

func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	c.output.setFlags(f)
	f.StringVar(&c.processes, "processes", "", "peer `addresses`, separated by commas")
	f.StringVar(&c.platform, "platform", "", "base `URL` of the platform's configuration service")
	f.StringVar(&c.tree, "tree", "", "`file` with a settings tree")
	f.Uint64Var(&c.revision, "revision", 0, "`revision` that must be in force")
	f.BoolVar(&c.watch, "watch", false, "repeat until the revision is in force in every process")
	f.DurationVar(&c.timeout, "timeout", defaultStatusTimeout, "maximum `duration` of the command")
	f.DurationVar(&c.interval, "interval", defaultStatusInterval, "`duration` between two queries of --watch")
}

func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := c.checkFlags(f); err != nil {
		return c.term.usage(c.Name(), "%v", err)
	}
	keys, err := secrets.Load(c.getenv, secrets.PartPeer)
	if err != nil {
		return c.term.fail(c.Name(), errors.Annotate(err, "loading peer certificates"))
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	targets, err := c.targets(ctx)
	if err != nil {
		return c.term.fail(c.Name(), err)
	}
	pool := peer.NewPool(peer.PoolConfig{TLS: keys.PeerClient})
	defer func() { _ = pool.Close() }()
	return c.run(ctx, &statusClient{pool: pool}, targets)
}

func (c *statusCommand) checkFlags(f *flag.FlagSet) error {
	if err := c.output.check(); err != nil {
		return err
	}
	sources := 0
	for _, source := range []string{c.processes, c.platform, c.tree} {
		if source != "" {
			sources++
		}
	}
	if sources != 1 || f.NArg() > 0 {
		return fmt.Errorf("want exactly one of --processes, --platform and --tree, and no other arguments")
	}
	if c.interval <= 0 || c.timeout <= 0 {
		return fmt.Errorf("--interval and --timeout must be positive")
	}
	return nil
}

// run queries the processes once, or with --watch until the revision is in force in every process.
func (c *statusCommand) run(ctx context.Context, client *statusClient, targets *targets) subcommands.ExitStatus {
	start := time.Now()
	for {
		report := client.queryAll(ctx, targets)
		if !c.watch || report.InForce {
			report.WaitedMs = time.Since(start).Milliseconds()
			c.print(report)
			return exitStatus(report.InForce)
		}
		select {
		case <-ctx.Done():
			c.print(report)
			fmt.Fprintf(c.term.err, "bramleyctl status: revision %d is not in force in every process after %v\n", report.Revision, c.timeout)
			return exitTimeout
		case <-time.After(c.interval):
		}
	}
}

func (c *statusCommand) print(report *statusReport) {
	if c.output.isJSON() {
		c.term.json(report)
		return
	}
	rows := [][]string{{"PROCESS", "VM", "PLACE", "ROLE", "STATE", "REVISION", "AGE", "FLOWS", "BUSY", "QUEUED", "NOTE"}}
	for _, p := range report.Processes {
		rows = append(rows, p.tableRow())
	}
	c.term.table(rows)
	for _, line := range report.refusals() {
		fmt.Fprintln(c.term.out, line)
	}
	fmt.Fprintf(c.term.out, "revision=%d processes=%d in_force=%d lagging=%d unreachable=%d\n",
		report.Revision, len(report.Processes), report.count(noteNone), report.count(noteLags), report.count(noteUnreachable))
}

func splitList(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })
}
