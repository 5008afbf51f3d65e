// Package cadocument turns documents into typed values and back. Decoding is
// strict: an unknown name, a wrong type or a missing unit is a problem with
// its place.
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

// Decoder is a value that reads itself from a node.
type Decoder interface {
	DecodeNode(n camerge.Node) error
}

// Encoder is a value that writes itself as canonical JSON.
type Encoder interface {
	EncodeNode() []byte
}

// Decode fills the value that into points to. Names that the document leaves
// out keep the value that they had, which is how defaults are given. The
// json tag of a field is its name in the document.
func Decode(n camerge.Node, into any) caproblem.List {
	var d decoder
	d.value(n, reflect.ValueOf(into).Elem(), "")
	return d.problems
}

type decoder struct {
	problems caproblem.List
}

func (d *decoder) refuse(at caproblem.Position, path, format string, args ...any) {
	d.problems = append(d.problems, caproblem.Problem{At: at, Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (d *decoder) value(n camerge.Node, v reflect.Value, path string) {
	if t, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(n, t, path)
		return
	}
	switch to := v.Addr().Interface().(type) {
	case Decoder:
		if err := to.DecodeNode(n); err != nil {
			d.refuse(n.At, path, "%s", err)
		}
		return
	case *time.Duration:
		d.duration(n, to, path)
		return
	case *cawork.Bytes:
		d.bytes(n, to, path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.structure(n, v, path)
	case reflect.Map:
		d.mapping(n, v, path)
	case reflect.Slice:
		d.slice(n, v, path)
	default:
		d.scalar(n, v, path)
	}
}

func (d *decoder) scalar(n camerge.Node, v reflect.Value, path string) {
	switch v.Kind() {
	case reflect.String:
		if d.want(n, camerge.KindText, "a string", path) {
			v.SetString(n.Text)
		}
	case reflect.Bool:
		if d.want(n, camerge.KindBool, "true or false", path) {
			v.SetBool(n.Text == "true")
		}
	case reflect.Int, reflect.Int64:
		d.integer(n, v, path)
	case reflect.Float64:
		d.number(n, v, path)
	default:
		panic("cadocument: no form for " + v.Type().String())
	}
}

func (d *decoder) want(n camerge.Node, k camerge.Kind, form, path string) bool {
	if n.Kind == k {
		return true
	}
	d.refuse(n.At, path, "must be %s, not %s", form, Describe(n))
	return false
}

// Describe returns a value as a problem shows it.
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

func (d *decoder) integer(n camerge.Node, v reflect.Value, path string) {
	if !d.want(n, camerge.KindNumber, "a whole number", path) {
		return
	}
	i, err := strconv.ParseInt(n.Text, 10, v.Type().Bits())
	if err != nil {
		d.refuse(n.At, path, "must be a whole number, not %s", n.Text)
		return
	}
	v.SetInt(i)
}

func (d *decoder) number(n camerge.Node, v reflect.Value, path string) {
	if !d.want(n, camerge.KindNumber, "a number", path) {
		return
	}
	f, err := strconv.ParseFloat(n.Text, 64)
	if err != nil {
		d.refuse(n.At, path, "%s is out of range", n.Text)
		return
	}
	v.SetFloat(f)
}

func (d *decoder) text(n camerge.Node, t encoding.TextUnmarshaler, path string) {
	if !d.want(n, camerge.KindText, "a string", path) {
		return
	}
	if err := t.UnmarshalText([]byte(n.Text)); err != nil {
		d.refuse(n.At, path, "%s", err)
	}
}

func (d *decoder) duration(n camerge.Node, to *time.Duration, path string) {
	if !d.want(n, camerge.KindText, `a duration with its unit, such as "2s"`, path) {
		return
	}
	value, err := time.ParseDuration(n.Text)
	if err != nil {
		d.refuse(n.At, path, `must be a duration with its unit, such as "2s", not %q`, n.Text)
		return
	}
	*to = value
}

func (d *decoder) bytes(n camerge.Node, to *cawork.Bytes, path string) {
	if !d.want(n, camerge.KindText, `an amount of memory with its unit, such as "4GiB"`, path) {
		return
	}
	value, err := ParseBytes(n.Text)
	if err != nil {
		d.refuse(n.At, path, "%s", err)
		return
	}
	*to = value
}

func (d *decoder) slice(n camerge.Node, v reflect.Value, path string) {
	if !d.want(n, camerge.KindArray, "a list", path) {
		return
	}
	list := reflect.MakeSlice(v.Type(), len(n.Elements), len(n.Elements))
	for i, e := range n.Elements {
		d.value(e, list.Index(i), camerge.JoinPath(path, strconv.Itoa(i)))
	}
	v.Set(list)
}

func (d *decoder) mapping(n camerge.Node, v reflect.Value, path string) {
	if !d.want(n, camerge.KindObject, "an object", path) {
		return
	}
	if v.IsNil() {
		v.Set(reflect.MakeMap(v.Type()))
	}
	for _, m := range n.Members {
		d.entry(m, v, camerge.JoinPath(path, m.Name))
	}
}

func (d *decoder) entry(m camerge.Member, v reflect.Value, path string) {
	key := reflect.New(v.Type().Key()).Elem()
	if t, ok := key.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if err := t.UnmarshalText([]byte(m.Name)); err != nil {
			d.refuse(m.NameAt, path, "%s", err)
			return
		}
	} else {
		key.SetString(m.Name)
	}
	element := reflect.New(v.Type().Elem()).Elem()
	if before := v.MapIndex(key); before.IsValid() {
		element.Set(before)
	}
	d.value(m.Value, element, path)
	v.SetMapIndex(key, element)
}

func (d *decoder) structure(n camerge.Node, v reflect.Value, path string) {
	if !d.want(n, camerge.KindObject, "an object", path) {
		return
	}
	for _, m := range n.Members {
		at := camerge.JoinPath(path, m.Name)
		field, ok := fieldNamed(v, m.Name)
		if !ok {
			d.refuse(m.NameAt, at, "unknown field; known are %s", strings.Join(fieldNames(v), ", "))
			continue
		}
		d.value(m.Value, field, at)
	}
}

func fieldNamed(v reflect.Value, name string) (reflect.Value, bool) {
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
