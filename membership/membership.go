// Package membership combines the platform's list of VMs, which lags, with the heartbeats that a process
// receives from its peers.
//
// A Table is pure: it takes the time as an argument and returns decisions. It tells a dead peer from a
// process that is itself cut off, tells a restarted peer from its predecessor at the same address by the
// incarnation, and detects that its own process was paused.
package membership

import (
	"cmp"
	"slices"
	"time"
)

// Role is the kind of VM that a member runs on.
type Role int

// Roles of members.
const (
	// RoleUnknown is the role of a member that neither the list nor a heartbeat has described.
	RoleUnknown Role = iota
	// RoleEntry is a VM with a balancer.
	RoleEntry
	// RoleUpstream is a VM with an upstream and its agent.
	RoleUpstream
)

// State is the state that a process assumes a member to be in.
type State int

// States of members.
const (
	// StateUnknown is a member that was never heard from, or a dead one that may be tried again because
	// it is listed but not monitored.
	StateUnknown State = iota
	// StateAlive is a member that was heard from recently.
	StateAlive
	// StateSuspect is a member that has been silent for longer than SuspectAfter.
	StateSuspect
	// StateDead is a member that has stopped or has been silent for longer than DeadAfter. It gets no
	// work.
	StateDead
	// StateLeaving is a member that takes no new work.
	StateLeaving
)

var stateNames = [...]string{"unknown", "alive", "suspect", "dead", "leaving"}

// String returns the name of the state.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// ListedVM is one VM in the platform's list.
type ListedVM struct {
	Name    string
	Place   string
	Address string
	Role    Role
	Leaving bool
}

// Load is the load that a member reports about itself.
type Load struct {
	Flows     uint32
	BusySlots uint32
	Slots     uint32
	Queued    uint32
}

// Heartbeat is what a member reports about itself.
type Heartbeat struct {
	Name        string
	Place       string
	Address     string
	Role        Role
	Service     uint32
	Server      uint32
	Incarnation uint64
	Revision    uint64
	Leaving     bool
	Stopped     bool
	Load        Load
}

// Member is the table's view of one process.
type Member struct {
	Name        string
	Place       string
	Address     string
	Role        Role
	Service     uint32
	Server      uint32
	Incarnation uint64
	Revision    uint64
	State       State
	Load        Load
	// Listed is set while the platform's list contains the VM.
	Listed bool
	// LastHeard is the time of the last heartbeat, or zero if there was none.
	LastHeard time.Duration
}

// Config holds the limits of a Table.
type Config struct {
	// SuspectAfter is the silence after which a member is suspected. Shorter values stop sending work
	// to a dead peer sooner; longer ones tolerate lost heartbeats.
	SuspectAfter time.Duration
	// DeadAfter is the silence after which a member counts as dead.
	DeadAfter time.Duration
	// ForgetAfter is the silence after which a member that is not listed is removed from the table.
	ForgetAfter time.Duration
	// PauseAfter is the gap between two ticks above which this process assumes that it was paused.
	PauseAfter time.Duration
	// IsolationShare is the share of monitored members that must be silent at the same time for this
	// process to suspect itself rather than them.
	IsolationShare float64
}

// DefaultConfig returns limits for one heartbeat every 500 milliseconds.
func DefaultConfig() Config {
	return Config{
		SuspectAfter:   1200 * time.Millisecond,
		DeadAfter:      2 * time.Second,
		ForgetAfter:    10 * time.Minute,
		PauseAfter:     time.Second,
		IsolationShare: 0.5,
	}
}

// TickResult is what a process must assume about itself after a tick.
type TickResult struct {
	// Paused is set if the process did not run for longer than PauseAfter, so its view is outdated.
	Paused bool
	// Gap is the time since the previous tick.
	Gap time.Duration
	// Isolated is set if most monitored members are silent, so this process is probably cut off.
	Isolated bool
}

type entry struct {
	member Member
	// heard is set once the member has sent a heartbeat.
	heard bool
	// silentSince is the start of the silence that counts against the member.
	silentSince time.Duration
	// listedLeaving is set while the platform's list marks the VM as leaving.
	listedLeaving bool
}

// Table holds what one process knows of its peers. It is not safe for concurrent use.
type Table struct {
	config  Config
	entries map[string]*entry
	// monitored holds the monitored entries, so that the cost of a tick does not depend on the length
	// of the list.
	monitored map[string]*entry
	lastSweep time.Duration
	version   uint64
	lastTick  time.Duration
	ticked    bool
	isolated  bool
}

// New returns an empty table.
func New(config Config) *Table {
	return &Table{config: config, entries: make(map[string]*entry), monitored: make(map[string]*entry)}
}

// UpdateList applies the platform's list of one place. A member that the list no longer contains stays
// in the table while it is heard from, since the list lags. An empty list is ignored: a platform
// without data must not empty the view.
func (t *Table) UpdateList(place string, vms []ListedVM) {
	if len(vms) == 0 {
		return
	}
	t.version++
	for _, e := range t.entries {
		if e.member.Place == place {
			e.member.Listed = false
			e.listedLeaving = false
		}
	}
	for _, vm := range vms {
		e := t.entry(vm.Address)
		e.member.Name = vm.Name
		e.member.Place = vm.Place
		e.member.Role = vm.Role
		e.member.Listed = true
		e.listedLeaving = vm.Leaving
		if vm.Leaving && e.member.State != StateDead {
			e.member.State = StateLeaving
		}
	}
}

// Monitor sets the members that this process exchanges heartbeats with. Only these are suspected when
// they are silent.
func (t *Table) Monitor(now time.Duration, addresses []string) {
	monitored := make(map[string]*entry, len(addresses))
	for _, address := range addresses {
		e := t.entry(address)
		if _, ok := t.monitored[address]; !ok {
			e.silentSince = now
		}
		monitored[address] = e
	}
	t.monitored = monitored
}

// RecordHeartbeat applies a heartbeat. It returns false for a stale one, whose incarnation is lower
// than one already seen at the same address.
func (t *Table) RecordHeartbeat(now time.Duration, h Heartbeat) bool {
	e := t.entry(h.Address)
	if h.Incarnation < e.member.Incarnation {
		return false
	}
	if h.Incarnation == e.member.Incarnation && h.Revision < e.member.Revision {
		h.Revision = e.member.Revision
	}
	if !e.heard || e.member.State == StateDead || h.Stopped {
		t.version++
	}
	listed := e.member.Listed
	e.member = Member{
		Name:        h.Name,
		Place:       h.Place,
		Address:     h.Address,
		Role:        h.Role,
		Service:     h.Service,
		Server:      h.Server,
		Incarnation: h.Incarnation,
		Revision:    h.Revision,
		State:       stateFromHeartbeat(h, e.listedLeaving),
		Load:        h.Load,
		Listed:      listed,
		LastHeard:   now,
	}
	e.heard = true
	e.silentSince = now
	return true
}

// stateFromHeartbeat returns the state of a member that has just sent h. A member that the platform lists
// as leaving may not know it yet.
func stateFromHeartbeat(h Heartbeat, listedLeaving bool) State {
	switch {
	case h.Stopped:
		return StateDead
	case h.Leaving || listedLeaving:
		return StateLeaving
	default:
		return StateAlive
	}
}

// Tick re-evaluates which members are silent. After a pause of this process the silence of its peers is
// its own, so no member is suspected until it has had time to send a heartbeat again.
func (t *Table) Tick(now time.Duration) TickResult {
	gap := now - t.lastTick
	paused := t.ticked && gap > t.config.PauseAfter
	t.lastTick = now
	t.ticked = true
	if paused {
		t.resetSilence(now)
	}
	t.isolated = t.detectIsolation(now)
	for _, e := range t.monitored {
		t.updateState(now, e)
	}
	t.sweep(now)
	return TickResult{Paused: paused, Gap: gap, Isolated: t.isolated}
}

func (t *Table) resetSilence(now time.Duration) {
	for _, e := range t.monitored {
		e.silentSince = now
	}
}

// detectIsolation reports whether more than the isolation share of the monitored members is silent. With
// fewer than minMonitored members it is impossible to tell which side is cut off.
func (t *Table) detectIsolation(now time.Duration) bool {
	const minMonitored = 3
	total, silent := 0, 0
	for _, e := range t.monitored {
		if !e.heard {
			continue
		}
		total++
		if now-e.silentSince > t.config.SuspectAfter {
			silent++
		}
	}
	return total >= minMonitored && float64(silent) > t.config.IsolationShare*float64(total)
}

func (t *Table) updateState(now time.Duration, e *entry) {
	if e.member.State == StateDead {
		return
	}
	silence := now - e.silentSince
	switch {
	case silence > t.config.DeadAfter && !t.isolated:
		e.member.State = StateDead
		t.version++
	case silence > t.config.SuspectAfter:
		e.member.State = StateSuspect
	}
}

// sweep removes members that have been neither listed nor heard from for a long time. A dead member that
// is still listed but not monitored returns to StateUnknown, so that it may be tried again.
func (t *Table) sweep(now time.Duration) {
	if now-t.lastSweep < t.config.ForgetAfter/10 {
		return
	}
	t.lastSweep = now
	for address, e := range t.entries {
		_, monitored := t.monitored[address]
		if e.member.Listed && !monitored && e.member.State == StateDead {
			e.member.State = StateUnknown
			t.version++
		}
		if !e.member.Listed && !monitored && now-e.silentSince > t.config.ForgetAfter {
			delete(t.entries, address)
		}
	}
}

// Version returns a number that grows with each change that may affect the set of usable members, so that
// results computed from the table can be cached.
func (t *Table) Version() uint64 {
	return t.version
}

// Isolated reports whether the last tick found this process isolated.
func (t *Table) Isolated() bool {
	return t.isolated
}

// Member returns the member at the given address.
func (t *Table) Member(address string) (Member, bool) {
	e, ok := t.entries[address]
	if !ok {
		return Member{}, false
	}
	return e.member, true
}

// Members returns all members, sorted by address.
func (t *Table) Members() []Member {
	members := make([]Member, 0, len(t.entries))
	for _, e := range t.entries {
		members = append(members, e.member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
	return members
}

// Monitored returns the members that this process exchanges heartbeats with, sorted by address.
func (t *Table) Monitored() []Member {
	members := make([]Member, 0, len(t.monitored))
	for _, e := range t.monitored {
		members = append(members, e.member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
	return members
}

// Usable returns the sorted addresses of the members of a place that requests may be sent to: those that
// are not dead.
func (t *Table) Usable(place string) []string {
	var addresses []string
	for _, e := range t.entries {
		if e.member.Place == place && e.member.State != StateDead {
			addresses = append(addresses, e.member.Address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

func (t *Table) entry(address string) *entry {
	e, ok := t.entries[address]
	if !ok {
		e = &entry{member: Member{Address: address}}
		t.entries[address] = e
	}
	return e
}
