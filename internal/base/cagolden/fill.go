package cagolden

import (
	"encoding"
	"reflect"
	"strconv"
	"time"
)

// filler sets the fields and elements of a value from a counter, so that most of
// them differ from one another.
type filler struct{ count int64 }

var (
	textMarshalerType = reflect.TypeFor[encoding.TextMarshaler]()
	timeType          = reflect.TypeFor[time.Time]()
)

// sliceLength is the number of elements in each filled slice.
const sliceLength = 2

func (f *filler) fill(v reflect.Value) {
	f.count++
	switch {
	case v.Type() == timeType:
		v.Set(reflect.ValueOf(time.Unix(f.count, f.count).UTC()))
		return
	case v.Type().Implements(textMarshalerType) && v.CanInt():
		// Every enum has at least two values, so 1 is valid.
		v.SetInt(1)
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString("text-" + strconv.FormatInt(f.count, 10))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(f.count)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.count))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.count) + 0.5)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	default:
		f.fillComposite(v)
	}
}

func (f *filler) fillComposite(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Field(i).CanSet() {
				f.fill(v.Field(i))
			}
		}
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), sliceLength, sliceLength))
		for i := range sliceLength {
			f.fill(v.Index(i))
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	default:
	}
}
