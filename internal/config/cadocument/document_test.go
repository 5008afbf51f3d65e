package cadocument

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/config/camerge"
)

type inner struct {
	Wait time.Duration `json:"wait"`
	Size cawork.Bytes  `json:"size"`
}

type outer struct {
	Name   string                    `json:"name"`
	Count  int                       `json:"count"`
	Ratio  float64                   `json:"ratio"`
	On     bool                      `json:"on"`
	Kinds  []cawork.WorkKind         `json:"kinds"`
	Inners map[string]inner          `json:"inners"`
	ByKind map[cawork.WorkKind]inner `json:"by_kind"`
}

func decode(t *testing.T, text string, target *outer) string {
	t.Helper()
	n, problems := camerge.Parse("f", []byte(text))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return Decode(n, target).Error()
}

func TestDecodeKeepsDefaults(t *testing.T) {
	o := outer{Count: 3, Inners: map[string]inner{"a": {Wait: time.Second, Size: 5}}}
	if problems := decode(t, `{"name": "n", "inners": {"a": {"size": "1KiB"}, "b": {}}}`, &o); problems != "" {
		t.Fatal(problems)
	}
	want := outer{Name: "n", Count: 3, Inners: map[string]inner{"a": {Wait: time.Second, Size: cawork.KiB}, "b": {}}}
	if diff := cmp.Diff(want, o); diff != "" {
		t.Error(diff)
	}
}

func TestDecodeProblems(t *testing.T) {
	tests := []struct{ text, want string }{
		{`{"name": 1}`, `f:1:10: name: must be a string, not 1`},
		{`{"count": 1.5}`, `f:1:11: count: must be a whole number, not 1.5`},
		{`{"count": "1"}`, `f:1:11: count: must be a whole number, not "1"`},
		{`{"count": 99999999999999999999}`, `f:1:11: count: must be a whole number, not 99999999999999999999`},
		{`{"ratio": 1e999}`, `f:1:11: ratio: 1e999 is out of range`},
		{`{"ratio": true}`, `f:1:11: ratio: must be a number, not true`},
		{`{"on": "yes"}`, `f:1:8: on: must be true or false, not "yes"`},
		{`{"kinds": ["batch", "bulk"]}`, `f:1:21: kinds.1: bulk does not belong to WorkKind values`},
		{`{"inners": []}`, `f:1:12: inners: must be an object, not a list`},
		{`{"inners": {"a": {"size": "-1B"}}}`, `f:1:27: inners.a.size: must be an amount of memory with its unit, such as "4GiB", not "-1B"`},
		{`{"inners": {"a": {"size": "9999999TiB"}}}`, `f:1:27: inners.a.size: "9999999TiB" is out of range`},
		{`{"by_kind": {"bulk": {}}}`, `f:1:14: by_kind.bulk: bulk does not belong to WorkKind values`},
		{`{"nmae": 1, "coutn": 2}`, "f:1:2: nmae: unknown field; known are name, count, ratio, on, kinds, inners, by_kind\n" +
			"f:1:13: coutn: unknown field; known are name, count, ratio, on, kinds, inners, by_kind"},
	}
	for _, test := range tests {
		if diff := cmp.Diff(test.want, decode(t, test.text, &outer{})); diff != "" {
			t.Errorf("%s: %s", test.text, diff)
		}
	}
}

func TestEncodeIsCanonical(t *testing.T) {
	o := outer{
		Name: "<n>", Ratio: 0.5, Kinds: []cawork.WorkKind{cawork.WorkKindGang},
		Inners: map[string]inner{"b": {Wait: time.Minute}, "a": {Size: 3 * cawork.MiB}},
		ByKind: map[cawork.WorkKind]inner{cawork.WorkKindBatch: {}},
	}
	want := `{"by_kind":{"batch":{"size":"0B","wait":"0s"}},"count":0,` +
		`"inners":{"a":{"size":"3MiB","wait":"0s"},"b":{"size":"0B","wait":"1m0s"}},` +
		`"kinds":["gang"],"name":"\u003cn\u003e","on":false,"ratio":0.5}`
	if diff := cmp.Diff(want, string(Encode(o))); diff != "" {
		t.Error(diff)
	}
}

func TestEncodedValuesDecode(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		in := inner{
			Wait: time.Duration(rapid.Int64().Draw(r, "wait")),
			Size: cawork.Bytes(rapid.Int64Min(0).Draw(r, "size")),
		}
		o := outer{
			Name: rapid.String().Draw(r, "name"), Count: rapid.Int().Draw(r, "count"),
			Ratio: rapid.Float64().Draw(r, "ratio"), On: rapid.Bool().Draw(r, "on"),
			Kinds:  rapid.SliceOf(rapid.SampledFrom(cawork.WorkKindValues())).Draw(r, "kinds"),
			Inners: map[string]inner{rapid.String().Draw(r, "key"): in},
			ByKind: map[cawork.WorkKind]inner{cawork.WorkKindGang: in},
		}
		var decoded outer
		if problems := decode(t, string(Encode(o)), &decoded); problems != "" {
			r.Fatal(problems)
		}
		if diff := cmp.Diff(o, decoded); diff != "" {
			r.Fatal(diff)
		}
	})
}
