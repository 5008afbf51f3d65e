package caroutes_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/soak/caroutes"
)

// TestChangesOfRoutes guards against changes after which callers find no queue at the path of their jobs, and against a
// queue that returns where it should be gone for good.
func TestChangesOfRoutes(t *testing.T) {
	for _, change := range caroutes.ChangeValues() {
		var r caroutes.Routes
		r.Begin("a", change)
		during := routesOf(r)
		r.End("a", change)
		want := map[caroutes.Change][2]map[caspec.QueueName]string{
			caroutes.ChangeReplace: {{"b": "/b/"}, {"a-1": "/a/", "b": "/b/"}},
			caroutes.ChangeSwap:    {{"a-1": "/a/", "b": "/b/"}, {"a": "/a/", "b": "/b/"}},
			caroutes.ChangeMove:    {{"a-1": "/a-1/", "b": "/b/"}, {"a": "/a/", "b": "/b/"}},
		}[change]
		if diff := cmp.Diff(want, [2]map[caspec.QueueName]string{during, routesOf(r)}); diff != "" {
			t.Errorf("%v, while it lasts and after it (-want +got):\n%s", change, diff)
		}
	}
}

// TestOverlappingChangesOfRoutes guards against a soak that ends without a queue at some path.
func TestOverlappingChangesOfRoutes(t *testing.T) {
	var r caroutes.Routes
	r.Begin("a", caroutes.ChangeReplace)
	r.Begin("a", caroutes.ChangeMove)
	r.End("a", caroutes.ChangeReplace)
	r.Begin("a", caroutes.ChangeSwap)
	r.End("a", caroutes.ChangeMove)
	r.End("a", caroutes.ChangeSwap)
	if diff := cmp.Diff(map[caspec.QueueName]string{"a": "/a/", "b": "/b/"}, routesOf(r)); diff != "" {
		t.Errorf("routes in the end (-want +got):\n%s", diff)
	}
}

// routesOf returns the prefixes of a policy with two queues by their names.
func routesOf(r caroutes.Routes) map[caspec.QueueName]string {
	p := r.Apply(caspec.Policy{Queues: []caspec.Queue{{Name: "a", Prefix: "/a/"}, {Name: "b", Prefix: "/b/"}}})
	prefixes := make(map[caspec.QueueName]string)
	for _, q := range p.Queues {
		prefixes[q.Name] = q.Prefix
	}
	return prefixes
}
