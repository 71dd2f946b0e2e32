// Package membership joins a lagging list of VMs with what a process hears from its peers.
//
// A Table is pure: the caller passes the time in, and reads decisions out. It tells a peer that
// died from a process that is itself cut off, tells a restarted peer from its predecessor at the
// same address by the incarnation, and notices that its own process was paused.
package membership

import (
	"cmp"
	"slices"
	"time"
)

// Role is the kind of VM that a member runs on.
type Role int

// The roles of members.
const (
	// RoleUnknown is the role of a member that no source has described.
	RoleUnknown Role = iota
	// RoleEntry is a VM with a balancer.
	RoleEntry
	// RoleUpstream is a VM with an upstream and its agent.
	RoleUpstream
)

// State is what a process believes of a member.
type State int

// The states of members.
const (
	// StateUnknown is a member that is listed and was never heard.
	StateUnknown State = iota
	// StateAlive is a member that was heard lately.
	StateAlive
	// StateSuspect is a member that has been silent for longer than its heartbeats allow.
	StateSuspect
	// StateDead is a member that has been silent for so long that it gets no work.
	StateDead
	// StateLeaving is a member that is alive and takes no new work.
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

// ListedVM is one VM of the platform's list.
type ListedVM struct {
	Name    string
	Place   string
	Address string
	Role    Role
	Leaving bool
}

// Load is what a member says first hand about its work.
type Load struct {
	Flows     uint32
	BusySlots uint32
	Slots     uint32
	Queued    uint32
}

// Heartbeat is what a member says of itself.
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

// Member is one process as the table sees it.
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
	// Listed says that the platform's newest list names the VM.
	Listed bool
	// LastHeard is the time of the last heartbeat; it is zero for a member that was never heard.
	LastHeard time.Duration
}

// Config holds the time limits of a Table.
type Config struct {
	// SuspectAfter is the silence after which a member is suspected. A short one stops sending
	// work to a dead peer sooner; a long one bears lost heartbeats.
	SuspectAfter time.Duration
	// DeadAfter is the silence after which a member is dead.
	DeadAfter time.Duration
	// ForgetAfter is the silence after which an unlisted member is dropped from memory.
	ForgetAfter time.Duration
	// PauseAfter is the gap between two ticks that means that this process was paused.
	PauseAfter time.Duration
	// IsolationShare is the share of monitored members that fall silent together before this
	// process suspects itself rather than them.
	IsolationShare float64
}

// DefaultConfig returns limits for heartbeats every 500 milliseconds.
func DefaultConfig() Config {
	return Config{
		SuspectAfter:   1200 * time.Millisecond,
		DeadAfter:      2 * time.Second,
		ForgetAfter:    10 * time.Minute,
		PauseAfter:     time.Second,
		IsolationShare: 0.5,
	}
}

// TickResult is what a process must believe of itself after a tick.
type TickResult struct {
	// Paused says that the process did not run for longer than PauseAfter, so its view is old.
	Paused bool
	// Gap is the time since the tick before.
	Gap time.Duration
	// Isolated says that most monitored members fell silent, so this process is likely cut off.
	Isolated bool
}

type entry struct {
	member Member
	// heard says that the member has sent a heartbeat.
	heard bool
	// since is the start of the silence that counts against the member.
	since time.Duration
	// leaving says that the platform's newest list names the VM as leaving.
	leaving bool
}

// Table is what one process knows of its peers. It is not safe for concurrent use.
type Table struct {
	config  Config
	entries map[string]*entry
	// watched are the monitored entries, so that a tick costs nothing for the rest of the list.
	watched map[string]*entry
	swept   time.Duration
	// version grows with each change of who may be asked for something.
	version  uint64
	lastTick time.Duration
	ticked   bool
	isolated bool
}

// New returns an empty table.
func New(config Config) *Table {
	return &Table{config: config, entries: make(map[string]*entry), watched: make(map[string]*entry)}
}

// UpdateList takes in the platform's list of one place. A member that the list no longer names stays
// while it is heard, since the list lags. An empty list says nothing: a platform without data
// must not empty the view.
func (t *Table) UpdateList(place string, vms []ListedVM) {
	if len(vms) == 0 {
		return
	}
	t.version++
	for _, e := range t.entries {
		if e.member.Place == place {
			e.member.Listed = false
			e.leaving = false
		}
	}
	for _, vm := range vms {
		e := t.entry(vm.Address)
		e.member.Name = vm.Name
		e.member.Place = vm.Place
		e.member.Role = vm.Role
		e.member.Listed = true
		e.leaving = vm.Leaving
		if vm.Leaving && e.member.State != StateDead {
			e.member.State = StateLeaving
		}
	}
}

// Monitor names the members that this process exchanges heartbeats with. Only they are suspected
// for silence.
func (t *Table) Monitor(now time.Duration, addresses []string) {
	watched := make(map[string]*entry, len(addresses))
	for _, address := range addresses {
		e := t.entry(address)
		if _, ok := t.watched[address]; !ok {
			e.since = now
		}
		watched[address] = e
	}
	t.watched = watched
}

// RecordHeartbeat takes in a heartbeat. It returns false for old news: a heartbeat of an incarnation below
// one that was seen at the same address.
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
		State:       heardState(h, e.leaving),
		Load:        h.Load,
		Listed:      listed,
		LastHeard:   now,
	}
	e.heard = true
	e.since = now
	return true
}

// heardState is the state of a member that has just been heard. One that the platform lists as leaving
// may not know it yet.
func heardState(h Heartbeat, listedLeaving bool) State {
	switch {
	case h.Stopped:
		return StateDead
	case h.Leaving || listedLeaving:
		return StateLeaving
	default:
		return StateAlive
	}
}

// Tick re-evaluates silence. After a pause of the process the silence of its peers is its own, so
// nobody is suspected until they had time to answer again.
func (t *Table) Tick(now time.Duration) TickResult {
	gap := now - t.lastTick
	paused := t.ticked && gap > t.config.PauseAfter
	t.lastTick = now
	t.ticked = true
	if paused {
		t.restartSilence(now)
	}
	t.isolated = t.cutOff(now)
	for _, e := range t.watched {
		t.judge(now, e)
	}
	t.sweep(now)
	return TickResult{Paused: paused, Gap: gap, Isolated: t.isolated}
}

func (t *Table) restartSilence(now time.Duration) {
	for _, e := range t.watched {
		e.since = now
	}
}

// cutOff reports whether more than the isolation share of the monitored members is silent. Two
// members are too few to tell who is cut off.
func (t *Table) cutOff(now time.Duration) bool {
	const fewest = 3
	monitored, silent := 0, 0
	for _, e := range t.watched {
		if !e.heard {
			continue
		}
		monitored++
		if now-e.since > t.config.SuspectAfter {
			silent++
		}
	}
	return monitored >= fewest && float64(silent) > t.config.IsolationShare*float64(monitored)
}

func (t *Table) judge(now time.Duration, e *entry) {
	if e.member.State == StateDead {
		return
	}
	silence := now - e.since
	switch {
	case silence > t.config.DeadAfter && !t.isolated:
		e.member.State = StateDead
		t.version++
	case silence > t.config.SuspectAfter:
		e.member.State = StateSuspect
	}
}

// sweep drops members that neither the list nor a heartbeat has named for a long time. A dead
// member that is still listed and that nobody here monitors gets another chance.
func (t *Table) sweep(now time.Duration) {
	if now-t.swept < t.config.ForgetAfter/10 {
		return
	}
	t.swept = now
	for address, e := range t.entries {
		_, watched := t.watched[address]
		if e.member.Listed && !watched && e.member.State == StateDead {
			e.member.State = StateUnknown
			t.version++
		}
		if !e.member.Listed && !watched && now-e.since > t.config.ForgetAfter {
			delete(t.entries, address)
		}
	}
}

// Version grows with each change of who may be asked for something, so that what is computed from
// the table need not be computed again.
func (t *Table) Version() uint64 {
	return t.version
}

// Isolated reports the verdict of the last tick.
func (t *Table) Isolated() bool {
	return t.isolated
}

// Member returns the member at the address.
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
	members := make([]Member, 0, len(t.watched))
	for _, e := range t.watched {
		members = append(members, e.member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
	return members
}

// Usable returns the addresses of the members of a place that may be asked for something: those
// that are not dead.
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
