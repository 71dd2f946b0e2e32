package view

import (
	"cmp"
	"context"
	"math/rand"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyrack/bramleyrack/dissemination"
	"github.com/bramleyrack/bramleyrack/membership"
	"github.com/bramleyrack/bramleyrack/settings"
)

const (
	// remoteContacts is how many processes of other places a process exchanges heartbeats with.
	remoteContacts = 2
	// relayFanout bounds the children of a relay.
	relayFanout = 4
)

// contacts schedules the heartbeats to peers.
type contacts struct {
	addresses []string
	due       map[string]time.Duration
	busy      map[string]bool
}

// heard delays the next heartbeat to a peer. Either end of a link that hears the other skips its
// own turn, so one exchange serves both.
func (c *contacts) heard(now time.Duration, address string, interval time.Duration, rnd *rand.Rand) {
	c.due[address] = now + interval*4/5 + time.Duration(rnd.Int63n(int64(interval)*2/5+1))
}

func (c *contacts) set(addresses []string) {
	c.addresses = addresses
	for address := range c.due {
		if !slices.Contains(addresses, address) {
			delete(c.due, address)
		}
	}
}

// rebuild computes the relay tree and the peers to exchange heartbeats with.
func (o *owner) rebuild(now time.Duration) {
	identity := o.view.Identity()
	self := identity.GetPeerAddress()
	o.built = o.table.Version()
	members := o.table.Usable(identity.GetPlace())
	if !slices.Contains(members, self) {
		members = append(members, self)
	}
	order := dissemination.Order(identity.GetPlace(), members)
	o.tree = dissemination.NewTree(order, o.view.config.Readers, relayFanout)
	addresses := o.links(self)
	o.contacts.set(addresses)
	o.table.Monitor(now, addresses)
}

// links returns the peers of this process: its neighbours in the relay tree, the agents of its
// service, and a few processes of other places.
func (o *owner) links(self string) []string {
	var addresses []string
	if o.tree.IsReader(self) {
		addresses = append(addresses, o.tree.Readers()...)
	}
	if parent, ok := o.tree.Parent(self); ok {
		addresses = append(addresses, parent)
	}
	addresses = append(addresses, o.tree.Children(self)...)
	if tree := o.view.Current(); tree != nil {
		addresses = append(addresses, servicePeers(tree, o.view.Identity().GetService())...)
		addresses = append(addresses, remotePeers(tree, o.view.Identity().GetPlace(), self)...)
	}
	if len(addresses) < remoteContacts {
		addresses = append(addresses, o.view.config.Seeds...)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(a string) bool { return a == self || a == "" })
}

func servicePeers(tree *settings.Tree, number uint32) []string {
	service := tree.Service(number)
	if service == nil {
		return nil
	}
	addresses := make([]string, 0, len(service.Upstreams))
	for _, upstream := range service.Upstreams {
		addresses = append(addresses, upstream.PeerAddress.String())
	}
	return addresses
}

// remotePeers returns the agents of other places with the highest scores for this process.
func remotePeers(tree *settings.Tree, place, self string) []string {
	type scored struct {
		score   uint64
		address string
	}
	var best []scored
	for _, service := range tree.Services {
		for _, upstream := range service.Upstreams {
			if upstream.Place == place {
				continue
			}
			address := upstream.PeerAddress.String()
			best = append(best, scored{score: xxhash.Sum64String(self + address), address: address})
		}
	}
	slices.SortFunc(best, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	var addresses []string
	for _, s := range best[:min(remoteContacts, len(best))] {
		addresses = append(addresses, s.address)
	}
	return addresses
}

// heartbeat starts the exchanges that are due.
func (o *owner) heartbeat(ctx context.Context, now time.Duration) {
	interval := o.view.config.HeartbeatInterval
	for _, address := range o.contacts.addresses {
		due, ok := o.contacts.due[address]
		if !ok {
			o.contacts.due[address] = now + time.Duration(o.rnd.Int63n(int64(interval)))
			continue
		}
		if now < due || o.contacts.busy[address] {
			continue
		}
		o.contacts.busy[address] = true
		o.contacts.heard(now, address, interval, o.rnd)
		o.view.startExchange(ctx, address)
	}
}

// anyPeer returns a random peer that is not known to be dead.
func (o *owner) anyPeer() (string, bool) {
	self := o.view.Identity().GetPeerAddress()
	candidates := o.table.Usable(o.view.Identity().GetPlace())
	for _, member := range o.table.Monitored() {
		if member.State != membership.StateDead {
			candidates = append(candidates, member.Address)
		}
	}
	candidates = append(candidates, o.view.config.Seeds...)
	candidates = slices.DeleteFunc(candidates, func(a string) bool { return a == self || a == "" })
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[o.rnd.Intn(len(candidates))], true
}

// listed takes in the platform's list and the size of the fleet that it implies.
func (o *owner) listed(now time.Duration, vms []membership.ListedVM) {
	o.hasList = true
	o.table.UpdateList(o.view.Identity().GetPlace(), vms)
	places := 1
	if tree := o.view.Current(); tree != nil {
		places = max(1, len(tree.Places))
	}
	if len(vms) > 0 {
		o.follower.SetFleetSize(max(len(vms)*places, 1))
	}
	o.rebuild(now)
}
