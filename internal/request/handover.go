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
			c.sealed = c.sealed || idle
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

// ExportRecords returns the memory of every used ticket. It ends the start of requests for good.
func (e *Executor) ExportRecords() []*bramleyv1.TicketRecord {
	return e.export(&bramleyv1.Identity{})[0].records
}

// estate is the memory of one owner, as it is handed to a successor.
type estate struct {
	from    *bramleyv1.Identity
	bounds  ticket.Bounds
	records []*bramleyv1.TicketRecord
}

// export returns the memory of this owner first, and then that of the owners that it has succeeded.
func (e *Executor) export(from *bramleyv1.Identity) []estate {
	var estates []estate
	_ = e.do(context.Background(), func(c *core) {
		c.draining = true
		c.sealed = true
		age := c.age()
		bounds, records := c.ledger.Export(age)
		estates = append([]estate{{from: from, bounds: bounds, records: messages(records)}}, c.inherited(age, from)...)
	})
	return estates
}

// inherited returns the memory of the owners that this one has succeeded.
func (c *core) inherited(age time.Duration, from *bramleyv1.Identity) []estate {
	var estates []estate
	for owner, adopted := range c.archives {
		bounds, records, complete := adopted.records.Export(age)
		if !complete {
			continue
		}
		identity := &bramleyv1.Identity{Service: from.GetService(), Server: owner.server, Incarnation: owner.incarnation}
		estates = append(estates, estate{from: identity, bounds: bounds, records: messages(records)})
	}
	return estates
}

func messages(records []record) []*bramleyv1.TicketRecord {
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

// HandOver sends every record to a successor in messages of bounded size. A nil error means that the
// successor has them all and answers for this owner, and for those that it has succeeded, from then on.
func (e *Executor) HandOver(ctx context.Context, from *bramleyv1.Identity, send func(context.Context, *bramleyv1.HandOverRequest) (*bramleyv1.HandOverResponse, error)) error {
	for _, estate := range e.export(from) {
		for _, message := range estate.batches() {
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

func (s estate) batches() []*bramleyv1.HandOverRequest {
	message := &bramleyv1.HandOverRequest{From: s.from}
	var messages []*bramleyv1.HandOverRequest
	size := 0
	for _, r := range s.records {
		if size > handOverBytes {
			messages = append(messages, message)
			message = &bramleyv1.HandOverRequest{From: s.from}
			size = 0
		}
		message.Records = append(message.Records, r)
		size += proto.Size(r)
	}
	message.FirstSequence = s.bounds.Floor
	message.NextSequence = s.bounds.Next
	message.Last = true
	return append(messages, message)
}

// Adopt takes records of a leaving owner of the same service.
func (e *Executor) Adopt(req *bramleyv1.HandOverRequest) *bramleyv1.HandOverResponse {
	accepted := false
	_ = e.do(context.Background(), func(c *core) {
		accepted = req.GetFrom().GetService() == e.config.Service && c.adopt(req)
	})
	return &bramleyv1.HandOverResponse{Accepted: accepted}
}

func (c *core) adopt(req *bramleyv1.HandOverRequest) bool {
	from := source{server: req.GetFrom().GetServer(), incarnation: req.GetFrom().GetIncarnation()}
	a, ok := c.archives[from]
	if !ok {
		if c.draining || len(c.archives) >= maxArchives {
			return false
		}
		a = &adopted{
			at:      c.now,
			records: ticket.NewArchive[*bramleyv1.CallResponse](c.policy.RecordBytes, c.policy.RecordLifetime),
		}
		c.archives[from] = a
	}
	a.records.SetLimit(c.policy.RecordBytes - c.adoptedBytes() + a.records.AnswerBytes())
	for _, r := range req.GetRecords() {
		a.records.Add(c.age(), adoptedRecord(r), proto.Size(r.GetAnswer()))
	}
	if req.GetLast() {
		a.records.Complete(ticket.Bounds{Floor: req.GetFirstSequence(), Next: req.GetNextSequence()})
	}
	return true
}

// adoptedBytes returns the size of all adopted answers, which together have the bound of the own ones.
func (c *core) adoptedBytes() int {
	total := 0
	for _, a := range c.archives {
		total += a.records.AnswerBytes()
	}
	return total
}

// forget drops the records of owners whose tickets have expired.
func (c *core) forget() {
	for from, a := range c.archives {
		if c.now.Sub(a.at) > c.policy.TicketLifetime+c.policy.RecordLifetime {
			delete(c.archives, from)
		}
	}
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
			v = a.records.Find(c.age(), t.Sequence, fingerprint(req))
		}
	})
	return v
}
