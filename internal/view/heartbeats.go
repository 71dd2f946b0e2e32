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
	// remotePeerCount is the number of processes in other places with which a process exchanges
	// heartbeats.
	remotePeerCount = 2
	// relayFanout is the maximum number of children of a node in the relay tree.
	relayFanout = 4
)

// heartbeatSchedule tracks when the next heartbeat to each peer is due.
type heartbeatSchedule struct {
	peers    []string
	due      map[string]time.Duration
	inFlight map[string]bool
}

// postpone delays the next heartbeat to a peer by a jittered interval. Both ends of a link postpone
// their own heartbeat when they hear from the other, so that one exchange serves both.
func (s *heartbeatSchedule) postpone(now time.Duration, address string, interval time.Duration, rnd *rand.Rand) {
	s.due[address] = now + interval*4/5 + time.Duration(rnd.Int63n(int64(interval)*2/5+1))
}

func (s *heartbeatSchedule) setPeers(addresses []string) {
	s.peers = addresses
	for address := range s.due {
		if !slices.Contains(addresses, address) {
			delete(s.due, address)
		}
	}
}

// rebuildRelayTree recomputes the relay tree and the peers to exchange heartbeats with.
func (l *loop) rebuildRelayTree(now time.Duration) {
	identity := l.view.Identity()
	self := identity.GetPeerAddress()
	l.relayTreeVersion = l.table.Version()
	members := l.table.Usable(identity.GetPlace())
	if !slices.Contains(members, self) {
		members = append(members, self)
	}
	order := dissemination.Order(identity.GetPlace(), members)
	l.relayTree = dissemination.NewRelayTree(order, l.view.config.Readers, relayFanout)
	addresses := l.heartbeatPeers(self)
	l.schedule.setPeers(addresses)
	l.table.Monitor(now, addresses)
}

// heartbeatPeers returns the addresses to exchange heartbeats with: the neighbours in the relay
// tree, the other readers if this process is a reader, the agents of its service, and a few agents
// in other places. Seeds fill in while there are fewer than remotePeerCount addresses.
func (l *loop) heartbeatPeers(self string) []string {
	var addresses []string
	if l.relayTree.IsReader(self) {
		addresses = append(addresses, l.relayTree.Readers()...)
	}
	if parent, ok := l.relayTree.Parent(self); ok {
		addresses = append(addresses, parent)
	}
	addresses = append(addresses, l.relayTree.Children(self)...)
	if tree := l.view.Current(); tree != nil {
		addresses = append(addresses, servicePeers(tree, l.view.Identity().GetService())...)
		addresses = append(addresses, remotePeers(tree, l.view.Identity().GetPlace(), self)...)
	}
	if len(addresses) < remotePeerCount {
		addresses = append(addresses, l.view.config.Seeds...)
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

// remotePeers returns the agents in other places with the highest rendezvous hash for this process,
// so that the processes spread evenly over the agents.
func remotePeers(tree *settings.Tree, place, self string) []string {
	type scored struct {
		score   uint64
		address string
	}
	var candidates []scored
	for _, service := range tree.Services {
		for _, upstream := range service.Upstreams {
			if upstream.Place == place {
				continue
			}
			address := upstream.PeerAddress.String()
			candidates = append(candidates, scored{score: xxhash.Sum64String(self + address), address: address})
		}
	}
	slices.SortFunc(candidates, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	var addresses []string
	for _, s := range candidates[:min(remotePeerCount, len(candidates))] {
		addresses = append(addresses, s.address)
	}
	return addresses
}

// sendDueHeartbeats starts the heartbeats that are due. The first heartbeat to a new peer comes
// after a random part of the interval.
func (l *loop) sendDueHeartbeats(ctx context.Context, now time.Duration) {
	interval := l.view.config.HeartbeatInterval
	for _, address := range l.schedule.peers {
		due, ok := l.schedule.due[address]
		if !ok {
			l.schedule.due[address] = now + time.Duration(l.rnd.Int63n(int64(interval)))
			continue
		}
		if now < due || l.schedule.inFlight[address] {
			continue
		}
		l.schedule.inFlight[address] = true
		l.schedule.postpone(now, address, interval, l.rnd)
		l.view.startHeartbeat(ctx, address)
	}
}

// randomPeer returns the address of a random peer that is not known to be dead.
func (l *loop) randomPeer() (string, bool) {
	self := l.view.Identity().GetPeerAddress()
	candidates := l.table.Usable(l.view.Identity().GetPlace())
	for _, member := range l.table.Monitored() {
		if member.State != membership.StateDead {
			candidates = append(candidates, member.Address)
		}
	}
	candidates = append(candidates, l.view.config.Seeds...)
	candidates = slices.DeleteFunc(candidates, func(a string) bool { return a == self || a == "" })
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[l.rnd.Intn(len(candidates))], true
}

// handleVMList passes the platform's list to the membership table and updates the fleet size, which
// is estimated as the size of this place times the number of places.
func (l *loop) handleVMList(now time.Duration, vms []membership.ListedVM) {
	l.hasList = true
	l.table.UpdateList(l.view.Identity().GetPlace(), vms)
	places := 1
	if tree := l.view.Current(); tree != nil {
		places = max(1, len(tree.Places))
	}
	if len(vms) > 0 {
		l.follower.SetFleetSize(max(len(vms)*places, 1))
	}
	l.rebuildRelayTree(now)
}
