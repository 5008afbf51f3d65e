package cadirectory

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/calist"
	"celeryarch.example/celeryarch/internal/coord/camember"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// countingMembers counts how often the members are copied.
type countingMembers struct {
	members []camember.Member
	copies  int
}

func (c *countingMembers) Members() []camember.Member {
	c.copies++
	return c.members
}

func (c *countingMembers) Member(vm cawork.VMID) (camember.Member, bool) {
	for _, m := range c.members {
		if m.VM == vm {
			return m, true
		}
	}
	return camember.Member{}, false
}

type fixedList calist.Snapshot

func (f fixedList) Last() calist.Snapshot { return calist.Snapshot(f) }

// Guards against copying the members once for each listed VM, which took a tenth
// of a core in a cell of 910 upstreams.
func TestRunningEntriesCopiesMembersOnce(t *testing.T) {
	list := fixedList{At: time.Unix(1_800_000_000, 0), VMs: []caplatform.VM{
		{ID: "e1", Role: caplatform.VMRoleEntry, State: caplatform.VMStateLive},
		{ID: "e2", Role: caplatform.VMRoleEntry, State: caplatform.VMStateLive},
		{ID: "unmet", Role: caplatform.VMRoleEntry, State: caplatform.VMStateLive},
		{ID: "gone", Role: caplatform.VMRoleEntry, State: caplatform.VMStateGone},
	}}
	for i := range 910 {
		list.VMs = append(list.VMs, caplatform.VM{
			ID: cawork.VMID(fmt.Sprintf("u%d", i)), Role: caplatform.VMRoleUpstream, State: caplatform.VMStateLive,
		})
	}
	members := &countingMembers{members: []camember.Member{
		{VM: "e1"}, {VM: "e2"}, {VM: "gone"}, {VM: "left", Liveness: camember.LivenessLeft}, {VM: "unlisted"},
	}}
	d := NewDirectory("e1", "z1", caversion.FormatNewest, list)
	d.SetMembers(members)
	if diff := cmp.Diff([]cawork.VMID{"e2", "unlisted", "unmet"}, d.RunningEntries()); diff != "" {
		t.Errorf("running entries (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(1, members.copies); diff != "" {
		t.Errorf("copies of the members (-want +got):\n%s", diff)
	}
}
