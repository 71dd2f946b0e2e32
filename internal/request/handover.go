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
	// handOverBatchBytes is the size of the records in a hand-over message after which a new message begins.
	handOverBatchBytes = 256 << 10
	// maxAdoptedOwners limits the number of owners whose records a successor holds.
	maxAdoptedOwners = 64
	// drainPollInterval is the interval at which Drain checks whether requests are still running.
	drainPollInterval = 20 * time.Millisecond
)

// Drain stops admitting requests to the local upstream and waits until no request is in progress. After it has
// returned nil, no request starts.
func (e *Executor) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		idle := false
		err := e.do(ctx, func(c *core) {
			c.draining = true
			idle = len(c.jobs) == 0 && c.gate.Busy() == 0
			c.startsBlocked = c.startsBlocked || idle
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

// ExportRecords returns the records of all used tickets of this owner. No request starts after this call, because a
// successor may hold the records from then on.
func (e *Executor) ExportRecords() []*bramleyv1.TicketRecord {
	return e.export(&bramleyv1.Identity{})[0].records
}

// ownerRecords holds the ticket records of one owner for the hand-over to a successor.
type ownerRecords struct {
	from    *bramleyv1.Identity
	bounds  ticket.Bounds
	records []*bramleyv1.TicketRecord
}

// export blocks the start of further requests and returns the records of this owner, followed by those that it has
// adopted from other owners.
func (e *Executor) export(self *bramleyv1.Identity) []ownerRecords {
	var owners []ownerRecords
	_ = e.do(context.Background(), func(c *core) {
		c.draining = true
		c.startsBlocked = true
		age := c.age()
		bounds, records := c.ledger.Export(age)
		owners = append([]ownerRecords{{from: self, bounds: bounds, records: recordMessages(records)}}, c.exportAdopted(age, self)...)
	})
	return owners
}

// exportAdopted returns the records adopted from other owners. It omits owners whose hand-over is incomplete.
func (c *core) exportAdopted(age time.Duration, self *bramleyv1.Identity) []ownerRecords {
	var owners []ownerRecords
	for id, adopted := range c.adopted {
		bounds, records, complete := adopted.archive.Export(age)
		if !complete {
			continue
		}
		identity := &bramleyv1.Identity{Service: self.GetService(), Server: id.server, Incarnation: id.incarnation}
		owners = append(owners, ownerRecords{from: identity, bounds: bounds, records: recordMessages(records)})
	}
	return owners
}

func recordMessages(records []record) []*bramleyv1.TicketRecord {
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
	return messages
}

func recordOutcome(state ticket.State) bramleyv1.Outcome {
	if state == ticket.StateUndecided {
		return bramleyv1.Outcome_OUTCOME_UNKNOWN
	}
	return bramleyv1.Outcome_OUTCOME_ALREADY_RUN
}

// HandOver sends all records to a successor in messages of limited size. A nil error means that the successor holds
// all of them and answers repeated requests for this owner, and for the owners whose records this one had adopted.
func (e *Executor) HandOver(ctx context.Context, from *bramleyv1.Identity, send func(context.Context, *bramleyv1.HandOverRequest) (*bramleyv1.HandOverResponse, error)) error {
	for _, owner := range e.export(from) {
		for _, message := range owner.batches() {
			answer, err := send(ctx, message)
			if err != nil {
				return errors.Trace(err)
			}
			if !answer.GetAccepted() {
				return ErrHandOverRejected
			}
		}
	}
	return nil
}

func (o ownerRecords) batches() []*bramleyv1.HandOverRequest {
	message := &bramleyv1.HandOverRequest{From: o.from}
	var messages []*bramleyv1.HandOverRequest
	size := 0
	for _, r := range o.records {
		if size > handOverBatchBytes {
			messages = append(messages, message)
			message = &bramleyv1.HandOverRequest{From: o.from}
			size = 0
		}
		message.Records = append(message.Records, r)
		size += proto.Size(r)
	}
	message.FirstSequence = o.bounds.First
	message.NextSequence = o.bounds.Next
	message.Last = true
	return append(messages, message)
}

// Adopt stores the records that a leaving owner of the same service hands over.
func (e *Executor) Adopt(req *bramleyv1.HandOverRequest) *bramleyv1.HandOverResponse {
	accepted := false
	_ = e.do(context.Background(), func(c *core) {
		accepted = req.GetFrom().GetService() == e.config.Service && c.adopt(req)
	})
	return &bramleyv1.HandOverResponse{Accepted: accepted}
}

func (c *core) adopt(req *bramleyv1.HandOverRequest) bool {
	from := ownerID{server: req.GetFrom().GetServer(), incarnation: req.GetFrom().GetIncarnation()}
	a, ok := c.adopted[from]
	if !ok {
		if c.draining || len(c.adopted) >= maxAdoptedOwners {
			return false
		}
		a = &adoptedRecords{
			adoptedAt: c.now,
			archive:   ticket.NewArchive[*bramleyv1.CallResponse](c.policy.RecordBytes, c.policy.RecordLifetime),
		}
		c.adopted[from] = a
	}
	// All adopted answers together may take as many bytes as the answers of this owner.
	a.archive.SetLimit(c.policy.RecordBytes - c.adoptedBytes() + a.archive.AnswerBytes())
	for _, r := range req.GetRecords() {
		a.archive.Add(c.age(), recordFromMessage(r), proto.Size(r.GetAnswer()))
	}
	if req.GetLast() {
		a.archive.Complete(ticket.Bounds{First: req.GetFirstSequence(), Next: req.GetNextSequence()})
	}
	return true
}

func (c *core) adoptedBytes() int {
	total := 0
	for _, a := range c.adopted {
		total += a.archive.AnswerBytes()
	}
	return total
}

// expireAdopted deletes the adopted records of each owner whose tickets and answers have all expired.
func (c *core) expireAdopted() {
	for from, a := range c.adopted {
		if c.now.Sub(a.adoptedAt) > c.policy.TicketLifetime+c.policy.RecordLifetime {
			delete(c.adopted, from)
		}
	}
}

func recordFromMessage(r *bramleyv1.TicketRecord) record {
	parsed := record{
		Sequence:    r.GetSequence(),
		State:       ticket.StateUndecided,
		Fingerprint: r.GetFingerprint(),
		Age:         time.Duration(r.GetAgeMs()) * time.Millisecond,
	}
	switch {
	case r.GetAnswer() != nil:
		parsed.State = ticket.StateAnswered
		parsed.Answer = r.GetAnswer()
	case r.GetOutcome() == bramleyv1.Outcome_OUTCOME_ALREADY_RUN:
		parsed.State = ticket.StateRan
	}
	return parsed
}

// findAdopted looks up a ticket in the records adopted from other owners.
func (e *Executor) findAdopted(ctx context.Context, req *bramleyv1.CallRequest, t ticket.Ticket) verdict {
	var v verdict
	_ = e.do(ctx, func(c *core) {
		a, ok := c.adopted[ownerID{server: t.Server, incarnation: t.Incarnation}]
		if ok {
			v = a.archive.Find(c.age(), t.Sequence, fingerprint(req))
		}
	})
	return v
}
