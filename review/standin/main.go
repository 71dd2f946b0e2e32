// Command standin plays the cases of the review that are scripts. It starts the system's own programs as separate
// processes, and stands in for the platform's store and routers, the servers and the clients.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays one case. trouble is not set if the disruption is left out.
type scenario func(d *deployment, trouble bool) error

var scenarios = map[string]scenario{
	"foreign-entry": foreignEntry,
	"idle-timeout":  idleTimeout,
	"moved-route":   movedRoute,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(scenarios[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(run scenario, path string, trouble bool) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r.excused = func(f *clientFlow, idle time.Duration) string {
		switch {
		case time.Since(f.openedAt) > maxFlowAge:
			return "the flow is older than max_flow_s"
		case idle > defaultIdle:
			return "the flow was idle for longer than idle_timeout_ms"
		}
		return ""
	}
	r.log("trouble: %v", trouble)
	d, err := newDeployment(r)
	if d != nil {
		defer d.stop()
	}
	if err == nil {
		err = run(d, trouble)
	}
	r.log("orders done: %d, rules broken: %d times", r.done, r.breaches)
	switch {
	case r.breaches > 0:
		fmt.Println("broken:", r.breaches)
		return exitBroken
	case err != nil:
		r.log("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	fmt.Println("held")
	return exitHeld
}

// openFlows opens flows and sends one order over each.
func openFlows(d *deployment, count int) ([]*clientFlow, error) {
	var flows []*clientFlow
	for range count {
		f := d.client.open(d.orderAddress())
		if f == nil {
			return nil, fmt.Errorf("flow %d did not open", len(flows)+1)
		}
		if outcome := f.order(); outcome != "done" {
			return nil, fmt.Errorf("first order of flow %v: %s", f.key.client, outcome)
		}
		flows = append(flows, f)
	}
	return flows, nil
}

// orderOnAll sends one order over each flow, all at the same time, and returns the flows that were answered.
func orderOnAll(flows []*clientFlow) (answered []*clientFlow) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, f := range flows {
		group.Go(func() {
			if f.order() == "done" {
				mu.Lock()
				answered = append(answered, f)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return answered
}

// idleTimeout raises idle_timeout_ms from 15 s to 30 s. Half of the flows are then idle for 10 s, the others for 20 s.
func idleTimeout(d *deployment, trouble bool) error {
	const flowCount = 12
	flows, err := openFlows(d, flowCount)
	if err != nil {
		return err
	}
	if trouble {
		raised := 2 * defaultIdle
		d.publish(signals, raised)
		plain := d.record.excused
		d.record.excused = func(f *clientFlow, idle time.Duration) string {
			if idle > defaultIdle && idle <= raised {
				idle = defaultIdle
			}
			return plain(f, idle)
		}
	}
	time.Sleep(10 * time.Second)
	if short := flows[:flowCount/2]; len(orderOnAll(short)) < len(short) {
		d.record.log("orders after a short pause were not all answered")
	}
	time.Sleep(10 * time.Second)
	orderOnAll(flows[flowCount/2:])
	return nil
}

// foreignEntry lets another writer write an entry of a service that no configuration names, with the address of a machine
// whose server holds flows. Their clients go on sending orders.
func foreignEntry(d *deployment, trouble bool) error {
	const flowCount, rounds = 21, 8
	// The system has known all routes of the last max_flow_s by then.
	time.Sleep(maxFlowAge + 2*time.Second)
	flows, err := openFlows(d, flowCount)
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	flows = orderOnAll(flows)
	if trouble {
		m := d.busiestMachine(flows)
		d.store.put("servers/x-metrics-1", map[string]any{
			"service": "metrics-exporter", "address": fmt.Sprintf("%v:%d", m.ip, d.ports.app+3), "zone": m.zone, "version": "v1", "concurrency": 1,
			"state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
		})
		d.record.log("another writer wrote an entry of the service metrics-exporter with the IP of %s", m.name)
	}
	for range rounds {
		time.Sleep(time.Second)
		flows = orderOnAll(flows)
	}
	return nil
}

// busiestMachine returns the machine whose server holds the most of the flows.
func (d *deployment) busiestMachine(flows []*clientFlow) *machine {
	held := map[*server]int{}
	for _, f := range flows {
		held[d.record.owner(f.key)]++
	}
	var busiest *machine
	for _, m := range d.machines {
		if m.server != nil && (busiest == nil || held[m.server] > held[busiest.server]) {
			busiest = m
		}
	}
	return busiest
}

// movedRoute moves the route of the orders to the other service, and kills all processes of the system some seconds later.
// They start again at once. The clients send their next orders when every machine has been undisturbed for contact_ms.
func movedRoute(d *deployment, trouble bool) error {
	flows, err := openFlows(d, 12)
	if err != nil {
		return err
	}
	if trouble {
		d.publish(reports, defaultIdle)
		time.Sleep(4 * time.Second)
		d.record.log("all processes of the system are killed")
		for _, m := range d.machines {
			m.kill()
		}
		time.Sleep(500 * time.Millisecond)
		for _, m := range d.machines {
			if err := d.start(m); err != nil {
				return err
			}
		}
		if err := d.awaitReady(); err != nil {
			return err
		}
		d.record.log("all processes run again and are ready")
		time.Sleep(contact + 2*time.Second)
	} else {
		time.Sleep(11 * time.Second)
	}
	orderOnAll(flows)
	return nil
}
