package main

import (
	"context"
	"net/netip"
	"slices"

	"github.com/juju/errors"

	"github.com/bramleyrack/bramleyrack/internal/platformclient"
	"github.com/bramleyrack/bramleyrack/settings"
)

// treeKey is the platform key under which the settings tree is published.
const treeKey = "tree"

// targets holds the addresses of the processes to query and the revision that they must have in force.
type targets struct {
	addresses []string
	// revision is the wanted revision. Zero means the highest one reported.
	revision uint64
}

func (c *statusCommand) targets(ctx context.Context) (*targets, error) {
	t := &targets{revision: c.revision}
	var err error
	switch {
	case c.platform != "":
		err = t.fromPlatform(ctx, c.platform)
	case c.tree != "":
		err = t.fromFile(c.tree)
	default:
		err = t.fromList(splitList(c.processes))
	}
	if err != nil {
		return nil, err
	}
	slices.Sort(t.addresses)
	t.addresses = slices.Compact(t.addresses)
	if len(t.addresses) == 0 {
		return nil, errors.New("no processes to query")
	}
	return t, nil
}

func (t *targets) fromList(addresses []string) error {
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return errors.Errorf("--processes: %q is not IP:PORT", address)
		}
	}
	t.addresses = addresses
	return nil
}

func (t *targets) fromFile(name string) error {
	_, tree, err := readTree(name)
	if err != nil {
		return err
	}
	t.addAgents(tree)
	return nil
}

// fromPlatform adds the agents in the published settings tree and all processes in the list of VMs. If the
// tree is invalid, it adds only the latter.
func (t *targets) fromPlatform(ctx context.Context, url string) error {
	client := platformclient.New(platformclient.Config{URL: url})
	value, err := client.Get(ctx, treeKey)
	if err != nil {
		return err
	}
	if t.revision == 0 {
		t.revision = value.GetRevision()
	}
	tree, err := settings.Parse(value.GetValue(), value.GetRevision())
	if err == nil {
		t.addAgents(tree)
	}
	vms, err := client.ListVMs(ctx, "")
	if err != nil {
		return err
	}
	for _, vm := range vms {
		t.addresses = append(t.addresses, vm.GetAddress())
	}
	return nil
}

func (t *targets) addAgents(tree *settings.Tree) {
	for _, service := range tree.Services {
		for _, upstream := range service.Upstreams {
			t.addresses = append(t.addresses, upstream.PeerAddress.String())
		}
	}
}
