// Package cadocument decodes documents into typed values and encodes them.
// Decoding is strict: an unknown name, a wrong type or a missing unit is
// reported as a problem with its position.
package cadocument

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/config/camerge"
	"celeryarch.example/celeryarch/internal/config/caproblem"
)

// Decoder is a value that decodes itself from a node.
type Decoder interface {
	DecodeNode(n camerge.Node) error
}

// Encoder is a value that encodes itself as canonical JSON.
type Encoder interface {
	EncodeNode() []byte
}

// Decode decodes a document into the value that target points to. Fields that
// the document omits keep their previous values, so callers can set defaults
// first. The json tag of a field is its name in the document.
func Decode(n camerge.Node, target any) caproblem.List {
	var d decoder
	d.decodeValue(n, reflect.ValueOf(target).Elem(), "")
	return d.problems
}

type decoder struct {
	problems caproblem.List
}

func (d *decoder) reportf(at caproblem.Position, path, format string, args ...any) {
	d.problems = append(d.problems, caproblem.Problem{At: at, Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (d *decoder) decodeValue(n camerge.Node, v reflect.Value, path string) {
	if t, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(n, t, path)
		return
	}
	switch target := v.Addr().Interface().(type) {
	case Decoder:
		if err := target.DecodeNode(n); err != nil {
			d.reportf(n.Position, path, "%s", err)
		}
		return
	case *time.Duration:
		d.decodeDuration(n, target, path)
		return
	case *cawork.Bytes:
		d.decodeBytes(n, target, path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(n, v, path)
	case reflect.Map:
		d.decodeMap(n, v, path)
	case reflect.Slice:
		d.decodeSlice(n, v, path)
	default:
		d.decodeScalar(n, v, path)
	}
}

func (d *decoder) decodeScalar(n camerge.Node, v reflect.Value, path string) {
	switch v.Kind() {
	case reflect.String:
		if d.requireKind(n, camerge.KindText, "a string", path) {
			v.SetString(n.Text)
		}
	case reflect.Bool:
		if d.requireKind(n, camerge.KindBool, "true or false", path) {
			v.SetBool(n.Text == "true")
		}
	case reflect.Int, reflect.Int64:
		d.decodeInteger(n, v, path)
	case reflect.Float64:
		d.decodeNumber(n, v, path)
	default:
		panic("cadocument: unsupported type " + v.Type().String())
	}
}

func (d *decoder) requireKind(n camerge.Node, k camerge.Kind, expected, path string) bool {
	if n.Kind == k {
		return true
	}
	d.reportf(n.Position, path, "must be %s, not %s", expected, Describe(n))
	return false
}

// Describe formats a value for the text of a problem.
func Describe(n camerge.Node) string {
	switch n.Kind {
	case camerge.KindText:
		return strconv.Quote(n.Text)
	case camerge.KindNumber, camerge.KindBool:
		return n.Text
	case camerge.KindObject:
		return "an object"
	case camerge.KindArray:
		return "a list"
	default:
		return "null"
	}
}

func (d *decoder) decodeInteger(n camerge.Node, v reflect.Value, path string) {
	if !d.requireKind(n, camerge.KindNumber, "a whole number", path) {
		return
	}
	i, err := strconv.ParseInt(n.Text, 10, v.Type().Bits())
	if err != nil {
		d.reportf(n.Position, path, "must be a whole number, not %s", n.Text)
		return
	}
	v.SetInt(i)
}

func (d *decoder) decodeNumber(n camerge.Node, v reflect.Value, path string) {
	if !d.requireKind(n, camerge.KindNumber, "a number", path) {
		return
	}
	f, err := strconv.ParseFloat(n.Text, 64)
	if err != nil {
		d.reportf(n.Position, path, "%s is out of range", n.Text)
		return
	}
	v.SetFloat(f)
}

func (d *decoder) decodeText(n camerge.Node, t encoding.TextUnmarshaler, path string) {
	if !d.requireKind(n, camerge.KindText, "a string", path) {
		return
	}
	if err := t.UnmarshalText([]byte(n.Text)); err != nil {
		d.reportf(n.Position, path, "%s", err)
	}
}

func (d *decoder) decodeDuration(n camerge.Node, target *time.Duration, path string) {
	if !d.requireKind(n, camerge.KindText, `a duration with its unit, such as "2s"`, path) {
		return
	}
	value, err := time.ParseDuration(n.Text)
	if err != nil {
		d.reportf(n.Position, path, `must be a duration with its unit, such as "2s", not %q`, n.Text)
		return
	}
	*target = value
}

func (d *decoder) decodeBytes(n camerge.Node, target *cawork.Bytes, path string) {
	if !d.requireKind(n, camerge.KindText, `an amount of memory with its unit, such as "4GiB"`, path) {
		return
	}
	value, err := ParseBytes(n.Text)
	if err != nil {
		d.reportf(n.Position, path, "%s", err)
		return
	}
	*target = value
}

func (d *decoder) decodeSlice(n camerge.Node, v reflect.Value, path string) {
	if !d.requireKind(n, camerge.KindArray, "a list", path) {
		return
	}
	list := reflect.MakeSlice(v.Type(), len(n.Elements), len(n.Elements))
	for i, e := range n.Elements {
		d.decodeValue(e, list.Index(i), camerge.JoinPath(path, strconv.Itoa(i)))
	}
	v.Set(list)
}

func (d *decoder) decodeMap(n camerge.Node, v reflect.Value, path string) {
	if !d.requireKind(n, camerge.KindObject, "an object", path) {
		return
	}
	if v.IsNil() {
		v.Set(reflect.MakeMap(v.Type()))
	}
	for _, m := range n.Members {
		d.decodeMapEntry(m, v, camerge.JoinPath(path, m.Name))
	}
}

func (d *decoder) decodeMapEntry(m camerge.Member, v reflect.Value, path string) {
	key := reflect.New(v.Type().Key()).Elem()
	if t, ok := key.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if err := t.UnmarshalText([]byte(m.Name)); err != nil {
			d.reportf(m.NamePosition, path, "%s", err)
			return
		}
	} else {
		key.SetString(m.Name)
	}
	element := reflect.New(v.Type().Elem()).Elem()
	if existing := v.MapIndex(key); existing.IsValid() {
		element.Set(existing)
	}
	d.decodeValue(m.Value, element, path)
	v.SetMapIndex(key, element)
}

func (d *decoder) decodeStruct(n camerge.Node, v reflect.Value, path string) {
	if !d.requireKind(n, camerge.KindObject, "an object", path) {
		return
	}
	for _, m := range n.Members {
		fieldPath := camerge.JoinPath(path, m.Name)
		field, ok := fieldByName(v, m.Name)
		if !ok {
			d.reportf(m.NamePosition, fieldPath, "unknown field; known are %s", strings.Join(fieldNames(v), ", "))
			continue
		}
		d.decodeValue(m.Value, field, fieldPath)
	}
}

func fieldByName(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if n, _ := fieldTag(v.Type().Field(i)); n == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func fieldNames(v reflect.Value) []string {
	var names []string
	for i := range v.NumField() {
		if name, _ := fieldTag(v.Type().Field(i)); name != "" {
			names = append(names, name)
		}
	}
	return names
}
