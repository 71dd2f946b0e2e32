package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// reorderTime is flow_reorder_ms, and maxElsewhere the number of packets of a flow that may reach other servers meanwhile
// while none reaches its own.
const (
	reorderTime  = 2 * time.Second
	maxElsewhere = 2
)

// arrival is a packet of a flow that reached a server.
type arrival struct {
	server string
	at     time.Time
}

// publishMoved writes a configuration whose only route with traffic goes to the given service.
func publishMoved(d *deployment, version int, service string) {
	d.store.put("op/config", map[string]any{
		"version": version,
		"routes": []map[string]any{
			{
				"name": "r-push", "host": d.vip(1).Addr().String(), "prefix": fmt.Sprintf("/%d/", d.vip(1).Port()), "type": "non_idempotent",
				"timeout_ms": 5000, "target_latency_ms": 300, "priority": 1, "service": service, "max_attempts": 2,
			},
			{
				"name": "r-report", "host": d.vip(2).Addr().String(), "prefix": fmt.Sprintf("/%d/", d.vip(2).Port()), "type": "download",
				"timeout_ms": 8000, "target_latency_ms": 500, "priority": 2, "service": "report", "max_attempts": 2,
			},
		},
		"services": []map[string]any{
			{"name": "signal", "health_path": "/healthz", "max_connections": 2000, "protocol": "h1", "tls": false, "cold_start_s": 2.0, "cold_per_s": 0.0},
			{"name": "report", "health_path": "/healthz", "max_connections": 2000, "protocol": "h1", "tls": false, "cold_start_s": 2.0, "cold_per_s": 0.0},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// playMovedRoute moves a route from one service to the other while flows are open, and then kills all processes once. More
// than contact_ms after they are back, the clients send the next request on each flow.
func playMovedRoute(d *deployment, trouble bool) error {
	zones := []string{"a", "b", "c"}
	work := func(string) time.Duration { return 72 * time.Millisecond }
	publishMoved(d, 7, "signal")
	for i := range 4 {
		d.addEdge(zones[i%3])
	}
	for i := range 10 {
		service := "signal"
		if i >= 7 {
			service = "report"
		}
		d.addServer(service, zones[i%3], 7, work)
	}
	if err := d.start(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	var flows []*clientFlow
	owners := map[flowKey]*server{}
	for i := range 9 {
		c, err := d.addClient(zones[i%3])
		if err != nil {
			return err
		}
		f, result := c.open(d.vip(1))
		if f == nil {
			return fmt.Errorf("flow %d was not opened: %s", i, result)
		}
		if result := f.ask(fmt.Sprintf("first-%d", i), 5*time.Second); result != answered {
			return fmt.Errorf("the first request on flow %s: %s", f.key, result)
		}
		flows = append(flows, f)
		for _, s := range d.servers {
			if s.holds(f.key) {
				owners[f.key] = s
			}
		}
	}
	if len(owners) != len(flows) {
		return errors.New("a flow is held by no server")
	}
	publishMoved(d, 9, "report")
	d.record.event("the route moves from service signal to service report")
	time.Sleep(4 * time.Second)
	if trouble {
		for _, p := range append(append([]*process{}, d.edges...), d.sides...) {
			p.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(6 * time.Second)
	var asked sync.WaitGroup
	for i, f := range flows {
		asked.Go(func() {
			result := f.ask(fmt.Sprintf("second-%d", i), 4*time.Second)
			d.record.event("request second-%d on %s: %s; server %s holds the flow: %v", i, f.key, result, owners[f.key].id, owners[f.key].holds(f.key))
		})
	}
	asked.Wait()
	for _, f := range flows {
		judgeReordering(d, f, owners[f.key])
	}
	return nil
}

// judgeReordering checks that in no span of reorderTime more than maxElsewhere of the client's packets reach other servers
// and none the flow's own. A packet counts once, however many servers it reaches.
func judgeReordering(d *deployment, f *clientFlow, owner *server) {
	if !owner.holds(f.key) {
		return
	}
	arrivals := d.arrivalsOf(f.key)
	for _, first := range f.transmitted {
		elsewhere, own := 0, 0
		for i, sent := range f.transmitted {
			next := first.Add(reorderTime)
			if i+1 < len(f.transmitted) && f.transmitted[i+1].Before(next) {
				next = f.transmitted[i+1]
			}
			reached := false
			for _, a := range arrivals {
				if sent.Before(first) || a.at.Before(sent) || !a.at.Before(next) {
					continue
				}
				if a.server == owner.id {
					own++
				} else {
					reached = true
				}
			}
			if reached {
				elsewhere++
			}
		}
		if elsewhere > maxElsewhere && own == 0 {
			d.record.breaks("FLOW: within %v, %d packets of %s reached other servers and none its own, %s, which holds it", reorderTime, elsewhere, f.key, owner.id)
			return
		}
	}
}
