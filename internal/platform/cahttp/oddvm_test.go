package cahttp_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/cahttp"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// soundVM is a VM in the list as the platform writes it.
const soundVM = `{"id":"u1","role":"upstream","state":"live","zone":"a","rack":"r","address":"10.0.0.1:80","capacity":{"cpu_milli":16000,"memory_bytes":1073741824,"accelerators":0},"slots":8,"connections":64}`

// serveVMs serves lists of VMs, each as a new version.
func serveVMs(t *testing.T) (client *cahttp.VMList, set func(vms ...string)) {
	t.Helper()
	var answer atomic.Value
	version := 0
	server := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(answer.Load().(string)))
	}))
	set = func(vms ...string) {
		version++
		answer.Store(fmt.Sprintf(`{"version":"%d","vms":[%s]}`, version, strings.Join(vms, ",")))
	}
	return cahttp.NewVMList(cahttp.NewClient(10*time.Second), server.URL), set
}

// statesOf returns the states of the VMs in the list by their IDs.
func statesOf(t *testing.T, l *cahttp.VMList) map[cawork.VMID]caplatform.VMState {
	t.Helper()
	vms, err := l.List(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	states := make(map[cawork.VMID]caplatform.VMState)
	for _, vm := range vms {
		states[vm.ID] = vm.State
	}
	return states
}

// TestOddVMDoesNotHideOthers guards against one odd entry in the list of VMs that makes the whole
// list unreadable, so that it is not followed any more, and against one that is used. An upstream
// whose entry turns odd gets nothing new, and what runs there goes on.
func TestOddVMDoesNotHideOthers(t *testing.T) {
	other := strings.Replace(soundVM, `"u1"`, `"u2"`, 1)
	tests := map[string]struct {
		part, odd string
	}{
		"cores too large":             {"16000", "9223372036854775808"},
		"cores near the largest":      {"16000", "9223372036854775807"},
		"cores as a double":           {"16000", "1e308"},
		"negative cores":              {"16000", "-16000"},
		"memory near the largest":     {"1073741824", "9223372036854775807"},
		"slots too large":             {`"slots":8`, `"slots":9223372036854775807`},
		"negative slots":              {`"slots":8`, `"slots":-8`},
		"connections of another type": {`"connections":64`, `"connections":[]`},
		"unknown role":                {`"upstream"`, `"dancer"`},
		"unknown state":               {`"live"`, `"dancing"`},
		"port out of range":           {"10.0.0.1:80", "10.0.0.1:99999"},
		"port 0":                      {"10.0.0.1:80", "10.0.0.1:0"},
		"negative port":               {"10.0.0.1:80", "10.0.0.1:-1"},
		"no port":                     {"10.0.0.1:80", "10.0.0.1"},
		"no host":                     {"10.0.0.1:80", ":80"},
		"no address":                  {`"10.0.0.1:80"`, `""`},
		"nested 5,000 deep":           {`"slots":8`, `"slots":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000)},
		"arrays 10,000 deep":          {`"slots":8`, `"slots":` + strings.Repeat("[", 10_000) + strings.Repeat("]", 10_000)},
		"arrays 1,000,000 deep":       {`"slots":8`, `"slots":` + strings.Repeat("[", 1_000_000) + strings.Repeat("]", 1_000_000)},
		"objects 10,000 deep":         {`"slots":8`, `"a":` + strings.Repeat(`{"a":`, 10_000) + "1" + strings.Repeat("}", 10_000)},
		"deep before its ID":          {`{"id"`, `{"a":` + strings.Repeat("[", 10_000) + "1e999" + strings.Repeat("]", 10_000) + `,"id"`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			odd := strings.Replace(soundVM, test.part, test.odd, 1)
			oddAndNew := strings.Replace(odd, `"u1"`, `"u0"`, 1)
			list, set := serveVMs(t)
			steps := []struct {
				what string
				vms  []string
				want map[cawork.VMID]caplatform.VMState
			}{
				{"a new odd one", []string{oddAndNew, soundVM}, map[cawork.VMID]caplatform.VMState{"u1": caplatform.VMStateLive}},
				{"a sound one turns odd", []string{oddAndNew, odd}, map[cawork.VMID]caplatform.VMState{"u1": caplatform.VMStateLeaving}},
				{"another one comes", []string{odd, other}, map[cawork.VMID]caplatform.VMState{"u1": caplatform.VMStateLeaving, "u2": caplatform.VMStateLive}},
				{"it turns sound", []string{soundVM, other}, map[cawork.VMID]caplatform.VMState{"u1": caplatform.VMStateLive, "u2": caplatform.VMStateLive}},
				{"it leaves", []string{other}, map[cawork.VMID]caplatform.VMState{"u2": caplatform.VMStateLive}},
				{"it is odd again", []string{odd, other}, map[cawork.VMID]caplatform.VMState{"u2": caplatform.VMStateLive}},
			}
			for _, step := range steps {
				set(step.vms...)
				if diff := cmp.Diff(step.want, statesOf(t, list)); diff != "" {
					t.Errorf("%s: states (-want +got):\n%s", step.what, diff)
				}
			}
		})
	}
}

// TestUnreadableListOfVMsIsFollowedAgain checks that a list that is no JSON is an error, and that
// the next one is read.
func TestUnreadableListOfVMsIsFollowedAgain(t *testing.T) {
	for name, entry := range map[string]string{
		"objects without their ends": strings.Repeat(`{"a":`, 10_000),
		"a wrong end":                `{"id":"u0"]`,
		"no value":                   `{"id":"u0","slots":}`,
		"no comma":                   `{"id":"u0"} {"id":"u2"}`,
		"no quotes":                  `{id:"u0"}`,
		"more after the list":        soundVM + `]} x [{`,
	} {
		t.Run(name, func(t *testing.T) {
			list, set := serveVMs(t)
			set(soundVM, entry)
			if _, err := list.List(context.Background()); err == nil {
				t.Error("the list was read")
			}
			set(soundVM)
			want := map[cawork.VMID]caplatform.VMState{"u1": caplatform.VMStateLive}
			if diff := cmp.Diff(want, statesOf(t, list)); diff != "" {
				t.Errorf("states after the next list (-want +got):\n%s", diff)
			}
		})
	}
}
