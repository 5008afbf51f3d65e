package cagolden

import (
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"
)

// Mutate returns a random mutation of encoded CBOR, such as another program
// version or a corruption may produce: fields that are missing, unknown, nil or
// of another type, and bytes that are changed, truncated or appended.
func Mutate(rng *rand.Rand, data []byte) []byte {
	out := append([]byte(nil), data...)
	if rng.IntN(4) > 0 {
		out = mutateTree(rng, out)
	}
	for range rng.IntN(3) {
		out = corrupt(rng, out)
	}
	return out
}

func corrupt(rng *rand.Rand, data []byte) []byte {
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

// mutateTree mutates the tree of values that the bytes encode. It returns bytes
// that are not valid CBOR unchanged.
func mutateTree(rng *rand.Rand, data []byte) []byte {
	var tree any
	if err := cbor.Unmarshal(data, &tree); err != nil {
		return data
	}
	for range 1 + rng.IntN(3) {
		tree = mutateValue(rng, tree)
	}
	out, err := cbor.Marshal(tree)
	if err != nil {
		return data
	}
	return out
}

// mutateValue changes one randomly chosen value in the tree.
func mutateValue(rng *rand.Rand, tree any) any {
	switch v := tree.(type) {
	case map[any]any:
		return mutateMap(rng, v)
	case []any:
		return mutateList(rng, v)
	default:
		return randomValue(rng)
	}
}

func mutateMap(rng *rand.Rand, m map[any]any) any {
	keys := make([]any, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	if len(keys) == 0 || rng.IntN(8) == 0 {
		m["unknown"] = randomValue(rng)
		return m
	}
	k := keys[rng.IntN(len(keys))]
	switch rng.IntN(6) {
	case 0:
		delete(m, k)
	case 1:
		m[k] = randomValue(rng)
	default:
		m[k] = mutateValue(rng, m[k])
	}
	return m
}

func mutateList(rng *rand.Rand, list []any) any {
	if len(list) == 0 {
		return append(list, randomValue(rng))
	}
	at := rng.IntN(len(list))
	switch rng.IntN(6) {
	case 0:
		return append(list[:at], list[at+1:]...)
	case 1:
		return append(list, randomValue(rng))
	default:
		list[at] = mutateValue(rng, list[at])
		return list
	}
}

// randomValue returns a value of a random type.
func randomValue(rng *rand.Rand) any {
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

// WithUnknownField returns the encoded map with an unknown field added. It
// returns bytes that do not encode a map unchanged.
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

// EncodeNewerFormat returns an encoded map that holds the format number in the given field
// and otherwise only a field that current programs do not define.
func EncodeNewerFormat(field string, format int) []byte {
	out, err := cbor.Marshal(map[string]any{field: format, "a field of a later version": "text"})
	if err != nil {
		panic("cagolden: " + err.Error())
	}
	return out
}
