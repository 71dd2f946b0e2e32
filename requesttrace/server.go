package requesttrace

import (
	"time"

	"github.com/bramleyrack/bramleyrack/admission"
)

// initialServiceTime is the estimate of a server that has run nothing yet.
const initialServiceTime = 20 * time.Millisecond

// server is one server of the service, with its upstream.
type server struct {
	s        *simulation
	number   int
	busyTime time.Duration

	// fifo and busy serve the FIFO dispatches.
	fifo []*call
	busy int

	// The rest serves Admission.
	gate       *admission.Gate
	dispatcher *admission.Dispatcher
	jobs       map[uint64]*job
	nextJob    uint64
	reported   admission.Peer
	// asked holds the peers whose delegations this server has declined since it was last free.
	asked []*server
}

// job is a call at the server that decides about it.
type job struct {
	call  *call
	id    uint64
	retry bool
	tried map[uint32]bool
}

func newServer(s *simulation, number int) *server {
	gate := admission.NewGate(admission.Config{
		Slots:              s.config.Slots,
		QueueLength:        s.config.QueueLength,
		InitialServiceTime: initialServiceTime,
	})
	return &server{
		s:          s,
		number:     number,
		gate:       gate,
		dispatcher: admission.NewDispatcher(gate, s.config.RetryShare, s.rnd),
		jobs:       make(map[uint64]*job),
	}
}

func (v *server) receive(c *call) {
	if v.s.config.Dispatch != Admission {
		v.fifo = append(v.fifo, c)
		v.advance()
		return
	}
	v.nextJob++
	v.place(&job{call: c, id: v.nextJob, tried: make(map[uint32]bool)})
}

// advance starts the calls of a FIFO server that have a slot.
func (v *server) advance() {
	for v.busy < v.s.config.Slots && len(v.fifo) > 0 {
		next := v.fifo[0]
		v.fifo = v.fifo[1:]
		v.busy++
		v.work(next, func() {
			v.busy--
			v.s.answered(next)
			v.advance()
		})
	}
}

// work holds the upstream for the time of a call.
func (v *server) work(c *call, done func()) {
	v.s.result.Runs++
	v.busyTime += c.request.ServiceTime
	v.s.after(c.request.ServiceTime, done)
}

// deadline is when the answer must leave the server.
func (v *server) deadline(c *call) time.Duration {
	return c.deadline() - v.s.config.CallerDelay
}

func (v *server) place(j *job) {
	place, peer := v.dispatcher.Dispatch(v.s.now, admission.Job{
		ID:           j.id,
		Deadline:     v.deadline(j.call),
		LocalAllowed: true,
		Retry:        j.retry,
		Tried:        j.tried,
	}, v.peers())
	switch place {
	case admission.Local:
		v.runHere(j)
	case admission.Delegated:
		v.delegate(j, peer)
	case admission.Queued:
		v.jobs[j.id] = j
	case admission.Refused:
		v.refuse(j)
	}
}

func (v *server) refuse(j *job) {
	left := v.deadline(j.call) - v.s.now
	v.s.refused(j.call, v.dispatcher.RetryAfter(left, v.s.config.RetryAfter))
}

func (v *server) runHere(j *job) {
	v.work(j.call, func() {
		v.apply(v.gate.Done(v.s.now, j.call.request.ServiceTime))
		v.offer()
		v.answer(j)
	})
}

func (v *server) answer(j *job) {
	v.dispatcher.Succeeded()
	v.s.answered(j.call)
}

// offer tells one peer that was declined that a slot is free now.
func (v *server) offer() {
	if !v.gate.CanStart() || len(v.asked) == 0 {
		return
	}
	asker := v.asked[0]
	v.asked = v.asked[1:]
	v.s.result.Offers++
	v.s.after(v.s.config.PeerDelay, func() {
		if id, ok := asker.dispatcher.Freed(uint32(v.number)); ok {
			asker.delegate(asker.take(id), uint32(v.number))
		}
	})
}

func (v *server) apply(change admission.Change) {
	for _, id := range change.Start {
		v.runHere(v.take(id))
	}
	for _, id := range change.Shed {
		v.refuse(v.take(id))
	}
}

func (v *server) take(id uint64) *job {
	j := v.jobs[id]
	delete(v.jobs, id)
	return j
}

// delegate asks a peer to run a job, which it does only in a slot that is free.
func (v *server) delegate(j *job, number uint32) {
	j.retry = true
	j.tried[number] = true
	peer := v.s.servers[number]
	deadline := v.deadline(j.call) - v.s.config.PeerDelay
	v.s.after(v.s.config.PeerDelay, func() {
		if !peer.gate.TryRun(v.s.now, deadline) {
			v.s.result.Declined++
			peer.asked = append(peer.asked, v)
			v.back(number, func() {
				v.dispatcher.Declined(v.s.now, number)
				v.place(j)
			})
			return
		}
		v.s.result.Delegated++
		peer.work(j.call, func() {
			peer.apply(peer.gate.Done(v.s.now, j.call.request.ServiceTime))
			peer.offer()
			v.back(number, func() { v.answer(j) })
		})
	})
}

func (v *server) back(number uint32, do func()) {
	v.s.after(v.s.config.PeerDelay, func() {
		v.dispatcher.Returned(number)
		do()
	})
}

func (v *server) peers() []admission.Peer {
	peers := make([]admission.Peer, 0, len(v.s.servers)-1)
	for _, other := range v.s.servers {
		if other != v {
			peers = append(peers, other.reported)
		}
	}
	return peers
}

// publish reports the load, as a heartbeat does.
func (v *server) publish() {
	v.reported = admission.Peer{
		Server: uint32(v.number),
		Busy:   v.gate.Busy(),
		Slots:  v.gate.Slots(),
		Queued: v.gate.Waiting(),
	}
}
