package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

// The requests of the site's feed, with the mean work time, one below the largest of 330 ms, and the time budget.
const (
	usualWork = 55 * time.Millisecond
	longWork  = 300 * time.Millisecond
	budget    = 2000 * time.Millisecond
)

// publishFeed writes the configuration with one route of long flows.
func publishFeed(d *deployment, service string) {
	d.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-feed", "host": d.vip(1).Addr().String(), "prefix": fmt.Sprintf("/%d/", d.vip(1).Port()), "type": "idempotent",
			"timeout_ms": budget.Milliseconds(), "target_latency_ms": 400, "priority": 2, "service": service, "max_attempts": 2,
		}},
		"services": []map[string]any{{
			"name": service, "health_path": "/healthz", "max_connections": 2000, "protocol": "h1", "tls": false, "cold_start_s": 2.0, "cold_per_s": 0.0,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// playIdleFlow stops and starts the agent beside one of eight servers while the server's long flows are idle. More than
// contact_ms after the agent is back, the client sends the next request on each flow, which the server works on for 300 ms.
func playIdleFlow(d *deployment, trouble bool) error {
	zones := []string{"a", "b", "c", "d"}
	publishFeed(d, "feed")
	long := map[string]bool{}
	work := func(id string) time.Duration {
		d.mu.Lock()
		defer d.mu.Unlock()
		if long[id] {
			return longWork
		}
		return usualWork
	}
	for _, zone := range zones {
		d.addEdge(zone)
	}
	for i := range 8 {
		d.addServer("feed", zones[i%4], 3, work)
	}
	if err := d.start(); err != nil {
		return err
	}
	c, err := d.addClient("a")
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	held := map[*process][]*clientFlow{}
	for i := range 24 {
		f, result := c.open(d.vip(1))
		if f == nil {
			return fmt.Errorf("flow %d was not opened: %s", i, result)
		}
		if result := f.ask(fmt.Sprintf("first-%d", i), budget); result != answered {
			return fmt.Errorf("the first request on flow %s: %s", f.key, result)
		}
		for _, p := range d.sides {
			if p.server.holds(f.key) {
				held[p] = append(held[p], f)
			}
		}
	}
	var owner *process
	for p, flows := range held {
		if owner == nil || len(flows) > len(held[owner]) {
			owner = p
		}
	}
	if owner == nil {
		return errors.New("no server holds a flow")
	}
	flows := held[owner][:min(4, len(held[owner]))]
	d.record.event("%s holds %d of the flows", owner.name, len(held[owner]))
	if trouble {
		owner.signal(syscall.SIGTERM)
	}
	time.Sleep(6 * time.Second)
	for i, f := range flows {
		id := fmt.Sprintf("second-%d", i)
		d.mu.Lock()
		long[id] = true
		d.mu.Unlock()
		result := f.ask(id, budget)
		holds := owner.server.holds(f.key)
		d.record.event("request %s on %s: %s; the server holds the flow: %v", id, f.key, result, holds)
		if result == wasReset && holds {
			d.record.breaks("FLOW: the client got a reset of the system on %s, which its server still holds", f.key)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil
}
