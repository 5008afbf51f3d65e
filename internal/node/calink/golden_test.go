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

// goldenFolder holds the messages of the newest protocol. Those that protocol 1
// has too have the same form there.
const goldenFolder = "testdata/protocol_2"

// messages returns the type of each message between entries by the name of its
// file.
func messages() map[string]reflect.Type {
	server := capeer.NewServer()
	server.GreetAs(func() caversion.Greeting { return caversion.Greeting{} })
	Register(server, Parts{})
	types := make(map[string]reflect.Type)
	for _, c := range server.Types() {
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

// TestMessagesKeepTheirForm requires a file for each message of each call, and
// that the bytes in it are read to the value that they had.
func TestMessagesKeepTheirForm(t *testing.T) {
	types := messages()
	for name, typ := range types {
		sample := cagolden.New(typ).Interface()
		if err := cagolden.Verify(filepath.Join(goldenFolder, name), sample, codecOf(typ)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	files, err := filepath.Glob(filepath.Join(goldenFolder, "*"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if _, ok := types[filepath.Base(file)]; !ok {
			t.Errorf("%s is of a call that is not served any more", file)
		}
	}
	if diff := cmp.Diff(len(types), len(files)); diff != "" {
		t.Errorf("number of files mismatch (-want +got):\n%s", diff)
	}
}

// mutations is the number of changed copies of each message.
const mutations = 300

// TestMessagesOfAnotherVersionDoNotPanic decodes changed copies of all messages.
// What is refused is an error.
func TestMessagesOfAnotherVersionDoNotPanic(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	refused := 0
	for name, typ := range messages() {
		data, _, err := cagolden.Read(filepath.Join(goldenFolder, name))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		for range mutations {
			if _, err := codecOf(typ).Decode(cagolden.Mutate(rng, data)); err != nil {
				refused++
			}
		}
	}
	if refused == 0 {
		t.Error("no changed message was refused, so none was changed")
	}
}

// TestUnknownFieldsAreSkipped requires that a message with a field that this
// program does not know is read, as rolling updates need it, unless it has the
// form of a list.
func TestUnknownFieldsAreSkipped(t *testing.T) {
	for name, typ := range messages() {
		if typ.Kind() != reflect.Struct || isList(typ) {
			continue
		}
		data, text, err := cagolden.Read(filepath.Join(goldenFolder, name))
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

// isList reports whether the messages of the type are lists of their fields.
func isList(t reflect.Type) bool {
	field, ok := t.FieldByName("_")
	return ok && strings.Contains(field.Tag.Get("cbor"), "toarray")
}
