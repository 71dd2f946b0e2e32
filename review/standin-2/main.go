// Command standin-2 plays the cases 6 to 10 of the review: it starts the system's programs on loopback addresses, with
// stand-ins for the platform, the servers and the clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// play plays a case. trouble is false if the disruption is left out.
type play func(d *deployment, trouble bool) error

// plan is a case with the bounds of its deployment.
type plan struct {
	bounds map[string]any
	play   play
}

var cases = map[string]plan{
	"idle-flow":   {grownBounds, playIdleFlow},
	"moved-route": {smallBounds, playMovedRoute},
}

// smallBounds are those of the small deployments.
var smallBounds = map[string]any{
	"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 4000, "ack_ms": 5000, "catchup_s": 4, "drain_ms": 3000, "grace_s": 6,
	"loss_slack_ms": 200, "config_apply_ms": 3000, "downgrade_slack_ms": 250, "max_stretch_ms": 12000, "recovery_s": 12,
	"flow_reorder_ms": 2000, "max_flow_s": 60,
}

// grownBounds are those of the grown deployments.
var grownBounds = map[string]any{
	"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 5000, "ack_ms": 8000, "catchup_s": 6, "drain_ms": 5000, "grace_s": 6,
	"loss_slack_ms": 200, "config_apply_ms": 5000, "downgrade_slack_ms": 250, "max_stretch_ms": 15000, "recovery_s": 15,
	"flow_reorder_ms": 2000, "max_flow_s": 60,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE ROOT RECORD")
		return notRun
	}
	p, ok := cases[os.Args[1]]
	root, err := filepath.Abs(os.Args[2])
	if !ok || err != nil {
		fmt.Fprintln(os.Stderr, "unknown case or root:", os.Args[1], err)
		return notRun
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.event("case %s, disruption: %v", os.Args[1], trouble)
	d, err := newDeployment(r, root, dir, p.bounds)
	if err == nil {
		interrupted := make(chan os.Signal, 1)
		signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
		played := make(chan error, 1)
		go func() { played <- p.play(d, trouble) }()
		select {
		case err = <-played:
		case s := <-interrupted:
			err = fmt.Errorf("interrupted by the signal %v", s)
		}
		d.stop()
		time.Sleep(200 * time.Millisecond)
	}
	if err != nil {
		r.event("the case could not run: %v", err)
		r.close()
		fmt.Println("could not run:", err)
		return notRun
	}
	if n := r.close(); n > 0 {
		fmt.Printf("the rule was broken %d times\n", n)
		return ruleBroken
	}
	fmt.Println("the rule held")
	return ruleHeld
}
