package cagolden

import (
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"
)

// Mutate returns what another version, or a fault, may have made of encoded
// CBOR: fields that are missing, unknown, of another type or nil, and bytes that
// are changed, cut off or added.
func Mutate(rng *rand.Rand, data []byte) []byte {
	out := append([]byte(nil), data...)
	if rng.IntN(4) > 0 {
		out = restructure(rng, out)
	}
	for range rng.IntN(3) {
		out = garble(rng, out)
	}
	return out
}

func garble(rng *rand.Rand, data []byte) []byte {
	if len(data) == 0 {
		return data
	}
	at := rng.IntN(len(data))
	switch rng.IntN(3) {
	case 0:
		data[at] = byte(rng.IntN(256))
		return data
	case 1:
		return data[:at]
	default:
		return append(data, byte(rng.IntN(256)))
	}
}

// restructure changes the tree of values that the bytes encode. Bytes that are
// no CBOR stay as they are.
func restructure(rng *rand.Rand, data []byte) []byte {
	var tree any
	if err := cbor.Unmarshal(data, &tree); err != nil {
		return data
	}
	for range 1 + rng.IntN(3) {
		tree = change(rng, tree)
	}
	out, err := cbor.Marshal(tree)
	if err != nil {
		return data
	}
	return out
}

// change changes one value somewhere in the tree.
func change(rng *rand.Rand, tree any) any {
	switch v := tree.(type) {
	case map[any]any:
		return changeMap(rng, v)
	case []any:
		return changeList(rng, v)
	default:
		return other(rng)
	}
}

func changeMap(rng *rand.Rand, m map[any]any) any {
	keys := make([]any, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	if len(keys) == 0 || rng.IntN(8) == 0 {
		m["unknown"] = other(rng)
		return m
	}
	k := keys[rng.IntN(len(keys))]
	switch rng.IntN(6) {
	case 0:
		delete(m, k)
	case 1:
		m[k] = other(rng)
	default:
		m[k] = change(rng, m[k])
	}
	return m
}

func changeList(rng *rand.Rand, list []any) any {
	if len(list) == 0 {
		return append(list, other(rng))
	}
	at := rng.IntN(len(list))
	switch rng.IntN(6) {
	case 0:
		return append(list[:at], list[at+1:]...)
	case 1:
		return append(list, other(rng))
	default:
		list[at] = change(rng, list[at])
		return list
	}
}

// other returns a value of a random type.
func other(rng *rand.Rand) any {
	values := []any{
		nil, int64(-1), int64(0), int64(1) << 62, uint64(1) << 63, "other",
		[]byte{1},
		true, 1.5,
		[]any{},
		[]any{nil},
		map[any]any{},
		map[any]any{"other": nil},
	}
	return values[rng.IntN(len(values))]
}

// WithUnknownField returns the encoded map with one more field. Other bytes are
// returned as they are.
func WithUnknownField(data []byte) []byte {
	var m map[any]any
	if err := cbor.Unmarshal(data, &m); err != nil {
		return data
	}
	m["a field of a later version"] = "text"
	out, err := cbor.Marshal(m)
	if err != nil {
		return data
	}
	return out
}

// Later returns an encoded map that has the format under the field, and nothing
// else that a program of today knows.
func Later(field string, format int) []byte {
	out, err := cbor.Marshal(map[string]any{field: format, "a field of a later version": "text"})
	if err != nil {
		panic("cagolden: " + err.Error())
	}
	return out
}
