package request

import (
	"context"
	"slices"
	"time"

	"github.com/bramleyrack/bramleyrack/admission"
	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

const (
	// offerBuffer is how many offers wait to be sent; further ones are dropped and counted.
	offerBuffer = 64
	// offerTimeout bounds the sending of one offer, which is of no use when it comes late.
	offerTimeout = 250 * time.Millisecond
)

// Offer takes the offer of a peer that has a free slot after it declined a request of this server.
func (e *Executor) Offer(req *bramleyv1.OfferRequest) *bramleyv1.OfferResponse {
	if req.GetFrom().GetService() == e.config.Service {
		_ = e.do(context.Background(), func(c *core) { c.offered(req.GetFrom().GetServer()) })
	}
	return &bramleyv1.OfferResponse{}
}

// DroppedOffers returns how many offers were not sent because too many waited.
func (e *Executor) DroppedOffers() uint64 {
	return e.droppedOffers.Load()
}

// sendOffers is the duty that tells peers of free slots.
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

// queueOffer hands an offer to the duty that sends it.
func (e *Executor) queueOffer(server uint32) {
	select {
	case e.offers <- server:
	default:
		e.droppedOffers.Add(1)
	}
}

// declined remembers a peer whose request found no free slot.
func (c *core) declined(server uint32) {
	if !slices.Contains(c.asked, server) {
		c.asked = append(c.asked, server)
	}
}

// nextOffer returns the peer that has waited longest, after a slot was freed that no own job has taken.
func (c *core) nextOffer() (server uint32, ok bool) {
	freed := c.freed
	c.freed = false
	if !freed || len(c.asked) == 0 || !c.gate.Free() || c.draining || !c.accepting || c.suspect {
		return 0, false
	}
	server = c.asked[0]
	c.asked = c.asked[1:]
	return server, true
}

// offered delegates the next waiting job to a peer that has a free slot.
func (c *core) offered(server uint32) {
	if c.suspect {
		return
	}
	id, ok := c.dispatcher.Freed(server)
	if !ok {
		return
	}
	j := c.jobs[id]
	if reason := c.forbidden(j); reason != "" {
		c.dispatcher.Returned(server)
		j.grant <- decision{reason: reason}
		return
	}
	c.placedAtPeer(j, server)
	j.grant <- decision{place: admission.Delegated, server: server}
}
