package request

import (
	"time"

	"github.com/bramleyrack/bramleyrack/admission"
)

// placement says where a job runs next.
type placement uint8

const (
	// placeNowhere means that the job is refused.
	placeNowhere placement = iota
	// placeHere means that the job holds a slot of the upstream.
	placeHere
	// placePeer means that the job is delegated to a peer.
	placePeer
	// placeQueue means that the job waits for its grant.
	placeQueue
)

// decision is a placement with the peer it names, or the reason of a refusal.
type decision struct {
	place  placement
	server uint32
	reason string
}

// place decides where a job runs: in a free slot, else at a peer with a free slot, else in the queue. A job
// that has been started before is a retry, for which a peer costs a share of the budget.
func (c *core) place(now time.Time, j *job, peers []PeerLoad) decision {
	if reason := c.forbidden(now, j); reason != "" {
		return decision{reason: reason}
	}
	local := c.accepting && !c.draining && !j.ranHere
	if local && c.gate.TryRun(c.age(now), c.age(j.deadline)) {
		return c.placedHere(now, j)
	}
	if server, ok := c.choosePeer(j, peers); ok && (!j.started || c.budget.Take()) {
		return c.delegated(j, server)
	}
	if !local {
		return decision{reason: "no server accepts the request"}
	}
	if c.gate.Arrive(c.age(now), j.id, c.age(j.deadline)) == admission.Wait {
		return decision{place: placeQueue}
	}
	return decision{reason: "no slot becomes free before the deadline"}
}

func (c *core) placedHere(now time.Time, j *job) decision {
	j.started = true
	j.ranHere = true
	j.grantedAt = now
	return decision{place: placeHere}
}

func (c *core) forbidden(now time.Time, j *job) string {
	switch {
	case j.abandoned:
		return "caller has given up"
	case !now.Before(j.deadline):
		return "deadline has passed"
	case c.suspect && j.ticketed:
		return "server confirms its view after a pause"
	}
	return ""
}

func (c *core) delegated(j *job, server uint32) decision {
	j.started = true
	j.tried[server] = true
	c.inFlight[server]++
	return decision{place: placePeer, server: server}
}

func (c *core) choosePeer(j *job, loads []PeerLoad) (uint32, bool) {
	peers := make([]admission.Peer, 0, len(loads))
	for _, load := range loads {
		if !load.Accepting || load.Silent || j.tried[load.Server] {
			continue
		}
		peers = append(peers, admission.Peer{
			Server:   load.Server,
			InFlight: c.inFlight[load.Server],
			Busy:     load.Busy,
			Slots:    load.Slots,
			Queued:   load.Queued,
		})
	}
	return admission.Choose(peers, c.rnd)
}

// returned takes a delegated job back.
func (c *core) returned(server uint32) {
	c.inFlight[server]--
	if c.inFlight[server] <= 0 {
		delete(c.inFlight, server)
	}
}
