package requesttrace

import (
	"time"

	"github.com/bramleyrack/bramleyrack/admission"
)

// initialServiceTime is the estimated service time of a server that has not run a request yet.
const initialServiceTime = 20 * time.Millisecond

// server is one server of the service with its upstream.
type server struct {
	sim      *simulation
	number   int
	busyTime time.Duration

	// fifo is the queue and busy the number of running calls under the FIFO dispatch policies.
	fifo []*call
	busy int

	// The remaining fields are used under Admission.
	gate         *admission.Gate
	dispatcher   *admission.Dispatcher
	jobs         map[uint64]*job
	nextJob      uint64
	reportedLoad admission.Peer
	// declinedPeers holds the peers whose delegations this server has declined and that it has not yet offered a slot,
	// oldest first.
	declinedPeers []*server
}

// job is a call at the server that received it and decides where it runs.
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
		sim:        s,
		number:     number,
		gate:       gate,
		dispatcher: admission.NewDispatcher(gate, s.config.RetryShare, s.rnd),
		jobs:       make(map[uint64]*job),
	}
}

func (srv *server) receive(c *call) {
	if srv.sim.config.Dispatch != Admission {
		srv.fifo = append(srv.fifo, c)
		srv.startQueued()
		return
	}
	srv.nextJob++
	srv.dispatch(&job{call: c, id: srv.nextJob, tried: make(map[uint32]bool)})
}

// startQueued starts queued calls of a FIFO server while slots are free.
func (srv *server) startQueued() {
	for srv.busy < srv.sim.config.Slots && len(srv.fifo) > 0 {
		next := srv.fifo[0]
		srv.fifo = srv.fifo[1:]
		srv.busy++
		srv.run(next, func() {
			srv.busy--
			srv.sim.sendAnswer(next)
			srv.startQueued()
		})
	}
}

// run occupies a slot of the upstream for the service time of a call and then calls done.
func (srv *server) run(c *call, done func()) {
	srv.sim.result.Runs++
	srv.busyTime += c.request.ServiceTime
	srv.sim.after(c.request.ServiceTime, done)
}

// deadline returns the time by which the server must send the answer so that it reaches the caller in time.
func (srv *server) deadline(c *call) time.Duration {
	return c.deadline() - srv.sim.config.CallerDelay
}

func (srv *server) dispatch(j *job) {
	placement, peer := srv.dispatcher.Dispatch(srv.sim.now, admission.Job{
		ID:           j.id,
		Deadline:     srv.deadline(j.call),
		LocalAllowed: true,
		Retry:        j.retry,
		Tried:        j.tried,
	}, srv.peers())
	switch placement {
	case admission.Local:
		srv.runLocally(j)
	case admission.Delegated:
		srv.delegate(j, peer)
	case admission.Queued:
		srv.jobs[j.id] = j
	case admission.Refused:
		srv.refuse(j)
	}
}

func (srv *server) refuse(j *job) {
	left := srv.deadline(j.call) - srv.sim.now
	srv.sim.sendRefusal(j.call, srv.dispatcher.RetryAfter(left, srv.sim.config.RetryAfter))
}

func (srv *server) runLocally(j *job) {
	srv.run(j.call, func() {
		srv.applyChange(srv.gate.Done(srv.sim.now, j.call.request.ServiceTime))
		srv.offer()
		srv.answer(j)
	})
}

func (srv *server) answer(j *job) {
	srv.dispatcher.Succeeded()
	srv.sim.sendAnswer(j.call)
}

// offer tells the peer that has waited longest since it was declined that a slot is free.
func (srv *server) offer() {
	if !srv.gate.CanStart() || len(srv.declinedPeers) == 0 {
		return
	}
	peer := srv.declinedPeers[0]
	srv.declinedPeers = srv.declinedPeers[1:]
	srv.sim.result.Offers++
	srv.sim.after(srv.sim.config.PeerDelay, func() {
		if id, ok := peer.dispatcher.AcceptOffer(uint32(srv.number)); ok {
			peer.delegate(peer.takeJob(id), uint32(srv.number))
		}
	})
}

func (srv *server) applyChange(change admission.Change) {
	for _, id := range change.Start {
		srv.runLocally(srv.takeJob(id))
	}
	for _, id := range change.Shed {
		srv.refuse(srv.takeJob(id))
	}
}

func (srv *server) takeJob(id uint64) *job {
	j := srv.jobs[id]
	delete(srv.jobs, id)
	return j
}

// delegate sends a job to a peer, which runs it if it has a free slot and otherwise declines it.
func (srv *server) delegate(j *job, number uint32) {
	j.retry = true
	j.tried[number] = true
	peer := srv.sim.servers[number]
	deadline := srv.deadline(j.call) - srv.sim.config.PeerDelay
	srv.sim.after(srv.sim.config.PeerDelay, func() {
		if !peer.gate.TryRun(srv.sim.now, deadline) {
			srv.sim.result.Declined++
			peer.declinedPeers = append(peer.declinedPeers, srv)
			srv.returnToOrigin(number, func() {
				srv.dispatcher.Declined(srv.sim.now, number)
				srv.dispatch(j)
			})
			return
		}
		srv.sim.result.Delegated++
		peer.run(j.call, func() {
			peer.applyChange(peer.gate.Done(srv.sim.now, j.call.request.ServiceTime))
			peer.offer()
			srv.returnToOrigin(number, func() { srv.answer(j) })
		})
	})
}

func (srv *server) returnToOrigin(number uint32, do func()) {
	srv.sim.after(srv.sim.config.PeerDelay, func() {
		srv.dispatcher.Returned(number)
		do()
	})
}

func (srv *server) peers() []admission.Peer {
	peers := make([]admission.Peer, 0, len(srv.sim.servers)-1)
	for _, other := range srv.sim.servers {
		if other != srv {
			peers = append(peers, other.reportedLoad)
		}
	}
	return peers
}

// reportLoad updates the load that the peers see, as a heartbeat does.
func (srv *server) reportLoad() {
	srv.reportedLoad = admission.Peer{
		Server: uint32(srv.number),
		Busy:   srv.gate.Busy(),
		Slots:  srv.gate.Slots(),
		Queued: srv.gate.Waiting(),
	}
}
