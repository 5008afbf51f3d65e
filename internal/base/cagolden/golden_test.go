package cagolden_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cagolden"
)

type recordV1 struct {
	Name  string
	Count int
	Tags  map[string]*int
}

// recordV2 is a compatible successor of recordV1.
type recordV2 struct {
	Name  string
	Count int
	Tags  map[string]*int
	New   []string
}

// recordRenamed is an incompatible successor of recordV1.
type recordRenamed struct {
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

func TestVerifyDetectsIncompatibleType(t *testing.T) {
	path := filepath.Join(t.TempDir(), "golden")
	one := 1
	sample := recordV1{Name: "a", Count: 2, Tags: map[string]*int{"t": &one}}
	if err := cagolden.Verify(path, sample, codec[recordV1]()); err == nil {
		t.Error("Verify accepted a missing file")
	}
	t.Setenv(cagolden.AddMissingVariable, "1")
	if err := cagolden.Verify(path, sample, codec[recordV1]()); err != nil {
		t.Fatal(err)
	}
	before, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := cagolden.Verify(path, recordV2{Name: "b", New: []string{"n"}}, codec[recordV2]()); err != nil {
		t.Errorf("added field: %v", err)
	}
	if err := cagolden.Verify(path, recordRenamed{Label: "b"}, codec[recordRenamed]()); err == nil {
		t.Error("Verify accepted a renamed field")
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
	_, _ = os.Stdout.WriteString(cagolden.Dump(recordV1{Name: "a", Tags: map[string]*int{"t": &one}}))
	// Output:
	// .Name = a
	// .Tags[t] = 1
}
