package cadedupe_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/request/cadedupe"
)

// zone holds the entries of a zone, which call each other in memory.
type zone struct {
	mu       sync.Mutex
	services map[cawork.VMID]*cadedupe.Service
	dead     map[cawork.VMID]bool
	// attemptStates holds the states that upstreams report for fenced attempts.
	// An upstream does not answer for an attempt that is missing here.
	attemptStates map[cawork.AttemptID]cawork.TaskState
}

func newZone(n int) *zone {
	z := &zone{
		services:      map[cawork.VMID]*cadedupe.Service{},
		dead:          map[cawork.VMID]bool{},
		attemptStates: map[cawork.AttemptID]cawork.TaskState{},
	}
	for i := range n {
		m := member(i)
		z.services[m.ID] = cadedupe.New(cadedupe.Config{
			Self:   m,
			Timer:  catimer.NewService(),
			Logger: zerolog.Nop(),
			Peers:  z,
			Fencer: z,
			Bounds: cadedupe.DefaultBounds(),
		})
	}
	z.updateMembers()
	return z
}

func member(i int) cadedupe.Member {
	return cadedupe.Member{ID: cawork.VMID(fmt.Sprint("e", i)), Incarnation: 1}
}

// updateMembers sends the list of live entries to each of them.
func (z *zone) updateMembers() {
	var live []cadedupe.Member
	for i := range z.services {
		if !z.dead[i] {
			live = append(live, cadedupe.Member{ID: i, Incarnation: 1})
		}
	}
	for _, m := range live {
		z.services[m.ID].SetMembers(live)
	}
}

// tickAll runs one tick of each live entry.
func (z *zone) tickAll() {
	for id, s := range z.services {
		if !z.dead[id] {
			s.Tick(context.Background())
		}
	}
}

// flushAll waits for the delivery of all outcomes.
func (z *zone) flushAll() {
	for _, s := range z.services {
		s.Flush()
	}
}

func (z *zone) service(id cawork.VMID) (*cadedupe.Service, error) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.dead[id] {
		return nil, cakind.New(cakind.KindUnknown, "%s does not answer", id)
	}
	return z.services[id], nil
}

func (z *zone) kill(id cawork.VMID) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.dead[id] = true
}

func (z *zone) Claim(ctx context.Context, to cawork.VMID, req cadedupe.ClaimRequest) (cadedupe.Record, error) {
	s, err := z.service(to)
	if err != nil {
		return cadedupe.Record{}, err
	}
	return s.HandleClaim(ctx, req)
}

func (z *zone) RecordAttempt(ctx context.Context, to cawork.VMID, req cadedupe.RecordAttemptRequest) error {
	s, err := z.service(to)
	if err != nil {
		return err
	}
	return s.HandleRecordAttempt(ctx, req)
}

func (z *zone) Settle(ctx context.Context, to cawork.VMID, req cadedupe.SettleRequest) error {
	s, err := z.service(to)
	if err != nil {
		return err
	}
	return s.HandleSettle(ctx, req)
}

func (z *zone) Replicate(ctx context.Context, to cawork.VMID, r cadedupe.Record) (cadedupe.Record, error) {
	s, err := z.service(to)
	if err != nil {
		return cadedupe.Record{}, err
	}
	return s.HandleReplicate(ctx, r)
}

func (z *zone) FenceAttempt(_ context.Context, _ cawork.UpstreamID, id cawork.AttemptID) (cawork.TaskState, error) {
	state, ok := z.attemptStates[id]
	if !ok {
		return 0, cakind.New(cakind.KindUnknown, "no answer")
	}
	return state, nil
}

func key(name string) cadedupe.Key { return cadedupe.Key{Team: "t1", Name: name} }

func mustBegin(t *testing.T, s *cadedupe.Service, k cadedupe.Key) *cadedupe.Session {
	t.Helper()
	session, err := s.Begin(context.Background(), k, 1, false)
	if err != nil {
		t.Fatal(err)
	}
	return session
}

func TestDuplicateSubmissionReturnsStoredAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(4)
		want := cadedupe.StoredAnswer{Status: 200, ContentType: "text/plain", Body: []byte("pen pal")}
		first := mustBegin(t, z.services["e0"], key("k"))
		if !first.Execute {
			t.Fatal("the first submission is not told to execute the request")
		}
		for id, s := range z.services {
			go func() {
				second := mustBegin(t, s, key("k"))
				if diff := cmp.Diff(want, second.Record.Answer); diff != "" || second.Execute {
					t.Errorf("answer at %s, execute %v (-want +got):\n%s", id, second.Execute, diff)
				}
			}()
		}
		synctest.Wait()
		first.Settle(cawork.OutcomeDone, want)
		synctest.Wait()
		_, err := z.services["e1"].Begin(context.Background(), key("k"), 2, false)
		if diff := cmp.Diff(cakind.KindConflict, cakind.Of(err)); diff != "" {
			t.Errorf("kind of error for another request under the key (-want +got):\n%s", diff)
		}
	})
}

func TestOutcomeIsKeptForTheRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(2)
		mustBegin(t, z.services["e0"], key("k")).Settle(cawork.OutcomeFailed, cadedupe.StoredAnswer{Status: 500})
		z.flushAll()
		time.Sleep(cadedupe.DefaultBounds().Retention - time.Second)
		z.tickAll()
		if mustBegin(t, z.services["e1"], key("k")).Execute {
			t.Error("the outcome was removed before the end of the retention")
		}
		time.Sleep(2 * time.Second)
		z.tickAll()
		if !mustBegin(t, z.services["e1"], key("k")).Execute {
			t.Error("the outcome was kept after the end of the retention")
		}
	})
}

func TestOutcomeSurvivesTheLossOfEachEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for lost := range 3 {
			z := newZone(3)
			mustBegin(t, z.services["e0"], key("k")).Settle(cawork.OutcomeDone, cadedupe.StoredAnswer{Status: 200})
			z.flushAll()
			z.kill(member(lost).ID)
			z.updateMembers()
			z.tickAll()
			second := mustBegin(t, z.services[member((lost+1)%3).ID], key("k"))
			if diff := cmp.Diff(cawork.OutcomeDone, second.Record.Outcome); diff != "" {
				t.Errorf("outcome after the loss of e%d (-want +got):\n%s", lost, diff)
			}
		}
	})
}

func TestOrphanedRequestIsSettledByAttemptState(t *testing.T) {
	tests := []struct {
		name    string
		attempt cawork.AttemptID
		state   cawork.TaskState
		want    cawork.Outcome
	}{
		{"no attempt", "", 0, cawork.OutcomeNotRun},
		{"never started", "a", cawork.TaskStateFenced, cawork.OutcomeNotRun},
		{"ended", "a", cawork.TaskStateDone, cawork.OutcomeDone},
		{"stopped", "a", cawork.TaskStateStopped, cawork.OutcomeFailed},
		{"upstream does not answer", "a", -1, cawork.OutcomePending},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z := newZone(3)
				first := mustBegin(t, z.services["e0"], key("k"))
				if tt.attempt != "" {
					if err := first.RecordAttempt(context.Background(), tt.attempt, "u1"); err != nil {
						t.Fatal(err)
					}
				}
				if tt.state >= 0 {
					z.attemptStates[tt.attempt] = tt.state
				}
				z.kill("e0")
				z.updateMembers()
				z.tickAll()
				z.tickAll()
				if first.RecordAttempt(context.Background(), "late", "u1") == nil && tt.want != cawork.OutcomePending {
					t.Error("the dead executor could still record an attempt")
				}
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				second, err := z.services["e1"].Begin(ctx, key("k"), 1, false)
				switch {
				case tt.want == cawork.OutcomePending:
					if cakind.Of(err) != cakind.KindUnknown {
						t.Errorf("second submission of an unsettled request: %v", err)
					}
				case tt.want == cawork.OutcomeNotRun:
					if err != nil || !second.Execute {
						t.Errorf("second submission of a request that did not run: %+v, %v", second, err)
					}
				default:
					if diff := cmp.Diff(tt.want, second.Record.Outcome); diff != "" {
						t.Errorf("outcome (-want +got):\n%s", diff)
					}
				}
			})
		})
	}
}

// modelOutcomes is the reference model: the last outcome of each key.
type modelOutcomes map[string]cawork.Outcome

// TestKeysAgainstModel compares random submissions at random entries, with the
// loss of at most one entry at a time, with one map. A submission must execute
// its request exactly when the model says so, and outcomes must agree.
func TestKeysAgainstModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		z := newZone(4)
		model := modelOutcomes{}
		outcomes := []cawork.Outcome{cawork.OutcomeDone, cawork.OutcomeFailed, cawork.OutcomeNotRun, cawork.OutcomeUnknown}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			z.runStep(rt, model, outcomes)
		}
	})
}

func (z *zone) runStep(rt *rapid.T, model modelOutcomes, outcomes []cawork.Outcome) {
	if rapid.IntRange(0, 9).Draw(rt, "kind") == 0 && len(z.dead) < 2 {
		z.kill(member(rapid.IntRange(0, 3).Draw(rt, "dead")).ID)
		z.updateMembers()
		z.tickAll()
		return
	}
	var live []cawork.VMID
	for i := range z.services {
		if !z.dead[i] {
			live = append(live, i)
		}
	}
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key")
	entry := member(rapid.IntRange(0, 3).Draw(rt, "entry")).ID
	if z.dead[entry] {
		return
	}
	session, err := z.services[entry].Begin(context.Background(), key(name), 1, false)
	if err != nil {
		rt.Fatalf("begin: %v", err)
	}
	want, ok := model[name]
	if execute := !ok || want == cawork.OutcomeNotRun; execute != session.Execute {
		rt.Fatalf("key %s at %s of %v: execute %v, want %v (model has %s)", name, entry, live, session.Execute, execute, want)
	}
	if !session.Execute {
		if diff := cmp.Diff(want, session.Record.Outcome); diff != "" {
			rt.Fatalf("outcome (-want +got):\n%s", diff)
		}
		return
	}
	model[name] = rapid.SampledFrom(outcomes).Draw(rt, "outcome")
	session.Settle(model[name], cadedupe.StoredAnswer{})
	z.services[entry].Flush()
}

// Entries leave and join one at a time until none of the first is left. The
// outcomes must not be lost.
func TestOutcomeSurvivesReplacementOfAllMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(8)
		for i := 3; i < 8; i++ {
			z.kill(member(i).ID)
		}
		z.updateMembers()
		var keys []cadedupe.Key
		for i := range 20 {
			k := key(fmt.Sprint(i))
			keys = append(keys, k)
			mustBegin(t, z.services["e0"], k).Settle(cawork.OutcomeDone, cadedupe.StoredAnswer{Status: 200})
		}
		z.flushAll()
		for i := range 5 {
			z.kill(member(i).ID)
			z.updateMembers()
			z.tickAll()
			z.dead[member(i+3).ID] = false
			z.updateMembers()
			z.tickAll()
		}
		for _, k := range keys {
			second := mustBegin(t, z.services["e7"], k)
			if diff := cmp.Diff(cawork.OutcomeDone, second.Record.Outcome); diff != "" {
				t.Errorf("outcome of %s (-want +got):\n%s", k.Name, diff)
			}
		}
	})
}

// Of concurrent claims at entries with different member lists, at most one may
// execute the request.
func TestConcurrentClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for round := range 200 {
			z := newZone(3)
			// The member list of e0 lacks e2.
			z.services["e0"].SetMembers([]cadedupe.Member{member(0), member(1)})
			var mu sync.Mutex
			executions := 0
			var wg sync.WaitGroup
			for i := range 6 {
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					defer cancel()
					session, err := z.services[member(i%3).ID].Begin(ctx, key(fmt.Sprint(round)), 1, false)
					if err == nil && session.Execute {
						mu.Lock()
						executions++
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			if executions > 1 {
				t.Fatalf("round %d: %d submissions execute the request", round, executions)
			}
		}
	})
}
