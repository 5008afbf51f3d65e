package cacell

import (
	"fmt"
	"strings"
	"testing"
	"testing/fstest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

const (
	zonesFile = `{
  "zones": {
    "a": {"allowance_percent": 33},
    "b": {"allowance_percent": 67}
  }
}`
	teamsFile = `{
  "teams": {
    "knit": {"share": 2.5, "limit": {"processors": 1.5, "memory": "10GiB", "accelerators": 10}},
    "weave": {"share": 1, "limit": {"processors": "unlimited", "memory": "unlimited", "accelerators": 0}}
  },
  "keys": {
    "k1": {"team": "knit", "sha256": "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"}
  },
  "queues": {
    "walk-in": {"team": "weave", "kinds": ["lookup", "batch"]}
  }
}`
)

func load(files ...string) (Config, error) {
	folder := fstest.MapFS{}
	for i, content := range append([]string{zonesFile, teamsFile}, files...) {
		folder[string(rune('1'+i))+".json"] = &fstest.MapFile{Data: []byte(content)}
	}
	return Load(folder)
}

func mustLoad(t *testing.T, files ...string) Config {
	t.Helper()
	c, err := load(files...)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestLoadReadsTypedValues(t *testing.T) {
	c := mustLoad(t, `{"policy": {"batch": {"placement": "spread", "aging": "90s"}}, "unconfirmed_keys": "serve"}`)
	knit, ok := c.Team("knit")
	if diff := cmp.Diff([]any{true, 2.5}, []any{ok, knit.Share}); diff != "" {
		t.Error(diff)
	}
	limit := cawork.Resources{CPU: 1500, Memory: 10 * cawork.GiB, Accelerators: 10}
	if diff := cmp.Diff(limit, knit.Limit.Resources()); diff != "" {
		t.Error(diff)
	}
	wantKeys := []Key{{ID: "k1", Team: "knit", Hash: "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"}}
	if diff := cmp.Diff(wantKeys, c.Keys()); diff != "" {
		t.Error(diff)
	}
	wantQueues := []Queue{{Name: "walk-in", Team: "weave", Kinds: []cawork.WorkKind{cawork.WorkKindLookup, cawork.WorkKindBatch}}}
	if diff := cmp.Diff(wantQueues, c.Queues()); diff != "" {
		t.Error(diff)
	}
	wantPolicy := Policy{Kind: cawork.WorkKindBatch, QueueBound: 10000, MaxAttempts: 5, Placement: cawork.PlacementSpread, Aging: 90 * time.Second}
	if diff := cmp.Diff(wantPolicy, c.Policy(cawork.WorkKindBatch)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]any{5 * time.Second, UnconfirmedKeysServe}, []any{c.KeyFreshness(), c.UnconfirmedKeys()}); diff != "" {
		t.Error(diff)
	}
}

func TestLaterFileOverridesAndRemoves(t *testing.T) {
	c := mustLoad(t, `{"teams": {"knit": {"share": 4}, "weave": null}, "queues": null}`)
	knit, _ := c.Team("knit")
	if diff := cmp.Diff([]any{1, 4.0, int64(10), 0}, []any{len(c.Teams()), knit.Share, knit.Limit.Resources().Accelerators, len(c.Queues())}); diff != "" {
		t.Error(diff)
	}
}

func TestInvalidConfigurations(t *testing.T) {
	const team = `"limit": {"processors": 1, "memory": "1GiB", "accelerators": 0}`
	tests := []struct{ name, file, want string }{
		{"unknown field", `{"team": {}}`, `3.json:1:2: team: unknown field; known are zones, teams, keys, queues, policy, key_freshness, unconfirmed_keys`},
		{"zone allowances below 100 percent", "{\n\"zones\": {\"b\": {\"allowance_percent\": 66}}}", `3.json:2:10: zones: allowance_percent of all zones adds up to 99, not 100`},
		{"zone allowance out of range", `{"zones": {"a": {"allowance_percent": -1}, "b": {"allowance_percent": 101}}}`, "3.json:1:39: zones.a.allowance_percent: -1 is not between 0 and 100\n3.json:1:71: zones.b.allowance_percent: 101 is not between 0 and 100"},
		{"no zones", `{"zones": null}`, `3.json:1:1: zones: at least one zone is needed`},
		{"no teams", `{"teams": null, "keys": null, "queues": null}`, `3.json:1:1: teams: at least one team is needed`},
		{"share is zero", `{"teams": {"knit": {"share": 0}}}`, `3.json:1:30: teams.knit.share: must be a number above 0`},
		{"share is negative", `{"teams": {"knit": {"share": -2}}}`, `3.json:1:30: teams.knit.share: must be a number above 0`},
		{"share missing", `{"teams": {"new": {` + team + `}}}`, `3.json:1:19: teams.new.share: must be a number above 0`},
		{"limit missing", `{"teams": {"new": {"share": 1, "limit": {"processors": 1, "accelerators": 0}}}}`, `3.json:1:41: teams.new.limit.memory: is missing; write "unlimited" for no limit`},
		{"processors with a unit", `{"teams": {"knit": {"limit": {"processors": "4 cores"}}}}`, `3.json:1:45: teams.knit.limit.processors: must be a number of cores or "unlimited", not "4 cores"`},
		{"processors with four decimals", `{"teams": {"knit": {"limit": {"processors": 0.0001}}}}`, `3.json:1:45: teams.knit.limit.processors: must be a non-negative number of cores with at most three decimals, not 0.0001`},
		{"processors are negative", `{"teams": {"knit": {"limit": {"processors": -1}}}}`, `3.json:1:45: teams.knit.limit.processors: must be a non-negative number of cores with at most three decimals, not -1`},
		{"memory without a unit", `{"teams": {"knit": {"limit": {"memory": 64}}}}`, `3.json:1:41: teams.knit.limit.memory: must be an amount of memory with its unit, such as "64GiB", or "unlimited", not 64`},
		{"memory with a wrong unit", `{"teams": {"knit": {"limit": {"memory": "64GB"}}}}`, `3.json:1:41: teams.knit.limit.memory: unit "GB" of "64GB" is not one of B, KiB, MiB, GiB, TiB`},
		{"accelerators are fractional", `{"teams": {"knit": {"limit": {"accelerators": 1.5}}}}`, `3.json:1:47: teams.knit.limit.accelerators: must be a non-negative whole number or "unlimited", not 1.5`},
		{"key of unknown team", `{"keys": {"k1": {"team": "spin"}}}`, `3.json:1:26: keys.k1.team: team "spin" does not exist`},
		{"team of a key removed", `{"teams": {"knit": null}}`, `2.json:7:20: keys.k1.team: team "knit" does not exist`},
		{"key instead of its hash", `{"keys": {"k1": {"sha256": "secret"}}}`, `3.json:1:28: keys.k1.sha256: must be 64 hexadecimal digits in lower case`},
		{"same hash for two keys", `{"keys": {"k2": {"team": "knit", "sha256": "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"}}}`, `3.json:1:44: keys.k2.sha256: is also the hash of key "k1"`},
		{"queue without kinds", `{"queues": {"walk-in": {"kinds": []}}}`, `3.json:1:34: queues.walk-in.kinds: at least one kind of work is needed`},
		{"kind listed twice", `{"queues": {"walk-in": {"kinds": ["gang", "gang"]}}}`, `3.json:1:34: queues.walk-in.kinds: gang is listed twice`},
		{"queue without team", `{"queues": {"x": {"kinds": ["gang"]}}}`, `3.json:1:18: queues.x.team: is missing`},
		{"unknown kind", `{"policy": {"bulk": {}}}`, `3.json:1:13: policy.bulk: bulk does not belong to WorkKind values`},
		{"unknown placement", `{"policy": {"gang": {"placement": "near"}}}`, `3.json:1:35: policy.gang.placement: near does not belong to Placement values`},
		{"policy values out of range", `{"policy": {"gang": {"queue_bound": 0, "max_attempts": 0, "aging": "0s", "reservation": "-1s"}}}`, "3.json:1:37: policy.gang.queue_bound: must be at least 1\n3.json:1:56: policy.gang.max_attempts: must be at least 1\n3.json:1:68: policy.gang.aging: must be more than 0s\n3.json:1:89: policy.gang.reservation: must not be negative"},
		{"wait bound is negative", `{"policy": {"batch": {"wait_bound": "-1s"}}}`, `3.json:1:37: policy.batch.wait_bound: must not be negative`},
		{"wait bound of gangs", `{"policy": {"gang": {"wait_bound": "1s"}}}`, `3.json:1:36: policy.gang.wait_bound: only batch work can be refused because of its predicted wait`},
		{"refuse_late of services", `{"policy": {"service": {"refuse_late": true}}}`, `3.json:1:40: policy.service.refuse_late: only batch work can be refused because of its predicted wait`},
		{"reservation of batch", `{"policy": {"batch": {"reservation": "1s"}}}`, `3.json:1:38: policy.batch.reservation: only gang work reserves capacity`},
		{"freshness too short", `{"key_freshness": "1s"}`, `3.json:1:19: key_freshness: 1s is below the minimum, 5s`},
		{"invalid character in name", `{"teams": {"Knit Wear": {"share": 1, ` + team + `}}}`, `3.json:1:25: teams.Knit Wear: a name has only the characters a-z, 0-9, - and _`},
		{"empty name", `{"teams": {"": {"share": 1, ` + team + `}}}`, `3.json:1:16: teams.: a name has 1 to 63 characters`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := load(test.file)
			if err == nil {
				t.Fatal("load accepted an invalid configuration")
			}
			if diff := cmp.Diff("refused: "+test.want, err.Error()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestCanonicalEncoding(t *testing.T) {
	a := mustLoad(t, `{"key_freshness": "60s", "teams": {"knit": {"limit": {"memory": "10240MiB"}}}}`)
	b := mustLoad(t, `{"teams": {"knit": {"limit": {"processors": 1.50}}}, "key_freshness": "1m"}`)
	if diff := cmp.Diff(a.Hash(), b.Hash()); diff != "" {
		t.Error(diff)
	}
	decoded, err := Decode(a.Encode())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(a.Encode()), string(decoded.Encode())); diff != "" {
		t.Error(diff)
	}
	if _, err := Decode([]byte(`{"zones": {}}`)); err == nil {
		t.Error("Decode accepted an invalid configuration")
	}
}

func TestDiff(t *testing.T) {
	a := mustLoad(t)
	b := mustLoad(t, `{"teams": {"knit": {"share": 3}}, "queues": {"walk-in": null}, "keys": {"k1": {"withdrawn": true}}}`)
	want := []string{
		"~ keys.k1.withdrawn: false -> true",
		`- queues.walk-in.kinds.0: "lookup"`,
		`- queues.walk-in.kinds.1: "batch"`,
		`- queues.walk-in.team: "weave"`,
		"~ teams.knit.share: 2.5 -> 3",
	}
	var got []string
	for _, c := range Diff(a, b) {
		got = append(got, c.String())
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(0, len(Diff(a, a))); diff != "" {
		t.Error(diff)
	}
	for _, c := range Diff(Config{}, a) {
		if !strings.HasPrefix(c.String(), "+ ") {
			t.Error(c)
		}
	}
}

func TestMintAddsUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		limit := cawork.Resources{
			CPU:          cawork.MilliCPU(rapid.Int64Range(0, UnlimitedAmount).Draw(r, "cpu")),
			Memory:       cawork.Bytes(rapid.Int64Range(0, UnlimitedAmount).Draw(r, "memory")),
			Accelerators: rapid.Int64Range(0, 100).Draw(r, "accelerators"),
		}
		cuts := []int{0, rapid.IntRange(0, 100).Draw(r, "cut"), 100}
		var sum cawork.Resources
		for i := range 2 {
			part := Limit{limit}.Portion(cuts[i], cuts[i+1])
			if part.IsNegative() {
				r.Fatalf("part %v of %v", part, limit)
			}
			sum = sum.Plus(part)
		}
		if diff := cmp.Diff(limit, sum); diff != "" {
			r.Fatal(diff)
		}
	})
	c := mustLoad(t)
	sum := c.ZoneAllowance("knit", "a").Plus(c.ZoneAllowance("knit", "b"))
	knit, _ := c.Team("knit")
	if diff := cmp.Diff(knit.Limit.Resources(), sum); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(int64(3), c.ZoneAllowance("knit", "a").Accelerators); diff != "" {
		t.Error(diff)
	}
}

// BenchmarkDecode decodes a configuration of 22 teams with 40 keys each. An
// entry decodes each new version once.
func BenchmarkDecode(b *testing.B) {
	var teams, keys []string
	for i := range 22 {
		teams = append(teams, fmt.Sprintf(`"team%d": {"share": 1, "limit": {"processors": 1, "memory": "1GiB", "accelerators": 0}}`, i))
		for j := range 40 {
			keys = append(keys, fmt.Sprintf(`"k%010dx%d": {"team": "team%d", "sha256": "%064x"}`, j, i, i, i*100+j))
		}
	}
	text := `{"zones": {"a": {"allowance_percent": 100}}, "teams": {` + strings.Join(teams, ",") + `}, "keys": {` + strings.Join(keys, ",") + `}}`
	c, err := Decode([]byte(text))
	if err != nil {
		b.Fatal(err)
	}
	body := c.Encode()
	for b.Loop() {
		if _, err := Decode(body); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(body)), "body-bytes")
}

// TestUnsetWaitBoundsAreNotEncoded checks that wait_bound and refuse_late are
// left out when unset, because earlier versions reject them as unknown fields.
func TestUnsetWaitBoundsAreNotEncoded(t *testing.T) {
	unset := mustLoad(t, `{"policy": {"batch": {"wait_bound": "0s", "refuse_late": false}}}`)
	if text := string(unset.Encode()); strings.Contains(text, "wait_bound") || strings.Contains(text, "refuse_late") {
		t.Errorf("unset bounds are encoded: %s", text)
	}
	set := mustLoad(t, `{"policy": {"batch": {"wait_bound": "5m", "refuse_late": true}}}`)
	decoded, err := Decode(set.Encode())
	if err != nil {
		t.Fatal(err)
	}
	p := decoded.Policy(cawork.WorkKindBatch)
	if diff := cmp.Diff([]any{5 * time.Minute, true}, []any{p.WaitBound, p.RefuseLate}); diff != "" {
		t.Errorf("bounds (-want +got):\n%s", diff)
	}
}
