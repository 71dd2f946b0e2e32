package request

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

// job is one request in progress. Its fields below the channels belong to the loop.
type job struct {
	id       uint64
	req      *bramleyv1.CallRequest
	deadline time.Time
	// ticketed is set with sequence for a request that holds a ticket of this owner.
	ticketed bool
	sequence uint64
	cancel   context.CancelFunc
	// grant receives where a waiting job runs.
	grant chan decision
	// done is closed when result is set.
	done   chan struct{}
	result result

	// callers counts who waits for the result.
	callers   int
	started   bool
	abandoned bool
	finished  bool
	// ranHere is set once the job was given a slot of the upstream.
	ranHere bool
	// grantedAt is when the slot was given.
	grantedAt time.Time
	// tried holds the peers that the job was delegated to.
	tried map[uint32]bool
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
