package request

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

// job is a request in progress. Only the loop changes its fields. The job's goroutine reads grantedAt after it has
// been given a slot, and callers read result after done is closed.
type job struct {
	id       uint64
	req      *bramleyv1.CallRequest
	deadline time.Time
	// ticketed is set for a request with a ticket of this owner; sequence is then the sequence of the ticket.
	ticketed bool
	sequence uint64
	cancel   context.CancelFunc
	// grant receives the decision about a queued job.
	grant chan decision
	// done is closed after result is set.
	done   chan struct{}
	result result

	// callers is the number of callers that wait for the result.
	callers   int
	started   bool
	abandoned bool
	finished  bool
	// triedLocally is set once the job has been given a slot of the local upstream; it is not given another one.
	triedLocally bool
	// grantedAt is the time at which the job was given that slot.
	grantedAt time.Time
	// triedPeers holds the peers to which the job has been delegated. Placement skips them, but an offer from one of
	// them is still used.
	triedPeers map[uint32]bool
}

func fingerprint(req *bramleyv1.CallRequest) uint64 {
	h := xxhash.New()
	writeField(h, req.GetRequestId())
	writeField(h, req.GetMethod())
	h.Write(req.GetBody())
	return h.Sum64()
}

func writeField(h *xxhash.Digest, field string) {
	h.WriteString(field)
	h.Write([]byte{0})
}
