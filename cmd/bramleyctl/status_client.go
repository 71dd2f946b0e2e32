package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/peer"
)

// maxConcurrentCalls bounds the number of Status calls in flight.
const maxConcurrentCalls = 64

// Values of processStatus.Note.
const (
	noteNone        = ""
	noteLags        = "lags"
	noteUnreachable = "unreachable"
)

// statusReport holds the status of all queried processes.
type statusReport struct {
	Revision  uint64          `json:"revision"`
	InForce   bool            `json:"in_force"`
	WaitedMs  int64           `json:"waited_ms"`
	Processes []processStatus `json:"processes"`
}

// processStatus is the status of one process, or the error if it could not be queried.
type processStatus struct {
	Address         string            `json:"address"`
	Note            string            `json:"note,omitempty"`
	Error           string            `json:"error,omitempty"`
	VM              string            `json:"vm,omitempty"`
	Place           string            `json:"place,omitempty"`
	Role            string            `json:"role,omitempty"`
	Service         uint32            `json:"service,omitempty"`
	Server          uint32            `json:"server,omitempty"`
	State           string            `json:"state,omitempty"`
	Revision        uint64            `json:"revision"`
	RevisionAgeMs   uint64            `json:"revision_age_ms"`
	Flows           uint32            `json:"flows"`
	BusySlots       uint32            `json:"busy_slots"`
	Slots           uint32            `json:"slots"`
	Queued          uint32            `json:"queued"`
	RefusedRevision uint64            `json:"refused_revision,omitempty"`
	Findings        []string          `json:"findings,omitempty"`
	ControlBytes    map[string]uint64 `json:"control_bytes,omitempty"`
}

// statusClient queries the status of processes over their peer addresses.
type statusClient struct {
	pool *peer.Pool
}

// queryAll queries every target concurrently and evaluates the answers.
func (c *statusClient) queryAll(ctx context.Context, targets *targets) *statusReport {
	report := &statusReport{Revision: targets.revision, Processes: make([]processStatus, len(targets.addresses))}
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for i, address := range targets.addresses {
		group.Go(func() error {
			report.Processes[i] = c.query(ctx, address)
			return nil
		})
	}
	_ = group.Wait()
	report.evaluate()
	return report
}

func (c *statusClient) query(ctx context.Context, address string) processStatus {
	ctx, cancel := context.WithTimeout(ctx, statusCallTimeout)
	defer cancel()
	client, err := c.pool.Client(ctx, address)
	if err != nil {
		return processStatus{Address: address, Error: err.Error()}
	}
	answer, err := client.Status(ctx, &bramleyv1.StatusRequest{})
	if err != nil {
		return processStatus{Address: address, Error: err.Error()}
	}
	return newProcessStatus(address, answer)
}

func newProcessStatus(address string, answer *bramleyv1.StatusResponse) processStatus {
	id, load := answer.GetIdentity(), answer.GetLoad()
	return processStatus{
		Address:         address,
		VM:              id.GetVm(),
		Place:           id.GetPlace(),
		Role:            roleName(id.GetRole()),
		Service:         id.GetService(),
		Server:          id.GetServer(),
		State:           strings.ToLower(strings.TrimPrefix(answer.GetState().String(), "PROCESS_STATE_")),
		Revision:        answer.GetRevision(),
		RevisionAgeMs:   answer.GetRevisionAgeMs(),
		Flows:           load.GetFlows(),
		BusySlots:       load.GetBusySlots(),
		Slots:           load.GetSlots(),
		Queued:          load.GetQueued(),
		RefusedRevision: answer.GetRefusedRevision(),
		Findings:        answer.GetFindings(),
		ControlBytes:    answer.GetControlBytes(),
	}
}

func roleName(role bramleyv1.VMRole) string {
	switch role {
	case bramleyv1.VMRole_VM_ROLE_ENTRY:
		return "balancer"
	case bramleyv1.VMRole_VM_ROLE_UPSTREAM:
		return "agent"
	}
	return "unknown"
}

// evaluate marks the processes that are unreachable or lag behind the wanted revision, and determines
// whether it is in force in all of them. If no revision is wanted, it uses the highest reported one.
func (r *statusReport) evaluate() {
	if r.Revision == 0 {
		for _, p := range r.Processes {
			r.Revision = max(r.Revision, p.Revision)
		}
	}
	for i := range r.Processes {
		p := &r.Processes[i]
		switch {
		case p.Error != "":
			p.Note = noteUnreachable
		case p.Revision < r.Revision || p.Revision == 0:
			p.Note = noteLags
		}
	}
	r.InForce = r.count(noteNone) == len(r.Processes)
}

func (r *statusReport) count(note string) int {
	n := 0
	for _, p := range r.Processes {
		if p.Note == note {
			n++
		}
	}
	return n
}

// refusals returns each finding about a refused revision once, with the number of processes that report it.
func (r *statusReport) refusals() []string {
	var order []string
	seen := make(map[string]int)
	for _, p := range r.Processes {
		for _, finding := range p.Findings {
			text := fmt.Sprintf("revision %d refused: %s", p.RefusedRevision, finding)
			if seen[text] == 0 {
				order = append(order, text)
			}
			seen[text]++
		}
	}
	for i, text := range order {
		order[i] = fmt.Sprintf("%s (by %d processes)", text, seen[text])
	}
	return order
}

func (p *processStatus) tableRow() []string {
	if p.Error != "" {
		return []string{p.Address, "-", "-", "-", "-", "-", "-", "-", "-", "-", p.Note + ": " + p.Error}
	}
	age := time.Duration(p.RevisionAgeMs) * time.Millisecond
	return []string{
		p.Address, p.VM, p.Place, p.Role, p.State, fmt.Sprint(p.Revision), age.String(),
		fmt.Sprint(p.Flows), p.busySlots(), fmt.Sprint(p.Queued), p.Note,
	}
}

// busySlots returns the busy and the total number of slots as text. A balancer has no slots.
func (p *processStatus) busySlots() string {
	if p.Slots == 0 {
		return "-"
	}
	return fmt.Sprintf("%d/%d", p.BusySlots, p.Slots)
}
