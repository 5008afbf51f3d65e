package cadocument

import (
	"bytes"
	"encoding"
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Encode returns the canonical encoding of a value that Decode accepts:
// compact JSON with sorted object names and one representation for each value,
// so that equal values have equal encodings.
func Encode(value any) []byte {
	var b bytes.Buffer
	encode(&b, reflect.ValueOf(value))
	return b.Bytes()
}

type member struct {
	name  string
	value reflect.Value
}

func encode(b *bytes.Buffer, v reflect.Value) {
	switch value := v.Interface().(type) {
	case Encoder:
		b.Write(value.EncodeNode())
		return
	case encoding.TextMarshaler:
		text, err := value.MarshalText()
		if err != nil {
			panic("cadocument: " + err.Error())
		}
		encodeJSON(b, string(text))
		return
	case time.Duration:
		encodeJSON(b, value.String())
		return
	case cawork.Bytes:
		encodeJSON(b, FormatBytes(value))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		encodeMembers(b, structMembers(v))
	case reflect.Map:
		encodeMembers(b, mapMembers(v))
	case reflect.Slice:
		encodeSlice(b, v)
	default:
		encodeJSON(b, v.Interface())
	}
}

func encodeJSON(b *bytes.Buffer, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic("cadocument: " + err.Error())
	}
	b.Write(data)
}

func encodeSlice(b *bytes.Buffer, v reflect.Value) {
	b.WriteByte('[')
	for i := range v.Len() {
		if i > 0 {
			b.WriteByte(',')
		}
		encode(b, v.Index(i))
	}
	b.WriteByte(']')
}

func encodeMembers(b *bytes.Buffer, members []member) {
	slices.SortFunc(members, func(x, y member) int { return bytes.Compare([]byte(x.name), []byte(y.name)) })
	b.WriteByte('{')
	for i, m := range members {
		if i > 0 {
			b.WriteByte(',')
		}
		encodeJSON(b, m.name)
		b.WriteByte(':')
		encode(b, m.value)
	}
	b.WriteByte('}')
}

func structMembers(v reflect.Value) []member {
	var members []member
	for i := range v.NumField() {
		name, omitZero := fieldTag(v.Type().Field(i))
		if name == "" || (omitZero && v.Field(i).IsZero()) {
			continue
		}
		members = append(members, member{name, v.Field(i)})
	}
	return members
}

// fieldTag returns the name of a field, empty when it has none, and whether the
// field is omitted when it is zero. Fields added in a later version are omitted
// when zero, so that earlier versions can decode documents that do not use them.
func fieldTag(f reflect.StructField) (name string, omitZero bool) {
	name, option, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name, option == "omitzero"
}

func mapMembers(v reflect.Value) []member {
	var members []member
	for _, key := range v.MapKeys() {
		members = append(members, member{keyName(key), v.MapIndex(key)})
	}
	return members
}

func keyName(key reflect.Value) string {
	if t, ok := key.Interface().(encoding.TextMarshaler); ok {
		text, err := t.MarshalText()
		if err != nil {
			panic("cadocument: " + err.Error())
		}
		return string(text)
	}
	return key.String()
}
