package request

import (
	"github.com/bramleyrack/bramleyrack/admission"
)

// decision is the placement of a job, with the server of the chosen peer or the reason of a refusal.
type decision struct {
	place  admission.Placement
	server uint32
	reason string
}

// place decides where the next attempt of a job runs.
func (c *core) place(j *job, loads []PeerLoad) decision {
	if reason := c.startRefusal(j); reason != "" {
		return decision{reason: reason}
	}
	local := c.accepting && !c.draining && !j.triedLocally
	place, server := c.dispatcher.Dispatch(c.age(), admission.Job{
		ID:           j.id,
		Deadline:     c.ageAt(j.deadline),
		LocalAllowed: local,
		Retry:        j.started,
		Tried:        j.triedPeers,
	}, eligiblePeers(loads))
	switch place {
	case admission.Local:
		c.markPlacedLocally(j)
	case admission.Delegated:
		c.markPlacedAtPeer(j, server)
	}
	return decision{place: place, server: server, reason: noSlotReason(local)}
}

func noSlotReason(local bool) string {
	if local {
		return "no slot becomes free before the deadline"
	}
	return "no server accepts the request"
}

func (c *core) markPlacedAtPeer(j *job, server uint32) {
	j.started = true
	j.triedPeers[server] = true
}

func (c *core) markPlacedLocally(j *job) {
	j.started = true
	j.triedLocally = true
	j.grantedAt = c.now
}

// startRefusal returns the reason why a job must not start now, or an empty string if it may.
func (c *core) startRefusal(j *job) string {
	switch {
	case j.abandoned:
		return "caller has given up"
	case !c.now.Before(j.deadline):
		return "deadline has passed"
	case c.suspectSelf && j.ticketed:
		return "server confirms its view after a pause"
	}
	return ""
}

// delegationEnded updates the dispatcher with the result of a delegated attempt.
func (c *core) delegationEnded(server uint32, r result) {
	c.dispatcher.Returned(server)
	if r.provesNotRun() {
		c.dispatcher.Declined(c.age(), server)
	}
}

// eligiblePeers returns the peers that accept requests and are not silent.
func eligiblePeers(loads []PeerLoad) []admission.Peer {
	peers := make([]admission.Peer, 0, len(loads))
	for _, load := range loads {
		if !load.Accepting || load.Silent {
			continue
		}
		peers = append(peers, admission.Peer{
			Server: load.Server,
			Busy:   load.Busy,
			Slots:  load.Slots,
			Queued: load.Queued,
		})
	}
	return peers
}
