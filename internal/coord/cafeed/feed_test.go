package cafeed_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/coord/cafeed"
)

func TestSlowSubscriberGetsAllInOrder(t *testing.T) {
	var f cafeed.Feed[int]
	sub := f.Subscribe()
	f.Publish(1, 2)
	f.Publish(3)
	f.Close()
	var got []int
	for v := range sub.C {
		got = append(got, v)
	}
	if diff := cmp.Diff([]int{1, 2, 3}, got); diff != "" {
		t.Errorf("values mismatch (-want +got):\n%s", diff)
	}
}

func TestClosedSubscriptionEnds(t *testing.T) {
	var f cafeed.Feed[int]
	sub := f.Subscribe()
	other := f.Subscribe()
	f.Publish(1)
	sub.Close()
	sub.Close()
	f.Publish(2)
	if diff := cmp.Diff([]int{1, 2}, []int{<-other.C, <-other.C}); diff != "" {
		t.Errorf("other subscription mismatch (-want +got):\n%s", diff)
	}
	for v := range sub.C {
		if v == 2 {
			t.Error("value delivered that was published after Close")
		}
	}
}

func TestSubscribeAfterCloseEnds(t *testing.T) {
	var f cafeed.Feed[int]
	f.Close()
	if v, ok := <-f.Subscribe().C; ok {
		t.Errorf("got value %d from a closed feed", v)
	}
}
