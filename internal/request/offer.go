package request

import (
	"context"
	"slices"
	"time"

	"github.com/bramleyrack/bramleyrack/admission"
	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

const (
	// offerBuffer is the number of offers that can wait to be sent; further offers are dropped and counted.
	offerBuffer = 64
	// offerTimeout limits the time to send one offer, because a late offer is useless.
	offerTimeout = 250 * time.Millisecond
)

// Offer accepts the offer of a free slot from a peer that has declined a request of this server before.
func (e *Executor) Offer(req *bramleyv1.OfferRequest) *bramleyv1.OfferResponse {
	if req.GetFrom().GetService() == e.config.Service {
		_ = e.do(context.Background(), func(c *core) { c.acceptOffer(req.GetFrom().GetServer()) })
	}
	return &bramleyv1.OfferResponse{}
}

// DroppedOffers returns the number of offers that were dropped because the queue of offers was full.
func (e *Executor) DroppedOffers() uint64 {
	return e.droppedOffers.Load()
}

// sendOffers sends the queued offers until the executor stops.
func (e *Executor) sendOffers() {
	for {
		select {
		case <-e.stop:
			return
		case server := <-e.offers:
			e.sendOffer(server)
		}
	}
}

func (e *Executor) sendOffer(server uint32) {
	ctx, cancel := context.WithTimeout(context.Background(), offerTimeout)
	defer cancel()
	_ = e.config.Peers.Offer(ctx, server, &bramleyv1.OfferRequest{From: e.identity()})
}

// queueOffer queues an offer for sendOffers. It never blocks, because it runs in the loop.
func (e *Executor) queueOffer(server uint32) {
	select {
	case e.offers <- server:
	default:
		e.droppedOffers.Add(1)
	}
}

// addDeclinedPeer records a peer whose delegated request found no free slot, so that it is offered a later one.
func (c *core) addDeclinedPeer(server uint32) {
	if !slices.Contains(c.declinedPeers, server) {
		c.declinedPeers = append(c.declinedPeers, server)
	}
}

// nextOffer returns the peer that has waited longest for a slot, if the current command has freed a slot that no
// local job has taken.
func (c *core) nextOffer() (server uint32, ok bool) {
	freed := c.slotFreed
	c.slotFreed = false
	if !freed || len(c.declinedPeers) == 0 || !c.gate.CanStart() || c.draining || !c.accepting || c.viewUnconfirmed {
		return 0, false
	}
	server = c.declinedPeers[0]
	c.declinedPeers = c.declinedPeers[1:]
	return server, true
}

// acceptOffer delegates the next queued job to a peer that offers a free slot.
func (c *core) acceptOffer(server uint32) {
	if c.viewUnconfirmed {
		return
	}
	id, ok := c.dispatcher.AcceptOffer(server)
	if !ok {
		return
	}
	j := c.jobs[id]
	if reason := c.startRefusal(j); reason != "" {
		c.dispatcher.Returned(server)
		j.grant <- decision{reason: reason}
		return
	}
	c.markDelegated(j, server)
	j.grant <- decision{place: admission.Delegated, server: server}
}
