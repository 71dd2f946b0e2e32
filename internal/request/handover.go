package request

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/juju/errors"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/ticket"
)

const (
	// handOverBytes is the size above which a hand-over message is sent and another one begun.
	handOverBytes = 256 << 10
	// maxArchives bounds how many leaving owners a successor remembers.
	maxArchives = 64
	drainPoll   = 20 * time.Millisecond
)

// Drain refuses new work and waits until no request runs. Once it has returned, no request starts.
func (e *Executor) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		idle := false
		err := e.do(ctx, func(c *core) {
			c.draining = true
			idle = len(c.jobs) == 0 && c.gate.Busy() == 0
		})
		if err != nil {
			return drainError(ctx, err)
		}
		if idle {
			return nil
		}
		select {
		case <-ctx.Done():
			return ErrDrainIncomplete
		case <-ticker.C:
		}
	}
}

func drainError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ErrDrainIncomplete
	}
	return errors.Trace(err)
}

// Records returns the memory of every used ticket. It ends the start of requests for good.
func (e *Executor) Records() []*bramleyv1.TicketRecord {
	_, records := e.export()
	return records
}

func (e *Executor) export() (ticket.Bounds, []*bramleyv1.TicketRecord) {
	var bounds ticket.Bounds
	var records []record
	_ = e.do(context.Background(), func(c *core) {
		c.draining = true
		c.exported = true
		bounds, records = c.ledger.Export(c.age(e.config.Now()))
	})
	messages := make([]*bramleyv1.TicketRecord, 0, len(records))
	for _, r := range records {
		messages = append(messages, &bramleyv1.TicketRecord{
			Sequence:    r.Sequence,
			Outcome:     recordOutcome(r.State),
			Answer:      r.Answer,
			AgeMs:       milliseconds(r.Age),
			Fingerprint: r.Fingerprint,
		})
	}
	return bounds, messages
}

func recordOutcome(state ticket.State) bramleyv1.Outcome {
	if state == ticket.StateUndecided {
		return bramleyv1.Outcome_OUTCOME_UNKNOWN
	}
	return bramleyv1.Outcome_OUTCOME_ALREADY_RUN
}

// HandOver sends every record to a successor in messages of bounded size. A nil error means that the
// successor has them all and answers for this owner from then on.
func (e *Executor) HandOver(ctx context.Context, from *bramleyv1.Identity, send func(context.Context, *bramleyv1.HandOverRequest) (*bramleyv1.HandOverResponse, error)) error {
	bounds, records := e.export()
	for _, message := range batches(from, bounds, records) {
		answer, err := send(ctx, message)
		if err != nil {
			return errors.Trace(err)
		}
		if !answer.GetAccepted() {
			return ErrNotAdopted
		}
	}
	return nil
}

func batches(from *bramleyv1.Identity, bounds ticket.Bounds, records []*bramleyv1.TicketRecord) []*bramleyv1.HandOverRequest {
	message := &bramleyv1.HandOverRequest{From: from}
	var messages []*bramleyv1.HandOverRequest
	size := 0
	for _, r := range records {
		if size > handOverBytes {
			messages = append(messages, message)
			message = &bramleyv1.HandOverRequest{From: from}
			size = 0
		}
		message.Records = append(message.Records, r)
		size += proto.Size(r)
	}
	message.FirstSequence = bounds.Floor
	message.NextSequence = bounds.Next
	message.Last = true
	return append(messages, message)
}

// Adopt takes records of a leaving owner of the same service.
func (e *Executor) Adopt(req *bramleyv1.HandOverRequest) *bramleyv1.HandOverResponse {
	accepted := false
	_ = e.do(context.Background(), func(c *core) {
		accepted = req.GetFrom().GetService() == e.config.Service && c.adopt(e.config.Now(), req)
	})
	return &bramleyv1.HandOverResponse{Accepted: accepted}
}

func (c *core) adopt(now time.Time, req *bramleyv1.HandOverRequest) bool {
	from := source{server: req.GetFrom().GetServer(), incarnation: req.GetFrom().GetIncarnation()}
	a, ok := c.archives[from]
	if !ok {
		if c.draining || len(c.archives) >= maxArchives {
			return false
		}
		a = ticket.NewArchive[*bramleyv1.CallResponse](c.policy.RecordBytes, c.policy.RecordLifetime)
		c.archives[from] = a
	}
	for _, r := range req.GetRecords() {
		a.Add(c.age(now), adoptedRecord(r), proto.Size(r.GetAnswer()))
	}
	if req.GetLast() {
		a.Complete(ticket.Bounds{Floor: req.GetFirstSequence(), Next: req.GetNextSequence()})
	}
	return true
}

func adoptedRecord(r *bramleyv1.TicketRecord) record {
	adopted := record{
		Sequence:    r.GetSequence(),
		State:       ticket.StateUndecided,
		Fingerprint: r.GetFingerprint(),
		Age:         time.Duration(r.GetAgeMs()) * time.Millisecond,
	}
	switch {
	case r.GetAnswer() != nil:
		adopted.State = ticket.StateAnswered
		adopted.Answer = r.GetAnswer()
	case r.GetOutcome() == bramleyv1.Outcome_OUTCOME_ALREADY_RUN:
		adopted.State = ticket.StateRan
	}
	return adopted
}

// archived looks a ticket up in the records of owners that have left.
func (e *Executor) archived(ctx context.Context, req *bramleyv1.CallRequest, t ticket.Ticket) verdict {
	var v verdict
	_ = e.do(ctx, func(c *core) {
		a, ok := c.archives[source{server: t.Server, incarnation: t.Incarnation}]
		if ok {
			v = a.Find(c.age(e.config.Now()), t.Sequence, fingerprint(req))
		}
	})
	return v
}
