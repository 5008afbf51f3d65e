package cagauge_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/cell/cagauge"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// valuesOf returns the gauges that are not zero by queue, and how many there are.
func valuesOf(scope tally.TestScope) (map[string]float64, int) {
	values := make(map[string]float64)
	gauges := scope.Snapshot().Gauges()
	for _, g := range gauges {
		if g.Value() != 0 {
			values[g.Tags()[cagauge.QueueLabel]] += g.Value()
		}
	}
	return values, len(gauges)
}

// TestOpenJobsOfEndedQueues guards against counts that stay after the last job of a queue, or after the entry has
// stopped leading: operators would add them to those of the next leader.
func TestOpenJobsOfEndedQueues(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	o := cagauge.NewOpenJobs(scope)
	o.Report(0, map[caspec.QueueName]int{"a": 3, "b": 1})
	o.Report(1, map[caspec.QueueName]int{"a": 2})
	o.Report(0, map[caspec.QueueName]int{"b": 4})
	got, _ := valuesOf(scope)
	if diff := cmp.Diff(map[string]float64{"a": 2, "b": 4}, got); diff != "" {
		t.Errorf("open jobs (-want +got):\n%s", diff)
	}
	o.Report(0, nil)
	o.Report(1, nil)
	if got, _ = valuesOf(scope); len(got) > 0 {
		t.Errorf("open jobs %v after the shards have other leaders, want none", got)
	}
}

// TestLabelsOfQueues guards against two queues with one label, since the characters that metrics do not have are all
// replaced by the same one.
func TestLabelsOfQueues(t *testing.T) {
	for queue, want := range map[caspec.QueueName]string{"north-b_2": "north-b_2", "a.b": "a_2eb", "a/b": "a_2fb", "ø": "_c3_b8"} {
		if diff := cmp.Diff(want, cagauge.LabelOf(queue)); diff != "" {
			t.Errorf("label of %s (-want +got):\n%s", queue, diff)
		}
	}
}

// TestLabelsOfOpenJobsAreBounded guards against a process that keeps a metric for each queue that there ever was.
func TestLabelsOfOpenJobsAreBounded(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	o := cagauge.NewOpenJobs(scope)
	for i := range 1000 {
		o.Report(0, map[caspec.QueueName]int{caspec.QueueName(fmt.Sprint(i)): 2})
	}
	o.Report(0, map[caspec.QueueName]int{"0": 1, "998": 2, "999": 3})
	got, labels := valuesOf(scope)
	if diff := cmp.Diff(map[string]float64{"0": 1, cagauge.Others: 5}, got); diff != "" || labels > 250 {
		t.Errorf("open jobs with %d labels (-want +got):\n%s", labels, diff)
	}
}
