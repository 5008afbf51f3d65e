package caterms

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
)

// catalog holds the definitions of one kind by their names.
type catalog[N ~string, T any] struct {
	prefix string
	items  map[N]*item[T]
	// unlisted counts the items that the policy in force does not list.
	unlisted int
	// awaited are the names that a job needs and no known version lists.
	awaited map[N]bool
	// changed are the items to store, and removed the keys of the records to remove.
	changed map[N]bool
	removed []string
}

// item is one definition.
type item[T any] struct {
	value *T
	// version is the newest known version of the policy that lists the item.
	version int64
	listed  bool
	// needed is set once a job has needed the item, and stored while there is a record of it.
	needed, stored bool
	// told is set once takeRemoved has returned the item since it was last listed.
	told bool
}

func newCatalog[N ~string, T any](prefix string) catalog[N, T] {
	return catalog[N, T]{prefix: prefix, items: make(map[N]*item[T]), awaited: make(map[N]bool), changed: make(map[N]bool)}
}

// apply applies what a version lists.
func (c *catalog[N, T]) apply(version int64, listed map[N]T) {
	for name, i := range c.items {
		_, i.listed = listed[name]
	}
	for name, value := range listed {
		i, ok := c.items[name]
		if !ok {
			c.add(name, &item[T]{value: &value, version: version, listed: true})
			continue
		}
		i.told = false
		if version < i.version {
			continue
		}
		i.version = version
		if reflect.DeepEqual(*i.value, value) {
			continue
		}
		i.value = &value
		if i.needed || i.stored {
			c.changed[name] = true
		}
	}
	c.unlisted = len(c.unlistedNames())
}

// takeRemoved returns the names that a version does not list and that are of earlier ones, each once, in order.
func (c *catalog[N, T]) takeRemoved(version int64) []N {
	var removed []N
	for _, name := range c.unlistedNames() {
		if i := c.items[name]; !i.told && i.version < version {
			i.told = true
			removed = append(removed, name)
		}
	}
	return removed
}

// add adds a new item, which a job may need already.
func (c *catalog[N, T]) add(name N, i *item[T]) {
	c.items[name] = i
	if c.awaited[name] {
		delete(c.awaited, name)
		c.need(name)
	}
}

func (c *catalog[N, T]) hasUnlisted() bool { return c.unlisted > 0 || len(c.awaited) > 0 }

func (c *catalog[N, T]) unlistedNames() []N {
	var names []N
	for name, i := range c.items {
		if !i.listed {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (c *catalog[N, T]) value(name N) (*T, bool) {
	i, ok := c.items[name]
	if !ok {
		return nil, false
	}
	return i.value, true
}

func (c *catalog[N, T]) isListed(name N) bool {
	i, ok := c.items[name]
	return ok && i.listed
}

func (c *catalog[N, T]) version(name N) int64 {
	i, ok := c.items[name]
	if !ok {
		return 0
	}
	return i.version
}

func (c *catalog[N, T]) need(name N) {
	i, ok := c.items[name]
	if !ok {
		c.awaited[name] = true
		return
	}
	i.needed = true
	if !i.stored {
		c.changed[name] = true
	}
}

// prune ends the unlisted items that nothing needs, and returns their names in order.
func (c *catalog[N, T]) prune(needs func(N) bool) []N {
	var ended []N
	for _, name := range c.unlistedNames() {
		if needs(name) {
			continue
		}
		if c.items[name].stored {
			c.removed = append(c.removed, keyOf(c.prefix, name))
		}
		delete(c.items, name)
		delete(c.changed, name)
		ended = append(ended, name)
	}
	c.unlisted -= len(ended)
	maps.DeleteFunc(c.awaited, func(name N, _ bool) bool { return !needs(name) })
	return ended
}

func (c *catalog[N, T]) hasChanges() bool { return len(c.changed) > 0 || len(c.removed) > 0 }

func (c *catalog[N, T]) takeChanges(wrap func(T) definition) ([]Record, error) {
	records := make([]Record, 0, len(c.removed)+len(c.changed))
	for _, key := range c.removed {
		records = append(records, Record{Key: key})
	}
	for _, name := range slices.Sorted(maps.Keys(c.changed)) {
		i := c.items[name]
		d := wrap(*i.value)
		d.Version = i.version
		value, err := d.encode()
		if err != nil {
			return nil, err
		}
		i.stored = true
		records = append(records, Record{Key: keyOf(c.prefix, name), Value: value})
	}
	c.removed = nil
	clear(c.changed)
	slices.SortStableFunc(records, func(x, y Record) int { return cmp.Compare(x.Key, y.Key) })
	return records, nil
}

func (c *catalog[N, T]) restore(name N, version int64, value T) {
	i, ok := c.items[name]
	switch {
	case !ok:
		i = &item[T]{value: &value, version: version, stored: true}
		c.add(name, i)
		c.unlisted++
	case i.version < version:
		i.value, i.version = &value, version
	case !reflect.DeepEqual(*i.value, value):
		c.changed[name] = true
	}
	i.stored = true
}
