// Package platform is a stand-in for the platform of the users: published values that can be read
// and watched, a lagging list of VMs, a call budget, and switches for outage, staleness and latency.
package platform

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"time"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

// Errors of reads.
var (
	// ErrOutage is the answer to every read during an outage.
	ErrOutage = errors.New("platform is down")
	// ErrBudget is the answer to a call above the budget of the second.
	ErrBudget = errors.New("call budget of this second is used up")
	// ErrNoKey is the answer to a read of a key that was never published.
	ErrNoKey = errors.New("no such key")
)

// maxValueBytes is the largest value that can be published.
const maxValueBytes = 1 << 20

// Config holds the fixed properties of a Store.
type Config struct {
	// CallsPerSecond is the budget over all readers; more calls in one second are refused.
	CallsPerSecond int
	// Now returns the time; time.Now when nil.
	Now func() time.Time
}

type version struct {
	revision uint64
	value    []byte
}

type vmChange struct {
	at     time.Time
	vm     *bramleyv1.VM
	remove bool
}

// Store holds what the platform has published. Its methods may be called concurrently.
type Store struct {
	config Config

	mu       sync.Mutex
	revision uint64
	versions map[string][]version
	changed  chan struct{}
	vms      map[string]*bramleyv1.VM
	pending  []vmChange
	fault    *bramleyv1.SetFaultRequest
	budget   budget
}

// New returns an empty store.
func New(config Config) *Store {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Store{
		config:   config,
		versions: make(map[string][]version),
		changed:  make(chan struct{}),
		vms:      make(map[string]*bramleyv1.VM),
		fault:    &bramleyv1.SetFaultRequest{},
		budget:   budget{perSecond: config.CallsPerSecond},
	}
}

// Publish stores a value under the next revision.
func (s *Store) Publish(key string, value []byte) (uint64, error) {
	if len(value) > maxValueBytes {
		return 0, errors.New("value is larger than a megabyte")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.versions[key] = append(s.versions[key], version{revision: s.revision, value: slices.Clone(value)})
	s.wake()
	return s.revision, nil
}

// SetVM changes the list of VMs; readers see the change after the lag in force now.
func (s *Store) SetVM(vm *bramleyv1.VM, remove bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lag := time.Duration(s.fault.GetVmListLagMs()) * time.Millisecond
	s.pending = append(s.pending, vmChange{at: s.config.Now().Add(lag), vm: vm, remove: remove})
}

// SetFault sets every switch at once and wakes the waiting watches.
func (s *Store) SetFault(fault *bramleyv1.SetFaultRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns the newest visible version and a channel that is closed at the next change.
func (s *Store) read(key string) (version, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.GetOutage() {
		return version{}, s.changed, ErrOutage
	}
	stale := s.fault.GetStaleRevision()
	versions := s.versions[key]
	for i := len(versions) - 1; i >= 0; i-- {
		if stale == 0 || versions[i].revision <= stale {
			return versions[i], s.changed, nil
		}
	}
	return version{}, s.changed, ErrNoKey
}

// list returns the VMs of a place, or all of them, as readers see them now.
func (s *Store) list(place string) ([]*bramleyv1.VM, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.GetOutage() {
		return nil, ErrOutage
	}
	s.applyVMs(s.config.Now())
	var vms []*bramleyv1.VM
	for _, vm := range s.vms {
		if place == "" || vm.GetPlace() == place {
			vms = append(vms, vm)
		}
	}
	slices.SortFunc(vms, func(a, b *bramleyv1.VM) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return vms, nil
}

func (s *Store) applyVMs(now time.Time) {
	kept := s.pending[:0]
	for _, change := range s.pending {
		switch {
		case change.at.After(now):
			kept = append(kept, change)
		case change.remove:
			delete(s.vms, change.vm.GetName())
		default:
			s.vms[change.vm.GetName()] = change.vm
		}
	}
	s.pending = kept
}

// charge counts one call against the budget of this second.
func (s *Store) charge() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.budget.charge(s.config.Now()) {
		return ErrBudget
	}
	return nil
}

func (s *Store) wait(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.waiting += change
}

func (s *Store) latency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.fault.GetLatencyMs()) * time.Millisecond
}

func (s *Store) stats() *bramleyv1.StatsResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.stats()
}
