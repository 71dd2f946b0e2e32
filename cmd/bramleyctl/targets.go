package main

import (
	"context"
	"net/netip"
	"slices"

	"github.com/juju/errors"

	"github.com/bramleyrack/bramleyrack/internal/platform"
	"github.com/bramleyrack/bramleyrack/settings"
)

// treeKey is the key under which the tree is published.
const treeKey = "tree"

// targets is which processes to ask, and what must be in force there.
type targets struct {
	addresses []string
	// revision is zero when the highest one seen counts.
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
		return nil, errors.New("there is no process to ask")
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

// fromPlatform reads the published tree for the agents, and the list of VMs for all processes.
func (t *targets) fromPlatform(ctx context.Context, url string) error {
	client := platform.New(platform.Config{URL: url})
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
