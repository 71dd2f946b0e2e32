package request

import (
	"github.com/bramleyrack/bramleyrack/admission"
)

// decision is a place with the peer it names, or the reason of a refusal.
type decision struct {
	place  admission.Placement
	server uint32
	reason string
}

// place decides where a job runs next.
func (c *core) place(j *job, loads []PeerLoad) decision {
	if reason := c.forbidden(j); reason != "" {
		return decision{reason: reason}
	}
	local := c.accepting && !c.draining && !j.ranHere
	place, server := c.dispatcher.Dispatch(c.age(), admission.Job{
		ID:       j.id,
		Deadline: c.since(j.deadline),
		Local:    local,
		Retry:    j.started,
		Tried:    j.tried,
	}, available(loads))
	switch place {
	case admission.Local:
		c.placedHere(j)
	case admission.Delegated:
		c.placedAtPeer(j, server)
	}
	return decision{place: place, server: server, reason: refusalReason(local)}
}

func refusalReason(local bool) string {
	if local {
		return "no slot becomes free before the deadline"
	}
	return "no server accepts the request"
}

func (c *core) placedAtPeer(j *job, server uint32) {
	j.started = true
	j.tried[server] = true
}

func (c *core) placedHere(j *job) {
	j.started = true
	j.ranHere = true
	j.grantedAt = c.now
}

func (c *core) forbidden(j *job) string {
	switch {
	case j.abandoned:
		return "caller has given up"
	case !c.now.Before(j.deadline):
		return "deadline has passed"
	case c.suspect && j.ticketed:
		return "server confirms its view after a pause"
	}
	return ""
}

// returned takes the result of a delegated job.
func (c *core) returned(server uint32, r result) {
	c.dispatcher.Returned(server)
	if r.provesNotRun() {
		c.dispatcher.Declined(c.age(), server)
	}
}

// available returns the peers that may get work.
func available(loads []PeerLoad) []admission.Peer {
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
