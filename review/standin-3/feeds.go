package main

import (
	"fmt"
	"math/rand"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// feeds is the number of flows that clients keep open, each with a request after a pause of minPause to maxPause.
	feedCount          = 300
	minPause, maxPause = time.Second, 9 * time.Second
	// maxFeed is how long a client keeps a flow. The bound of the pages, max_flow_s, is 60 s.
	maxFeed = 45 * time.Second
	// contactTime is contact_ms of the deployment whose longest store outage the case takes.
	contactTime = 5 * time.Second
	// storeOutage is how long the store is down, and serverOutage how long the server is.
	storeOutage, serverOutage = 6300 * time.Millisecond, 400 * time.Millisecond
)

// noteOpened notes at which run of a server a flow has opened.
func (d *deployment) noteOpened(key flowKey, r *serverRun) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.owners == nil {
		d.owners = map[flowKey]owner{}
	}
	d.owners[key] = owner{run: r, since: time.Now()}
}

// owner is the run of the server that holds a flow, and since when.
type owner struct {
	run   *serverRun
	since time.Time
}

// ownerOf returns the owner of a flow, and whether it still runs.
func (d *deployment) ownerOf(key flowKey) (o owner, alive bool) {
	d.mu.Lock()
	o = d.owners[key]
	d.mu.Unlock()
	if o.run == nil {
		return o, false
	}
	select {
	case <-o.run.stopped:
		return o, false
	default:
		return o, true
	}
}

// feed keeps one flow at a time open until stop is closed.
func (d *deployment) feed(c *client, rnd *rand.Rand, stop <-chan struct{}, judge func(key flowKey, idle time.Duration)) {
	pause := func() bool {
		timer := time.NewTimer(minPause + time.Duration(rnd.Int63n(int64(maxPause-minPause))))
		defer timer.Stop()
		select {
		case <-stop:
			return false
		case <-timer.C:
			return true
		}
	}
	for pause() {
		f := c.open()
		if f == nil {
			d.count("not opened")
			continue
		}
		until := time.Now().Add(maxFeed/3 + time.Duration(rnd.Int63n(int64(2*maxFeed/3))))
		last := time.Now()
		for n := 0; ; n++ {
			result := f.ask(n)
			d.count(result)
			if result == "reset by the system" {
				judge(f.key, time.Since(last))
			}
			if result != "answered" || time.Now().After(until) {
				break
			}
			last = time.Now()
			if !pause() {
				f.close()
				return
			}
		}
		f.close()
	}
}

// clientFlow is an open flow of a client.
type clientFlow struct {
	c        *client
	key      flowKey
	packets  chan packet
	seq, ack uint32
}

// open opens a flow, or returns nil.
func (c *client) open() *clientFlow {
	c.mu.Lock()
	c.port++
	f := &clientFlow{c: c, packets: make(chan packet, 32), seq: 1000}
	f.key = flowKey{client: addrPort(c.ip, c.port), service: c.d.service}
	c.flows[c.port] = f.packets
	c.mu.Unlock()
	start := time.Now()
	for i := range 3 {
		c.send(f.key, packet{flags: syn, seq: f.seq, ack: uint32(i)})
		p, ok := next(f.packets, start.Add(copyTimes[i+1]))
		switch {
		case ok && p.flags&rst == 0:
			f.seq++
			f.ack = p.seq + 1
			return f
		case ok:
			f.forget()
			return nil
		}
	}
	f.forget()
	return nil
}

func (f *clientFlow) forget() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.key.client.Port())
}

func (f *clientFlow) close() {
	f.c.send(f.key, packet{flags: ack | fin, seq: f.seq, ack: f.ack})
	f.forget()
}

// ask sends the request with the given number and waits for the answer.
func (f *clientFlow) ask(n int) string {
	payload := fmt.Appendf(nil, "ask %s-%d", f.key.client, n)
	want := "done " + string(payload)
	deadline := time.Now().Add(timeBudget)
	for wait := 200 * time.Millisecond; time.Now().Before(deadline); wait = min(2*wait, 1600*time.Millisecond) {
		f.c.send(f.key, packet{flags: ack, seq: f.seq, ack: f.ack, payload: payload})
		again := time.Now().Add(wait)
		for {
			p, ok := next(f.packets, again)
			if !ok {
				break
			}
			switch {
			case p.flags&rst != 0 && p.checksum != 0:
				return "reset by the server"
			case p.flags&rst != 0 && p.seq-f.ack+76800 <= 2*76800:
				return "reset by the system"
			case string(p.payload) == "busy":
				f.seq += uint32(len(payload))
				return "rejected"
			case string(p.payload) == want:
				f.seq += uint32(len(payload))
				return "answered"
			}
		}
	}
	return "timed out"
}

// playFeeds plays the case of long flows and returns the exit status: 0 if the rule held, 1 if it was broken, 2 if it could
// not run.
func playFeeds(recordPath, programs, logs string, seed int64, trouble bool) int {
	d, end, err := newDeployment(recordPath, programs, logs)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer end()
	d.serverZones = []string{"south", "south", "south"}
	d.record("seed %d, disruption: %v", seed, trouble)
	if err := d.build(); err != nil {
		d.record("could not run: %v", err)
		return 2
	}
	d.traffic = time.Now()
	d.record("traffic begins: %d long flows from zone %s to servers in zone south", feedCount, clientZone)
	var broken, excused, lost atomic.Int64
	// calm is the time from which no disruption counts any more, in Unix nanoseconds.
	var calm atomic.Int64
	judge := func(key flowKey, idle time.Duration) {
		o, alive := d.ownerOf(key)
		switch age := time.Since(o.since); {
		case !alive:
			lost.Add(1)
		case time.Now().UnixNano() < calm.Load():
			excused.Add(1)
			d.record("flow %v to server %s (run since %.3f s) was reset; excused, within contact_ms of a disruption", key.client, o.run.id, o.run.born.Sub(d.began).Seconds())
		default:
			broken.Add(1)
			d.record("FLOW BROKEN: flow %v, open at server %s (run since %.3f s) for %.1f s, idle for %.1f s before the request, was reset by the system; the server lives",
				key.client, o.run.id, o.run.born.Sub(d.began).Seconds(), age.Seconds(), idle.Seconds())
		}
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range feedCount {
		rnd := rand.New(rand.NewSource(seed*1000 + int64(i)))
		group.Go(func() { d.feed(d.clients[i%len(d.clients)], rnd, stop, judge) })
	}
	time.Sleep(20 * time.Second)
	for range 2 {
		if trouble {
			calm.Store(time.Now().Add(time.Hour).UnixNano())
			d.store.setDown(true)
			d.record("the store is down")
			time.Sleep(300 * time.Millisecond)
			s := d.servers[0]
			s.crash()
			d.record("server %s has crashed", s.id)
			time.Sleep(serverOutage)
			if err := s.start(); err != nil {
				d.record("could not run: %v", err)
				return 2
			}
			d.record("server %s runs again", s.id)
			time.Sleep(storeOutage - 300*time.Millisecond - serverOutage)
			d.store.setDown(false)
			calm.Store(time.Now().Add(contactTime).UnixNano())
			d.record("the store answers again; all machines are in touch %v later", contactTime)
		}
		time.Sleep(22 * time.Second)
	}
	close(stop)
	group.Wait()
	d.mu.Lock()
	counts := fmt.Sprint(d.counts)
	d.mu.Unlock()
	d.record("requests: %s", counts)
	d.record("resets by the system: %d of lost flows, %d excused, %d that break the rule", lost.Load(), excused.Load(), broken.Load())
	switch {
	case d.counts["answered"] == 0:
		return 2
	case broken.Load() > 0:
		return 1
	}
	return 0
}
