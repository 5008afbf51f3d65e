package cagang_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/cadecide"
	"celeryarch.example/celeryarch/internal/core/cagang"
	"celeryarch.example/celeryarch/internal/core/casched"
)

func init() {
	if err := flag.Set("rapid.seed", "20260"); err != nil {
		panic(err)
	}
}

const gangTasks = 4

var owners = []cawork.VMID{"c", "a", "b"}

// entry is an entry with one upstream of two cores and a gang of its own.
type entry struct {
	s     casched.Scheduler
	n     *cagang.Negotiation
	ready bool
	over  bool
}

func newEntries(t *rapid.T, now time.Time) map[cawork.VMID]*entry {
	out := map[cawork.VMID]*entry{}
	for _, id := range owners {
		e := &entry{s: cadecide.New(casched.DefaultPolicy(), func(v *casched.Violation) { t.Fatal(v) })}
		e.s.PutUpstream(casched.Upstream{
			ID: cawork.UpstreamID("u" + id), Capacity: cawork.Resources{CPU: cawork.Cores(2)},
		}, now)
		e.s.SetAllowance("north", casched.Unlimited(), now)
		e.s.SetRemoteUse(casched.RemoteUse{
			Capacity: cawork.Resources{CPU: cawork.Cores(4)},
			Shapes:   []casched.Upstream{{Capacity: cawork.Resources{CPU: cawork.Cores(2)}}},
		}, now)
		out[id] = e
	}
	return out
}

func submitGang(t *rapid.T, id cawork.VMID, e *entry, now time.Time) {
	job := cawork.Job{ID: cawork.JobID("gang" + id), Team: "north", Accepted: now, Spec: cawork.JobSpec{
		Kind: cawork.WorkKindGang, Tasks: gangTasks, Size: cawork.Resources{CPU: cawork.Cores(1)},
	}}
	if err := e.s.Submit(job, now); err != nil {
		t.Fatal(err)
	}
	if got := e.s.Decide(now); len(got) != 0 {
		t.Fatalf("the gang was placed on one entry: %v", got)
	}
	offers := e.s.Unplaced(1, now)
	if diff := cmp.Diff(1, len(offers)); diff != "" {
		t.Fatalf("offers mismatch (-want +got):\n%s", diff)
	}
	e.n = cagang.New(offers[0], owners, string(id), now.Add(time.Minute))
}

// ask makes one request of the negotiation of the entry, or ends it.
func ask(t *rapid.T, entries map[cawork.VMID]*entry, id cawork.VMID, now time.Time) {
	e := entries[id]
	if a, ok := e.n.Next(); ok {
		r, err := entries[a.Owner].s.Reserve(a.Request, now)
		if err != nil {
			e.n.Refused()
			return
		}
		e.n.Granted(r)
		return
	}
	e.over, e.ready = true, e.n.Complete(now)
	local := casched.ReservationID(fmt.Sprintf("%s/%s", id, id))
	if e.ready {
		if _, err := e.s.PlaceReserved(e.n.Placements(), localOf(e.n, id, local), now); err != nil {
			t.Fatal(err)
		}
	}
	for _, p := range e.n.Parts() {
		switch o := entries[p.Owner]; {
		case !e.ready || len(p.Placements) == 0:
			o.s.ReleaseReservation(p.Reservation, now)
		case p.Owner != id:
			if err := o.s.CommitReservation(p.Reservation, p.Tasks(), now); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// localOf returns the reservation at the own entry, empty when there is none.
func localOf(n *cagang.Negotiation, id cawork.VMID, local casched.ReservationID) casched.ReservationID {
	for _, p := range n.Parts() {
		if p.Owner == id && len(p.Placements) > 0 {
			return local
		}
	}
	return ""
}

// Three gangs of 4 compete for 6 cores of 3 entries in any order of messages.
// Every gang is placed whole or not at all, and room is left or used by whole
// gangs only.
func TestCompetingGangsArePlacedWholeOrNotAtAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		entries := newEntries(t, now)
		for _, id := range owners {
			submitGang(t, id, entries[id], now)
		}
		open := append([]cawork.VMID(nil), owners...)
		for len(open) > 0 {
			i := rapid.IntRange(0, len(open)-1).Draw(t, "turn")
			ask(t, entries, open[i], now)
			if entries[open[i]].over {
				open = append(open[:i], open[i+1:]...)
			}
		}
		placed, used := 0, cawork.MilliCPU(0)
		for _, e := range entries {
			if err := e.s.Check(); err != nil {
				t.Fatal(err)
			}
			if e.ready {
				placed++
			}
			used += cawork.Cores(2) - e.s.Free().CPU
		}
		if diff := cmp.Diff(cawork.Cores(int64(placed*gangTasks)), used); diff != "" {
			t.Errorf("used mismatch (-whole gangs +got):\n%s", diff)
		}
	})
}

func TestOneGangAfterTheOtherSucceeds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		entries := newEntries(t, now)
		id := rapid.SampledFrom(owners).Draw(t, "first")
		submitGang(t, id, entries[id], now)
		for !entries[id].over {
			ask(t, entries, id, now)
		}
		if !entries[id].ready {
			t.Error("a gang that fits over three entries was not placed")
		}
	})
}
