package calist_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/coord/calist"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// fakeList returns an error for the third to fifth call and from the seventh on.
type fakeList struct{ calls int }

func (l *fakeList) List(context.Context) ([]caplatform.VM, error) {
	l.calls++
	if l.calls >= 3 && l.calls < 6 || l.calls > 6 {
		return nil, cakind.New(cakind.KindUnavailable, "VM list is unavailable")
	}
	return []caplatform.VM{{ID: "u1", Slots: l.calls}}, nil
}

// While the platform's list is unavailable, polling goes on and no empty list
// replaces the last one.
func TestLastListIsKeptWhileListFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := &fakeList{}
		part := calist.NewPoller(list, catimer.NewService(), zerolog.Nop(), tally.NoopScope)
		sub := part.Subscribe()
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = part.Run(ctx) }()
		var got []int
		for len(got) < 3 {
			got = append(got, (<-sub.C).VMs[0].Slots)
		}
		if diff := cmp.Diff([]int{1, 2, 6}, got); diff != "" {
			t.Errorf("successful calls mismatch (-want +got):\n%s", diff)
		}
		time.Sleep(time.Minute)
		if diff := cmp.Diff(6, part.Last().VMs[0].Slots); diff != "" {
			t.Errorf("last list mismatch (-want +got):\n%s", diff)
		}
		cancel()
		<-part.Done()
		if v, ok := <-sub.C; ok {
			t.Errorf("received list %v after Run returned", v)
		}
	})
}
