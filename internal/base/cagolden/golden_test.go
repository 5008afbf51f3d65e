package cagolden_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cagolden"
)

type first struct {
	Name  string
	Count int
	Tags  map[string]*int
}

// second is a later form of first.
type second struct {
	Name  string
	Count int
	Tags  map[string]*int
	New   []string
}

// renamed is a later form of first that breaks with it.
type renamed struct {
	Label string
	Count int
	Tags  map[string]*int
}

func codec[T any]() cagolden.Codec {
	return cagolden.Codec{Encode: json.Marshal, Decode: func(data []byte) (any, error) {
		var v T
		err := json.Unmarshal(data, &v)
		return v, err
	}}
}

func TestVerifyTellsAForm(t *testing.T) {
	path := filepath.Join(t.TempDir(), "golden")
	one := 1
	sample := first{Name: "a", Count: 2, Tags: map[string]*int{"t": &one}}
	if err := cagolden.Verify(path, sample, codec[first]()); err == nil {
		t.Error("a missing file was not told")
	}
	t.Setenv(cagolden.AddVariable, "1")
	if err := cagolden.Verify(path, sample, codec[first]()); err != nil {
		t.Fatal(err)
	}
	before, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := cagolden.Verify(path, second{Name: "b", New: []string{"n"}}, codec[second]()); err != nil {
		t.Errorf("a field more: %v", err)
	}
	if err := cagolden.Verify(path, renamed{Label: "b"}, codec[renamed]()); err == nil {
		t.Error("a renamed field was not told")
	}
	after, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(before), string(after)); diff != "" {
		t.Errorf("the file was changed (-want +got):\n%s", diff)
	}
}

func ExampleDump() {
	one := 1
	_, _ = os.Stdout.WriteString(cagolden.Dump(first{Name: "a", Tags: map[string]*int{"t": &one}}))
	// Output:
	// .Name = a
	// .Tags[t] = 1
}
