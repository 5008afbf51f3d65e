package capolicy

import (
	"fmt"
	"reflect"
	"slices"

	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// keysField is the field of a team whose values are secret.
const keysField = "Keys"

// Diff returns what a policy changes in the one in force, one line a change. Keys are counted and not shown.
func Diff(inForce, p caspec.Policy) []string {
	var changes []string
	if p.Version <= inForce.Version {
		changes = append(changes, fmt.Sprintf("version %d does not follow version %d", p.Version, inForce.Version))
	}
	if p.MaxBodyBytes != inForce.MaxBodyBytes {
		changes = append(changes, fmt.Sprintf("limits MaxBodyBytes: %d -> %d", inForce.MaxBodyBytes, p.MaxBodyBytes))
	}
	changes = append(changes, diffParts("queue", inForce.Queues, p.Queues, func(q caspec.Queue) string { return string(q.Name) })...)
	changes = append(changes, diffParts("pool", inForce.Pools, p.Pools, func(p caspec.Pool) string { return string(p.Name) })...)
	return append(changes, diffParts("team", inForce.Teams, p.Teams, func(t caspec.Team) string { return string(t.Name) })...)
}

// RemovedQueues returns the queues in force that a policy does not list, and the queue that serves calls about their jobs
// then, empty if there is none.
func RemovedQueues(inForce, p caspec.Policy) map[caspec.QueueName]caspec.QueueName {
	removed := make(map[caspec.QueueName]caspec.QueueName)
	for _, q := range inForce.Queues {
		if _, ok := p.Queue(q.Name); ok {
			continue
		}
		// A shorter prefix gets the calls as well, but takes the rest of the path for no job.
		removed[q.Name] = ""
		if successor, _ := p.QueueFor(q.Host, q.Prefix); successor.Prefix == q.Prefix {
			removed[q.Name] = successor.Name
		}
	}
	return removed
}

// diffParts compares the parts of one type by their names.
func diffParts[T any](kind string, inForce, list []T, nameOf func(T) string) []string {
	var changes []string
	for _, part := range list {
		name := nameOf(part)
		i := slices.IndexFunc(inForce, func(other T) bool { return nameOf(other) == name })
		if i < 0 {
			changes = append(changes, fmt.Sprintf("%s %s is new", kind, name))
			continue
		}
		for _, change := range diffFields(reflect.ValueOf(inForce[i]), reflect.ValueOf(part)) {
			changes = append(changes, fmt.Sprintf("%s %s %s", kind, name, change))
		}
	}
	for _, part := range inForce {
		name := nameOf(part)
		if !slices.ContainsFunc(list, func(other T) bool { return nameOf(other) == name }) {
			changes = append(changes, fmt.Sprintf("%s %s is gone", kind, name))
		}
	}
	return changes
}

// diffFields compares two structs of the same type field by field.
func diffFields(x, y reflect.Value) []string {
	var changes []string
	for i := range x.NumField() {
		field, from, to := x.Type().Field(i).Name, x.Field(i).Interface(), y.Field(i).Interface()
		switch {
		case reflect.DeepEqual(from, to):
		case field == keysField:
			changes = append(changes, diffKeys(x.Field(i).Interface().([]string), y.Field(i).Interface().([]string)))
		default:
			changes = append(changes, fmt.Sprintf("%s: %s -> %s", field, text(x.Field(i)), text(y.Field(i))))
		}
	}
	return changes
}

// text returns a value, or what a pointer points to, as text.
func text(v reflect.Value) string {
	if v.Kind() != reflect.Pointer {
		return fmt.Sprintf("%+v", v.Interface())
	}
	if v.IsNil() {
		return "none"
	}
	return fmt.Sprintf("%+v", v.Elem().Interface())
}

func diffKeys(inForce, keys []string) string {
	added, removed := 0, 0
	for _, key := range keys {
		if !slices.Contains(inForce, key) {
			added++
		}
	}
	for _, key := range inForce {
		if !slices.Contains(keys, key) {
			removed++
		}
	}
	return fmt.Sprintf("%s: %d added, %d removed", keysField, added, removed)
}
