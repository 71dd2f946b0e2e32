package platform

import (
	"github.com/goccy/go-yaml"
	"github.com/juju/errors"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

type rawVM struct {
	Name    string `yaml:"name"`
	Place   string `yaml:"place"`
	Address string `yaml:"address"`
	Role    string `yaml:"role"`
	State   string `yaml:"state"`
}

// ParseVMs reads a YAML list of VMs with the fields name, place, address, role (entry or upstream)
// and state (live or leaving).
func ParseVMs(data []byte) ([]*bramleyv1.VM, error) {
	var raw []rawVM
	if err := yaml.UnmarshalWithOptions(data, &raw, yaml.Strict()); err != nil {
		return nil, errors.Annotate(err, "parse VM list")
	}
	vms := make([]*bramleyv1.VM, 0, len(raw))
	for _, r := range raw {
		vm, err := NewVM(r.Name, r.Place, r.Address, r.Role, r.State)
		if err != nil {
			return nil, err
		}
		vms = append(vms, vm)
	}
	return vms, nil
}

// NewVM returns a VM with the given role (entry or upstream) and state (live or leaving). An empty state means live.
func NewVM(name, place, address, role, state string) (*bramleyv1.VM, error) {
	vm := &bramleyv1.VM{Name: name, Place: place, Address: address}
	switch role {
	case "entry":
		vm.Role = bramleyv1.VMRole_VM_ROLE_ENTRY
	case "upstream":
		vm.Role = bramleyv1.VMRole_VM_ROLE_UPSTREAM
	default:
		return nil, errors.Errorf("VM %q: role %q is neither entry nor upstream", name, role)
	}
	switch state {
	case "", "live":
		vm.State = bramleyv1.VMState_VM_STATE_LIVE
	case "leaving":
		vm.State = bramleyv1.VMState_VM_STATE_LEAVING
	default:
		return nil, errors.Errorf("VM %q: state %q is neither live nor leaving", name, state)
	}
	return vm, nil
}
