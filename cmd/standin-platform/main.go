// Command standin-platform simulates the users' platform in tests and demonstrations.
package main

import (
	"context"
	"net/netip"
	"os"

	"github.com/bramleyrack/bramleyrack/internal/options"
	"github.com/bramleyrack/bramleyrack/internal/standin/platform"
	"github.com/bramleyrack/bramleyrack/internal/standin/process"
)

// defaultCallsPerSecond is the default call budget of all readers together.
const defaultCallsPerSecond = 2000

// config holds the command-line options.
type config struct {
	listen netip.AddrPort
	// tree and vms are files to publish at startup.
	tree, vms string
	calls     int
}

func main() {
	var c config
	set := options.New("standin-platform")
	set.AddrPort(&c.listen, "listen", "", "address of the platform service")
	set.String(&c.tree, "tree", "", "file with the settings tree to publish under the key tree")
	set.String(&c.vms, "vms", "", "YAML file with the list of VMs")
	set.Int(&c.calls, "calls", defaultCallsPerSecond, "call budget of all readers together in `calls/s`")
	set.Require("listen", "tree")
	process.Parse(set)
	process.Main(func(ctx context.Context) error { return run(ctx, c) })
}

func run(ctx context.Context, c config) error {
	store := platform.New(platform.Config{CallsPerSecond: c.calls})
	tree, err := os.ReadFile(c.tree)
	if err != nil {
		return err
	}
	if _, err := store.Publish("tree", tree); err != nil {
		return err
	}
	if c.vms != "" {
		if err := loadVMs(store, c.vms); err != nil {
			return err
		}
	}
	service := &platform.Service{Store: store}
	return process.Serve(ctx, c.listen, service.Handler())
}

func loadVMs(store *platform.Store, path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	vms, err := platform.ParseVMs(data)
	if err != nil {
		return err
	}
	for _, vm := range vms {
		store.SetVM(vm, false)
	}
	return nil
}
