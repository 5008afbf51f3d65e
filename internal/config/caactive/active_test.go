package caactive

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/config/cacell"
	"celeryarch.example/celeryarch/internal/config/cakey"
	"celeryarch.example/celeryarch/internal/coord/cafollow"
	"celeryarch.example/celeryarch/internal/standin/castandlog"
)

// fakeSource is a Source whose version the test sets.
type fakeSource struct {
	mu          sync.Mutex
	snapshot    cafollow.Snapshot
	changed     chan struct{}
	confirmedAt time.Time
}

func (s *fakeSource) Current() cafollow.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

func (s *fakeSource) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *fakeSource) ConfirmedAt([]cawork.ZoneName) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmedAt
}

func (s *fakeSource) set(v cafollow.Version, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = cafollow.Snapshot{Version: v, Body: []byte(body), Hash: cafollow.DigestOf([]byte(body))}
	s.confirmedAt = time.Now()
	close(s.changed)
	s.changed = make(chan struct{})
}

func configBody(key cakey.GeneratedKey, withdrawn bool, unconfirmed string) string {
	return fmt.Sprintf(`{
		"zones": {"a": {"allowance_percent": 100}},
		"teams": {"knit": {"share": 1, "limit": {"processors": 1, "memory": "1GiB", "accelerators": 0}}},
		"queues": {"open": {"team": "knit", "kinds": ["lookup"]}},
		"keys": {%q: {"team": "knit", "sha256": %q, "withdrawn": %v}},
		"key_freshness": "30s", "unconfirmed_keys": %q}`, key.ID, key.Hash, withdrawn, unconfirmed)
}

// authErrorKind returns the kind of the error for a key, "" when it is accepted.
func authErrorKind(a *Tracker, secret string) string {
	if _, err := a.Authenticate(secret); err != nil {
		return cakind.Of(err).String()
	}
	return ""
}

func TestActive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		key, unknownKey := cakey.Generate(), cakey.Generate()
		source := &fakeSource{changed: make(chan struct{})}
		a := NewTracker(source, catimer.NewService(), zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = a.Run(ctx) }()
		defer func() { cancel(); <-a.Done() }()
		steps := []struct {
			name           string
			change         func()
			wantVersion    cafollow.Version
			wantKey        string
			wantUnknownKey string
		}{
			{"no configuration yet", func() {}, 0, "key_unconfirmed", "key_unconfirmed"},
			{"granted", func() { source.set(1, configBody(key, false, "refuse")) }, 1, "", "unauthenticated"},
			{"confirmed exactly KeyFreshness ago", func() { time.Sleep(30 * time.Second) }, 1, "", "unauthenticated"},
			{"confirmation expired", func() { time.Sleep(time.Second) }, 1, "key_unconfirmed", "key_unconfirmed"},
			{"unconfirmed keys are served", func() { source.set(2, configBody(key, false, "serve")); time.Sleep(time.Hour) }, 2, "", "unauthenticated"},
			{"version that cannot be decoded", func() { source.set(3, `{"zones": 1}`) }, 2, "", "unauthenticated"},
			{"withdrawn", func() { source.set(4, configBody(key, true, "refuse")) }, 4, "unauthenticated", "unauthenticated"},
		}
		for _, s := range steps {
			s.change()
			synctest.Wait()
			got := []any{a.View().Version, authErrorKind(a, key.Secret), authErrorKind(a, unknownKey.Secret)}
			if diff := cmp.Diff([]any{s.wantVersion, s.wantKey, s.wantUnknownKey}, got); diff != "" {
				t.Errorf("%s: %s", s.name, diff)
			}
		}
	})
}

func TestRefusedKeyLogsOmitTheKeyAndAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		key := cakey.Generate()
		source := &fakeSource{changed: make(chan struct{})}
		source.set(1, configBody(key, true, "refuse"))
		var lines bytes.Buffer
		a := NewTracker(source, catimer.NewService(), zerolog.New(&lines))
		for range 5 * maxRefusalLogsPerSecond {
			if _, err := a.Authenticate(key.Secret); err == nil {
				t.Fatal("a withdrawn key was accepted")
			}
		}
		want := fmt.Sprintf(`{"level":"warn","event":204,"name":"key_refused","error":"key %s was withdrawn"}`+"\n", key.ID)
		if diff := cmp.Diff(strings.Repeat(want, maxRefusalLogsPerSecond), lines.String()); diff != "" {
			t.Error(diff)
		}
	})
}

func TestOpenQueueNeedsNoConfirmation(t *testing.T) {
	source := &fakeSource{changed: make(chan struct{})}
	source.set(1, configBody(cakey.Generate(), false, "refuse"))
	source.confirmedAt = time.Time{}
	a := NewTracker(source, catimer.NewService(), zerolog.Nop())
	team, err := a.AuthorizeQueue("open", cawork.WorkKindLookup)
	if diff := cmp.Diff(cawork.TeamName("knit"), team); err != nil || diff != "" {
		t.Error(err, diff)
	}
	_, err = a.AuthorizeQueue("open", cawork.WorkKindGang)
	if diff := cmp.Diff(cakind.KindForbidden, cakind.Of(err)); diff != "" {
		t.Error(diff)
	}
	_, err = a.AuthorizeQueue("closed", cawork.WorkKindLookup)
	if diff := cmp.Diff(cakind.KindNotFound, cakind.Of(err)); diff != "" {
		t.Error(diff)
	}
}

func BenchmarkAuthenticate(b *testing.B) {
	key := cakey.Generate()
	timer := catimer.NewService()
	log := castandlog.NewLog(time.Now, time.Hour)
	publisher := cafollow.Publisher{Log: log, Topic: cacell.Topic}
	change := cafollow.Change{ID: "c", Body: []byte(configBody(key, false, "refuse"))}
	if _, err := publisher.Publish(b.Context(), change); err != nil {
		b.Fatal(err)
	}
	follower := cafollow.NewFollower(cafollow.Options{Zone: "a", Log: log, Topic: cacell.Topic, Timer: timer, Logger: zerolog.Nop()})
	changed := follower.Changed()
	ctx, cancel := context.WithCancel(b.Context())
	defer func() { cancel(); <-follower.Done() }()
	go func() { _ = follower.Run(ctx) }()
	<-changed
	a := NewTracker(follower, timer, zerolog.Nop())
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := a.Authenticate(key.Secret); err != nil {
				b.Error(err)
			}
		}
	})
}
