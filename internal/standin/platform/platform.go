// Package platform is a stand-in for the users' platform. It stores published values that can be read and watched,
// and a list of VMs, which readers see with a lag. It enforces a call budget and can inject an outage, stale values
// and latency.
package platform

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"time"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

// Errors that reads return.
var (
	// ErrOutage means that an outage is injected. Every read fails with it.
	ErrOutage = errors.New("platform is down")
	// ErrBudget means that the readers have used up the call budget of the current second.
	ErrBudget = errors.New("call budget of the current second is exhausted")
	// ErrNotFound means that no value visible to readers was published under the key.
	ErrNotFound = errors.New("no value is published under the key")
)

// maxValueBytes is the largest size of a published value, in bytes.
const maxValueBytes = 1 << 20

// Config configures a Store.
type Config struct {
	// CallsPerSecond is the call budget that all readers share. Calls above it in one second are refused. Zero
	// disables the limit.
	CallsPerSecond int
	// Now returns the current time. The default is time.Now.
	Now func() time.Time
}

type version struct {
	revision uint64
	value    []byte
}

// vmChange is a change of the list of VMs that readers see from visibleAt on.
type vmChange struct {
	visibleAt time.Time
	vm        *bramleyv1.VM
	remove    bool
}

// Store holds the published values and the list of VMs. It is safe for concurrent use.
type Store struct {
	config Config

	mu       sync.Mutex
	revision uint64
	versions map[string][]version
	// changed is closed and replaced at each change of a value or of the injected faults, to wake the watches.
	changed    chan struct{}
	vms        map[string]*bramleyv1.VM
	pendingVMs []vmChange
	faults     *bramleyv1.SetFaultRequest
	budget     budget
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
		faults:   &bramleyv1.SetFaultRequest{},
		budget:   budget{perSecond: config.CallsPerSecond},
	}
}

// Publish stores a value under the next revision.
func (s *Store) Publish(key string, value []byte) (uint64, error) {
	if len(value) > maxValueBytes {
		return 0, errors.New("value is larger than 1 MiB")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.versions[key] = append(s.versions[key], version{revision: s.revision, value: slices.Clone(value)})
	s.notifyWatches()
	return s.revision, nil
}

// SetVM adds, replaces or removes a VM. Readers see the change after the list lag in force at this call.
func (s *Store) SetVM(vm *bramleyv1.VM, remove bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lag := time.Duration(s.faults.GetVmListLagMs()) * time.Millisecond
	s.pendingVMs = append(s.pendingVMs, vmChange{visibleAt: s.config.Now().Add(lag), vm: vm, remove: remove})
}

// SetFault replaces all injected faults and wakes the waiting watches.
func (s *Store) SetFault(fault *bramleyv1.SetFaultRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = fault
	s.notifyWatches()
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns the newest version that readers may see, and a channel that is closed at the next change.
func (s *Store) read(key string) (version, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.GetOutage() {
		return version{}, s.changed, ErrOutage
	}
	stale := s.faults.GetStaleRevision()
	versions := s.versions[key]
	for i := len(versions) - 1; i >= 0; i-- {
		if stale == 0 || versions[i].revision <= stale {
			return versions[i], s.changed, nil
		}
	}
	return version{}, s.changed, ErrNotFound
}

// listVMs returns the VMs of a place that readers see now, sorted by name. An empty place selects all VMs.
func (s *Store) listVMs(place string) ([]*bramleyv1.VM, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.GetOutage() {
		return nil, ErrOutage
	}
	s.applyVMChanges(s.config.Now())
	var vms []*bramleyv1.VM
	for _, vm := range s.vms {
		if place == "" || vm.GetPlace() == place {
			vms = append(vms, vm)
		}
	}
	slices.SortFunc(vms, func(a, b *bramleyv1.VM) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return vms, nil
}

// applyVMChanges applies the pending changes whose lag has passed.
func (s *Store) applyVMChanges(now time.Time) {
	kept := s.pendingVMs[:0]
	for _, change := range s.pendingVMs {
		switch {
		case change.visibleAt.After(now):
			kept = append(kept, change)
		case change.remove:
			delete(s.vms, change.vm.GetName())
		default:
			s.vms[change.vm.GetName()] = change.vm
		}
	}
	s.pendingVMs = kept
}

// charge counts one call against the budget of the current second. It returns ErrBudget if that is exhausted.
func (s *Store) charge() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.budget.charge(s.config.Now()) {
		return ErrBudget
	}
	return nil
}

// addWaiting adds delta to the number of waiting watches.
func (s *Store) addWaiting(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.waiting += delta
}

func (s *Store) latency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.faults.GetLatencyMs()) * time.Millisecond
}

func (s *Store) stats() *bramleyv1.StatsResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.stats()
}
