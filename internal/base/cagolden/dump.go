package cagolden

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"
)

// Dump returns the non-zero leaves of a value as sorted lines of path and value,
// for example
//
//	.Jobs[a].Tasks[0].Attempts = 2
//
// Zero values are left out, so that adding a field to a type does not change the
// dump of values that do not set it.
func Dump(value any) string {
	var lines []string
	dump(&lines, "", reflect.ValueOf(value))
	slices.Sort(lines)
	return strings.Join(lines, "\n") + "\n"
}

func dump(lines *[]string, path string, v reflect.Value) {
	if !v.IsValid() || v.IsZero() {
		return
	}
	if v.Type() == timeType && v.CanInterface() {
		*lines = append(*lines, path+" = "+v.Interface().(time.Time).UTC().Format(time.RFC3339Nano))
		return
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		dump(lines, path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			dump(lines, path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		dumpList(lines, path, v)
	case reflect.Map:
		for _, key := range v.MapKeys() {
			dump(lines, fmt.Sprintf("%s[%v]", path, key), v.MapIndex(key))
		}
	case reflect.Func, reflect.Chan:
	default:
		*lines = append(*lines, fmt.Sprintf("%s = %v", path, v))
	}
}

func dumpList(lines *[]string, path string, v reflect.Value) {
	if v.Type().Elem().Kind() == reflect.Uint8 {
		*lines = append(*lines, fmt.Sprintf("%s = %x", path, v))
		return
	}
	*lines = append(*lines, fmt.Sprintf("%s: %d elements", path, v.Len()))
	for i := range v.Len() {
		dump(lines, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
	}
}
