// Command standin-fabric simulates the network fabric in front of the balancers.
package main

import (
	"context"
	"net/netip"
	"os"
	"slices"

	"golang.org/x/sync/errgroup"

	"github.com/bramleyrack/bramleyrack/internal/options"
	"github.com/bramleyrack/bramleyrack/internal/standin/fabric"
	"github.com/bramleyrack/bramleyrack/internal/standin/process"
)

// config holds the command-line options.
type config struct {
	services map[string]netip.AddrPort
	control  netip.AddrPort
	// seed makes the random choice of balancers reproducible.
	seed int
	// record is the file to write the packet record to, if any.
	record string
}

func main() {
	var c config
	set := options.New("standin-fabric")
	set.Bindings(&c.services, "services", "", "address of each service, to which callers send")
	set.AddrPort(&c.control, "control", "", "address of the control interface")
	set.Int(&c.seed, "seed", 1, "`seed` of the random choice of balancers")
	set.String(&c.record, "record", "", "file to write a record of the forwarded packets to")
	set.Require("services", "control")
	process.Parse(set)
	process.Main(func(ctx context.Context) error { return run(ctx, c) })
}

func run(ctx context.Context, c config) error {
	group, ctx := errgroup.WithContext(ctx)
	var recorder *fabric.Recorder
	if c.record != "" {
		file, err := os.Create(c.record)
		if err != nil {
			return err
		}
		defer file.Close()
		recorder = fabric.NewRecorder()
		group.Go(func() error { return recorder.Run(ctx.Done(), file) })
	}
	f := fabric.New(uint64(c.seed), recorder)
	group.Go(func() error { return f.Run(ctx, services(c)) })
	group.Go(func() error { return process.Serve(ctx, c.control, f.Handler()) })
	return group.Wait()
}

func services(c config) []fabric.Service {
	var services []fabric.Service
	for name, address := range c.services {
		services = append(services, fabric.Service{Name: name, Address: address})
	}
	slices.SortFunc(services, func(a, b fabric.Service) int { return a.Address.Compare(b.Address) })
	return services
}
