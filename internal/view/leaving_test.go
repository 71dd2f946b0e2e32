package view

import (
	"testing"
	"time"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

func TestOwnVMListedAsLeaving(t *testing.T) {
	runWithFleet(t, func(t *testing.T, f *fleet) {
		f.startSettled(2)
		mark := func(state bramleyv1.VMState) {
			f.platform.mu.Lock()
			defer f.platform.mu.Unlock()
			for i, vm := range f.platform.vms {
				if vm.GetAddress() == address(1, 0) {
					f.platform.vms[i] = &bramleyv1.VM{Name: vm.GetName(), Place: vm.GetPlace(), Address: vm.GetAddress(), State: state}
				}
			}
		}
		check := func(want bool) {
			t.Helper()
			f.advance(15 * time.Second)
			if got := f.views[address(1, 0)].Leaving(); got != want {
				t.Errorf("marked VM: Leaving() = %v, want %v", got, want)
			}
			if f.views[address(1, 1)].Leaving() || f.views[address(2, 0)].Leaving() {
				t.Error("another VM reports itself as leaving")
			}
		}
		check(false)
		mark(bramleyv1.VMState_VM_STATE_LEAVING)
		check(true)
		mark(bramleyv1.VMState_VM_STATE_LIVE)
		check(false)
	})
}
