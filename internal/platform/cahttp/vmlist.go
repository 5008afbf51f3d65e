package cahttp

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/platform/cawire"
)

// VMListCall requests the list of VMs. KnownVersion is the version of the cached list.
type VMListCall struct {
	KnownVersion string `json:"known"`
}

// VMListAnswer is the answer to a VMListCall. VMs is omitted when the version is the one
// that the caller has.
type VMListAnswer struct {
	Version string          `json:"version"`
	VMs     []caplatform.VM `json:"vms,omitempty"`
}

const (
	// maxVMBytes bounds the entry of one VM, which takes a few hundred bytes.
	maxVMBytes = 16 << 10
	// maxSlots bounds the slots and the connections of one VM.
	maxSlots = 1 << 20
)

// VMList is a client of the list of VMs at a base URL. It caches the last list, so
// that the server omits an unchanged one. Entries that name no VM to use are left out;
// an upstream whose entry turns so counts as leaving.
type VMList struct {
	client *http.Client
	base   string
	log    zerolog.Logger

	mu      sync.Mutex
	version string
	vms     []caplatform.VM
	// refusals holds why entries of the last list were left out, by their IDs.
	refusals map[cawork.VMID]string
}

// NewVMList returns a client of the list of VMs at a URL.
func NewVMList(client *http.Client, base string) *VMList {
	return &VMList{client: client, base: base, log: zerolog.Nop()}
}

// WithLog makes the client log the entries that it leaves out, and returns it.
func (v *VMList) WithLog(log zerolog.Logger) *VMList {
	v.log = log
	return v
}

// List implements caplatform.VMList.
func (v *VMList) List(ctx context.Context) ([]caplatform.VM, error) {
	v.mu.Lock()
	known := v.version
	v.mu.Unlock()
	answer, err := cawire.Post[VMListCall, receivedVMs](ctx, v.client, v.base+PathListVMs, VMListCall{KnownVersion: known})
	if err != nil {
		return nil, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if answer.version != known {
		v.apply(answer)
	}
	return slices.Clone(v.vms), nil
}

// apply replaces the cached list. The lock is held.
func (v *VMList) apply(answer receivedVMs) {
	vms := make([]caplatform.VM, 0, len(answer.vms))
	refusals := make(map[cawork.VMID]string)
	for _, entry := range answer.vms {
		vm, err := decodeVM(entry)
		if err == nil {
			vms = append(vms, vm)
			continue
		}
		reason := caevent.Clip(err.Error())
		refusals[vm.ID] = reason
		if v.refusals[vm.ID] != reason {
			caevent.Warn(v.log, caevent.UpstreamUnlisted).Str("upstream", caevent.Clip(string(vm.ID))).Str("error", reason).Send()
		}
		if former, ok := v.upstream(vm.ID); ok {
			former.State = caplatform.VMStateLeaving
			vms = append(vms, former)
		}
	}
	v.version, v.vms, v.refusals = answer.version, vms, refusals
}

// upstream returns the last description of an upstream that is not gone. The lock is held.
func (v *VMList) upstream(id cawork.VMID) (caplatform.VM, bool) {
	for _, vm := range v.vms {
		if vm.ID == id && vm.Role == caplatform.VMRoleUpstream && vm.State != caplatform.VMStateGone {
			return vm, true
		}
	}
	return caplatform.VM{}, false
}

// decodeVM decodes the entry of a VM. An error of KindInvalid means that it names no VM to use;
// the result has the ID then, if that can be decoded.
func decodeVM(entry json.RawMessage) (caplatform.VM, error) {
	if len(entry) > maxVMBytes {
		return caplatform.VM{ID: idOf(entry)}, cakind.New(cakind.KindInvalid, "entry of %d bytes, at most %d are allowed", len(entry), maxVMBytes)
	}
	var vm caplatform.VM
	if err := json.Unmarshal(entry, &vm); err != nil {
		var named struct {
			ID cawork.VMID `json:"id"`
		}
		// Without an ID nothing is known of the entry.
		_ = json.Unmarshal(entry, &named)
		return caplatform.VM{ID: named.ID}, cakind.Wrap(cakind.KindInvalid, err, "decode entry of %d bytes", len(entry))
	}
	if vm.Role != caplatform.VMRoleUpstream {
		return vm, nil
	}
	return vm, checkUpstream(vm)
}

// checkUpstream returns an error of KindInvalid for what no upstream can have.
func checkUpstream(vm caplatform.VM) error {
	host, port, err := net.SplitHostPort(vm.Address)
	if err != nil {
		return cakind.Wrap(cakind.KindInvalid, err, "split address %q", vm.Address)
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 || host == "" {
		return cakind.New(cakind.KindInvalid, "address %q has no host or no valid port", vm.Address)
	}
	if !vm.Capacity.IsCapacity() {
		return cakind.New(cakind.KindInvalid, "no VM has capacity %s", vm.Capacity)
	}
	if vm.Slots < 0 || vm.Slots > maxSlots || vm.Connections < 0 || vm.Connections > maxSlots {
		return cakind.New(cakind.KindInvalid, "no VM has %d slots or %d connections", vm.Slots, vm.Connections)
	}
	return nil
}
