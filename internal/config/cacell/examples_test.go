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

const examplesDir = "../../../examples"

// deploymentCounts are the numbers of parts of an example deployment.
type deploymentCounts struct {
	Zones, Teams, Entries, Upstreams, Addresses int
}

func TestExampleDeploymentsAreConsistent(t *testing.T) {
	want := map[string]deploymentCounts{
		"haugland":    {Zones: 4, Teams: 6, Entries: 9, Upstreams: 50, Addresses: 59},
		"lettergrove": {Zones: 3, Teams: 6, Entries: 9, Upstreams: 50, Addresses: 59},
	}
	for deployment, want := range want {
		t.Run(deployment, func(t *testing.T) {
			if diff := cmp.Diff(want, countDeployment(t, filepath.Join(examplesDir, deployment))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func countDeployment(t *testing.T, dir string) deploymentCounts {
	t.Helper()
	config, err := Load(os.DirFS(filepath.Join(dir, "config")))
	if err != nil {
		t.Fatal(err)
	}
	got := deploymentCounts{Zones: len(config.Zones()), Teams: len(config.Teams())}
	addresses := map[string]bool{}
	files, err := filepath.Glob(filepath.Join(dir, "settings", "*.jsonc"))
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
	for _, vm := range readVMs(t, dir) {
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

func readVMs(t *testing.T, dir string) []caplatform.VM {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(dir, "vms.json"))
	if err != nil {
		t.Fatal(err)
	}
	var vms []caplatform.VM
	if err := json.Unmarshal(data, &vms); err != nil {
		t.Fatal(err)
	}
	return vms
}
