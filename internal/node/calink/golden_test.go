package calink

import (
	"math/rand/v2"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cagolden"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/node/capeer"
)

// goldenDir holds the messages of the newest protocol. Messages that protocol 1
// has too are encoded in the same way there.
const goldenDir = "testdata/protocol_2"

// messageTypes returns the type of each message between entries by the name of
// its golden file.
func messageTypes() map[string]reflect.Type {
	server := capeer.NewServer()
	server.SetGreeting(func() caversion.Greeting { return caversion.Greeting{} })
	Register(server, Components{})
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

// TestMessageEncodingIsStable guards against changes of the encoding that
// entries of other versions could not decode. Each message of each call must
// have a golden file, and its bytes must decode to the recorded value.
func TestMessageEncodingIsStable(t *testing.T) {
	types := messageTypes()
	for name, typ := range types {
		sample := cagolden.NewFilled(typ).Interface()
		if err := cagolden.Verify(filepath.Join(goldenDir, name), sample, codecOf(typ)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	files, err := filepath.Glob(filepath.Join(goldenDir, "*"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if _, ok := types[filepath.Base(file)]; !ok {
			t.Errorf("%s belongs to a call that no longer has a handler", file)
		}
	}
	if diff := cmp.Diff(len(types), len(files)); diff != "" {
		t.Errorf("number of files mismatch (-want +got):\n%s", diff)
	}
}

// mutationsPerMessage is the number of mutated copies of each message.
const mutationsPerMessage = 300

// TestMutatedMessagesDoNotPanic decodes mutated copies of all messages, as a
// peer of another version might send them. Decoding may return an error but must
// not panic.
func TestMutatedMessagesDoNotPanic(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	rejected := 0
	for name, typ := range messageTypes() {
		data, _, err := cagolden.Read(filepath.Join(goldenDir, name))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		for range mutationsPerMessage {
			if _, err := codecOf(typ).Decode(cagolden.Mutate(rng, data)); err != nil {
				rejected++
			}
		}
	}
	if rejected == 0 {
		t.Error("no mutated message was rejected; the mutations have no effect")
	}
}

// TestUnknownFieldsAreSkipped requires that a message with an unknown field
// decodes without it, since entries of a newer version may add fields during a
// rolling update. Messages that are encoded as arrays are exempt.
func TestUnknownFieldsAreSkipped(t *testing.T) {
	for name, typ := range messageTypes() {
		if typ.Kind() != reflect.Struct || isEncodedAsArray(typ) {
			continue
		}
		data, text, err := cagolden.Read(filepath.Join(goldenDir, name))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		value, err := codecOf(typ).Decode(cagolden.WithUnknownField(data))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if diff := cmp.Diff(text, cagolden.Dump(value)); diff != "" {
			t.Errorf("%s mismatch (-want +got):\n%s", name, diff)
		}
	}
}

// isEncodedAsArray reports whether a message of the type is a CBOR array of its
// fields.
func isEncodedAsArray(t reflect.Type) bool {
	field, ok := t.FieldByName("_")
	return ok && strings.Contains(field.Tag.Get("cbor"), "toarray")
}
