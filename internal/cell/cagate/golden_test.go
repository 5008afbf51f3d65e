package cagate

import (
	"path/filepath"
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cagolden"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/node/capeer"
)

// goldenDir holds the messages between entries as the build before crashes were counted encodes them.
const goldenDir = "testdata/before_crashes"

func cellMessageTypes() map[string]reflect.Type {
	server := capeer.NewServer()
	New(Deps{Timer: catimer.NewService()}).Register(server)
	types := make(map[string]reflect.Type)
	for _, c := range server.CallTypes() {
		types[c.Name+".request"] = c.In
		types[c.Name+".reply"] = c.Out
	}
	return types
}

func codecOf(t reflect.Type) cagolden.Codec {
	return cagolden.Codec{
		Encode: func(value any) ([]byte, error) { return capeer.Encoding{}.Marshal(value) },
		Decode: func(data []byte) (any, error) {
			out := reflect.New(t)
			err := capeer.Encoding{}.Unmarshal(data, out.Interface())
			return out.Interface(), err
		},
	}
}

// sentValue returns a message with values in all fields that are sent.
func sentValue(t reflect.Type) (any, error) {
	data, err := codecOf(t).Encode(cagolden.NewFilled(t).Interface())
	if err != nil {
		return nil, err
	}
	return codecOf(t).Decode(data)
}

// TestMessagesOfEarlierBuildAreRead guards against messages between entries that an earlier build,
// side by side with this one, encodes in another way. The bytes are its own.
func TestMessagesOfEarlierBuildAreRead(t *testing.T) {
	types := cellMessageTypes()
	for name, typ := range types {
		sample, err := sentValue(typ)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if err := cagolden.Verify(filepath.Join(goldenDir, name), sample, codecOf(typ)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	files, err := filepath.Glob(filepath.Join(goldenDir, "*"))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(len(types), len(files)); diff != "" {
		t.Errorf("number of files (-want +got):\n%s", diff)
	}
}
