package cafollow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cagolden"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// failingAppends is a log on which reads succeed and every append fails.
type failingAppends struct {
	*fakeLog
	kind cakind.Kind
}

func (b failingAppends) Append(context.Context, string, [][]byte) (caplatform.Offset, error) {
	return 0, cakind.New(b.kind, "append failed")
}

// TestPublishFailureKinds guards against a publisher that reports a change as
// not sent although it may be in the log, or the other way round.
func TestPublishFailureKinds(t *testing.T) {
	tests := []struct {
		name string
		log  func(*fakeLog) caplatform.Log
		want cakind.Kind
	}{
		{"log down", func(l *fakeLog) caplatform.Log { l.down = true; return l }, cakind.KindUnavailable},
		{"log hangs", func(l *fakeLog) caplatform.Log { l.hanging = true; return l }, cakind.KindUnavailable},
		{"appends unavailable", func(l *fakeLog) caplatform.Log { return failingAppends{l, cakind.KindUnavailable} }, cakind.KindUnavailable},
		{"a record of a newer format", func(l *fakeLog) caplatform.Log {
			l.add([][]byte{cagolden.EncodeNewerFormat("format", int(caversion.FormatNewest)+1)})
			return l
		}, cakind.KindUnavailable},
		{"answers lost", func(l *fakeLog) caplatform.Log { return failingAppends{l, cakind.KindUnknown} }, cakind.KindUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				p := Publisher{Log: test.log(newFakeLog(1)), Topic: testTopic}
				_, err := p.Publish(ctx, Change{ID: "c"})
				if diff := cmp.Diff(test.want, cakind.Of(err)); err == nil || diff != "" {
					t.Errorf("%v %s", err, diff)
				}
			})
		})
	}
}

// TestPublishIsIdempotentByID publishes changes whose answers are lost, and one
// of them again later. A change must not take effect twice or be reported as
// rejected after it was accepted.
func TestPublishIsIdempotentByID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newFakeLog(1)
		l.lostAnswerChance = 1
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		p := Publisher{Log: l, Topic: testTopic}
		for _, id := range []ChangeID{"a", "b", "a"} {
			base := Version(0)
			if id == "b" {
				base = 1
			}
			r, err := p.Publish(ctx, Change{ID: id, Base: base, Body: []byte(id)})
			want := Result{Accepted: true, Version: base + 1, Winner: id}
			if diff := cmp.Diff(want, r); err != nil || diff != "" {
				t.Errorf("%s: %v %s", id, err, diff)
			}
		}
		r, err := p.Publish(ctx, Change{ID: "c", Base: 1})
		if diff := cmp.Diff(Result{Version: 2, Winner: "b"}, r); err != nil || diff != "" {
			t.Errorf("conflict: %v %s", err, diff)
		}
		_, err = p.Publish(ctx, Change{ID: "d", Body: make([]byte, MaxBodySize+1)})
		if diff := cmp.Diff(cakind.KindTooLarge, cakind.Of(err)); diff != "" {
			t.Error(diff)
		}
	})
}
