package cacell

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/config/casettings"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

const examples = "../../../examples"

// size is what an example deployment holds.
type size struct {
	Zones, Teams, Entries, Upstreams, Addresses int
}

func TestExamplesFitTogether(t *testing.T) {
	want := map[string]size{
		"haugland":    {Zones: 4, Teams: 6, Entries: 9, Upstreams: 50, Addresses: 59},
		"lettergrove": {Zones: 3, Teams: 6, Entries: 9, Upstreams: 50, Addresses: 59},
	}
	for firm, want := range want {
		t.Run(firm, func(t *testing.T) {
			if diff := cmp.Diff(want, sizeOf(t, filepath.Join(examples, firm))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func sizeOf(t *testing.T, firm string) size {
	t.Helper()
	config, err := Load(os.DirFS(filepath.Join(firm, "config")))
	if err != nil {
		t.Fatal(err)
	}
	got := size{Zones: len(config.Zones()), Teams: len(config.Teams())}
	addresses := map[string]bool{}
	files, err := filepath.Glob(filepath.Join(firm, "settings", "*.jsonc"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		s, err := casettings.Load(file)
		if err != nil {
			t.Fatal(err)
		}
		if !slices.Contains(config.ZoneNames(), s.Zone) {
			t.Errorf("%s: zone %s is not in the configuration", file, s.Zone)
		}
		addresses[s.Addresses.Peer] = true
		got.Entries++
	}
	for _, vm := range readVMs(t, firm) {
		if !slices.Contains(config.ZoneNames(), vm.Zone) {
			t.Errorf("%s: zone %s is not in the configuration", vm.ID, vm.Zone)
		}
		if vm.Role == caplatform.VMRoleEntry && !addresses[vm.Address] {
			t.Errorf("%s: no settings have the address %s", vm.ID, vm.Address)
		}
		if vm.Role == caplatform.VMRoleUpstream {
			addresses[vm.Address] = true
			got.Upstreams++
		}
	}
	got.Addresses = len(addresses)
	return got
}

func readVMs(t *testing.T, firm string) []caplatform.VM {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(firm, "vms.json"))
	if err != nil {
		t.Fatal(err)
	}
	var vms []caplatform.VM
	if err := json.Unmarshal(data, &vms); err != nil {
		t.Fatal(err)
	}
	return vms
}
