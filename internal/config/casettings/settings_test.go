package casettings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/config/caproblem"
)

const validSettings = `{
  "vm": "e1",
  "zone": "north",
  "addresses": {"api": "127.0.1.1:7100", "peer": "127.0.1.1:7101", "operators": "127.0.1.1:7102"},
  "seeds": ["127.0.1.2:7101"],
  "platform": {"log": "http://127.0.0.1:7001", "vm_list": "http://127.0.0.1:7002"},
  "tls": {"insecure": true},
  "timeouts": {"peer": "500ms"},
  "limits": {"body": "2MiB"},
  "log_level": "debug"
}`

func load(t *testing.T, content string) (Settings, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "entry.jsonc")
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(file)
}

func TestLoad(t *testing.T) {
	s, err := load(t, validSettings)
	if err != nil {
		t.Fatal(err)
	}
	want := Default()
	want.VM, want.Zone = "e1", "north"
	want.Addresses = Addresses{API: "127.0.1.1:7100", Peer: "127.0.1.1:7101", Operators: "127.0.1.1:7102"}
	want.Seeds = []string{"127.0.1.2:7101"}
	want.Platform = Platform{Log: "http://127.0.0.1:7001", VMList: "http://127.0.0.1:7002"}
	want.TLS.Insecure = true
	want.Timeouts.Peer = 500 * time.Millisecond
	want.Limits.Body = 2 * cawork.MiB
	if err := want.LogLevel.UnmarshalText([]byte("debug")); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, s); diff != "" {
		t.Error(diff)
	}
}

// invalidSettings are changes to validSettings and the problems that they cause.
var invalidSettings = []struct {
	name     string
	old, new string
	want     []string
}{
	{"unknown field", `"peer": "500ms"`, `"pear": "500ms"`, []string{
		`entry.jsonc:8:16: timeouts.pear: unknown field; known are header, body, request, idle, peer, platform, drain`,
	}},
	{"no unit of time", `"500ms"`, `500`, []string{
		`entry.jsonc:8:24: timeouts.peer: must be a duration with its unit, such as "2s", not 500`,
	}},
	{"wrong unit of time", `"500ms"`, `"5 minutes"`, []string{
		`entry.jsonc:8:24: timeouts.peer: must be a duration with its unit, such as "2s", not "5 minutes"`,
	}},
	{"zero duration", `"500ms"`, `"0s"`, []string{`entry.jsonc:8:24: timeouts.peer: must be more than 0s`}},
	{"drain shorter than a request", `"peer": "500ms"`, `"drain": "1s"`, []string{
		`entry.jsonc:8:25: timeouts.drain: 1s is shorter than timeouts.request, 1m0s: a drain would interrupt requests`,
	}},
	{"wrong unit of memory", `"2MiB"`, `"2MB"`, []string{
		`entry.jsonc:9:22: limits.body: unit "MB" of "2MB" is not one of B, KiB, MiB, GiB, TiB`,
	}},
	{"no unit of memory", `"2MiB"`, `2000`, []string{
		`entry.jsonc:9:22: limits.body: must be an amount of memory with its unit, such as "4GiB", not 2000`,
	}},
	{"missing vm and zone", "\"vm\": \"e1\",\n  \"zone\": \"north\",", "", []string{
		`entry.jsonc:1:1: vm: is missing`, `entry.jsonc:1:1: zone: is missing`,
	}},
	{"missing address", `"operators": "127.0.1.1:7102"`, ``, []string{
		`entry.jsonc:4:16: addresses.operators: is missing`,
	}},
	{"host name instead of an IP address", `"peer": "127.0.1.1:7101"`, `"peer": "localhost:7101"`, []string{
		`entry.jsonc:4:50: addresses.peer: must have an IP address instead of "localhost"`,
	}},
	{"port out of range", `"peer": "127.0.1.1:7101"`, `"peer": "127.0.1.1:71010"`, []string{
		`entry.jsonc:4:50: addresses.peer: port "71010" is not between 0 and 65535`,
	}},
	{"no port", `"peer": "127.0.1.1:7101"`, `"peer": "127.0.1.1"`, []string{
		`entry.jsonc:4:50: addresses.peer: must be an IP address and a port, such as "127.0.0.1:7100", not "127.0.1.1"`,
	}},
	{"same address twice", `"peer": "127.0.1.1:7101"`, `"peer": "127.0.1.1:7100"`, []string{
		`entry.jsonc:4:50: addresses.peer: 127.0.1.1:7100 is already used by addresses.api`,
	}},
	{"invalid seed", `"127.0.1.2:7101"`, `"127.0.1.2"`, []string{
		`entry.jsonc:5:12: seeds.0: must be an IP address and a port, such as "127.0.0.1:7100", not "127.0.1.2"`,
	}},
	{"invalid URL", `"http://127.0.0.1:7001"`, `"127.0.0.1:7001"`, []string{
		`entry.jsonc:6:23: platform.log: must be a URL such as "http://127.0.0.1:7001", not "127.0.0.1:7001"`,
	}},
	{"neither TLS nor insecure", `"insecure": true`, `"insecure": false`, []string{
		`entry.jsonc:7:10: tls: certificate, key and ca are missing; to run without TLS between entries, set "insecure": true`,
	}},
	{"incomplete TLS", `"insecure": true`, `"certificate": "c.pem"`, []string{
		`entry.jsonc:7:10: tls.key: is missing`, `entry.jsonc:7:10: tls.ca: is missing`,
	}},
	{"both TLS and insecure", `"insecure": true`, `"insecure": true, "ca": "ca.pem"`, []string{
		`entry.jsonc:7:23: tls.insecure: contradicts the TLS files; remove one or the other`,
	}},
	{"invalid level", `"debug"`, `"loud"`, []string{`entry.jsonc:10:16: log_level: must be one of trace, debug, info, warn, error, not "loud"`}},
	{"empty level", `"debug"`, `""`, []string{`entry.jsonc:10:16: log_level: must be one of trace, debug, info, warn, error, not ""`}},
	{"negative processors", `"log_level": "debug"`, `"processors": -1`, []string{
		`entry.jsonc:10:17: processors: must not be negative; 0 means all of the VM`,
	}},
	{"not a list", `["127.0.1.2:7101"]`, `"127.0.1.2:7101"`, []string{`entry.jsonc:5:12: seeds: must be a list, not "127.0.1.2:7101"`}},
	{"syntax", `"e1",`, `"e1"`, []string{`entry.jsonc:3:3: invalid character '"' after object value (expecting ',' or '}')`}},
}

func TestInvalidSettings(t *testing.T) {
	for _, test := range invalidSettings {
		t.Run(test.name, func(t *testing.T) {
			if !strings.Contains(validSettings, test.old) {
				t.Fatalf("%q is not in the valid settings", test.old)
			}
			_, err := load(t, strings.Replace(validSettings, test.old, test.new, 1))
			want := caproblem.List{}
			for _, line := range test.want {
				want = append(want, caproblem.Problem{Reason: line})
			}
			if err == nil {
				t.Fatal("load accepted invalid settings")
			}
			if diff := cmp.Diff("refused: "+want.Error(), err.Error()); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(cakind.KindInvalid, cakind.Of(err)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestMissingFile(t *testing.T) {
	_, err := Load("does/not/exist.json")
	if diff := cmp.Diff("refused: does/not/exist.json: cannot be read: no such file or directory", err.Error()); diff != "" {
		t.Error(diff)
	}
}
