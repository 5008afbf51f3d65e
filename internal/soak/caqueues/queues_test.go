package caqueues_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/soak/caqueues"
)

// TestChangesOfQueues guards against changes after which callers find no queue at the path of their jobs, and against a
// queue that returns where it should be gone for good.
func TestChangesOfQueues(t *testing.T) {
	for _, change := range caqueues.ChangeValues() {
		var r caqueues.Queues
		r.Begin("a", change)
		during := prefixesOf(r)
		r.End("a", change)
		want := map[caqueues.Change][2]map[caspec.QueueName]string{
			caqueues.ChangeReplace: {{"b": "/b/"}, {"a-1": "/a/", "b": "/b/"}},
			caqueues.ChangeSwap:    {{"a-1": "/a/", "b": "/b/"}, {"a": "/a/", "b": "/b/"}},
			caqueues.ChangeMove:    {{"a-1": "/a-1/", "b": "/b/"}, {"a": "/a/", "b": "/b/"}},
		}[change]
		if diff := cmp.Diff(want, [2]map[caspec.QueueName]string{during, prefixesOf(r)}); diff != "" {
			t.Errorf("%v, while it lasts and after it (-want +got):\n%s", change, diff)
		}
	}
}

// TestOverlappingChangesOfQueues guards against a soak that ends without a queue at some path.
func TestOverlappingChangesOfQueues(t *testing.T) {
	var r caqueues.Queues
	r.Begin("a", caqueues.ChangeReplace)
	r.Begin("a", caqueues.ChangeMove)
	r.End("a", caqueues.ChangeReplace)
	r.Begin("a", caqueues.ChangeSwap)
	r.End("a", caqueues.ChangeMove)
	r.End("a", caqueues.ChangeSwap)
	if diff := cmp.Diff(map[caspec.QueueName]string{"a": "/a/", "b": "/b/"}, prefixesOf(r)); diff != "" {
		t.Errorf("queues in the end (-want +got):\n%s", diff)
	}
}

// prefixesOf returns the prefixes of a policy with two queues by their names.
func prefixesOf(r caqueues.Queues) map[caspec.QueueName]string {
	p := r.Apply(caspec.Policy{Queues: []caspec.Queue{{Name: "a", Prefix: "/a/"}, {Name: "b", Prefix: "/b/"}}})
	prefixes := make(map[caspec.QueueName]string)
	for _, q := range p.Queues {
		prefixes[q.Name] = q.Prefix
	}
	return prefixes
}
