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

// entry is an entry with one upstream of two cores and one queued gang.
type entry struct {
	scheduler   casched.Scheduler
	negotiation *cagang.Negotiation
	complete    bool
	ended       bool
}

func newEntries(t *rapid.T, now time.Time) map[cawork.VMID]*entry {
	out := map[cawork.VMID]*entry{}
	for _, id := range owners {
		e := &entry{scheduler: cadecide.New(casched.DefaultPolicy(), func(v *casched.Violation) { t.Fatal(v) })}
		e.scheduler.PutUpstream(casched.Upstream{
			ID: cawork.UpstreamID("u" + id), Capacity: cawork.Resources{CPU: cawork.Cores(2)},
		}, now)
		e.scheduler.SetAllowance("north", casched.Unlimited(), now)
		e.scheduler.SetRemoteUse(casched.RemoteUse{
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
	if err := e.scheduler.Submit(job, now); err != nil {
		t.Fatal(err)
	}
	if got := e.scheduler.Decide(now); len(got) != 0 {
		t.Fatalf("Decide() placed a gang that exceeds the entry: %v", got)
	}
	unplaced := e.scheduler.UnplacedJobs(1, now)
	if diff := cmp.Diff(1, len(unplaced)); diff != "" {
		t.Fatalf("number of unplaced jobs mismatch (-want +got):\n%s", diff)
	}
	e.negotiation = cagang.New(unplaced[0], owners, string(id), now.Add(time.Minute))
}

// advance sends the next request of the negotiation of the entry. If there is none,
// it ends the negotiation: it places the gang and commits its reservations, or
// releases them.
func advance(t *rapid.T, entries map[cawork.VMID]*entry, id cawork.VMID, now time.Time) {
	e := entries[id]
	if request, ok := e.negotiation.Next(); ok {
		r, err := entries[request.Owner].scheduler.Reserve(request.Request, now)
		if err != nil {
			e.negotiation.RecordRefusal()
			return
		}
		e.negotiation.RecordGrant(r)
		return
	}
	e.ended, e.complete = true, e.negotiation.CanPlace(now)
	local := casched.ReservationID(fmt.Sprintf("%s/%s", id, id))
	if e.complete {
		if _, err := e.scheduler.PlaceReserved(e.negotiation.Placements(), localReservation(e.negotiation, id, local), now); err != nil {
			t.Fatal(err)
		}
	}
	for _, p := range e.negotiation.Reservations() {
		switch owner := entries[p.Owner]; {
		case !e.complete || len(p.Placements) == 0:
			owner.scheduler.ReleaseReservation(p.Reservation, now)
		case p.Owner != id:
			if err := owner.scheduler.CommitReservation(p.Reservation, p.Tasks(), now); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// localReservation returns the reservation on the own entry, or the empty ID if no
// task is placed there.
func localReservation(n *cagang.Negotiation, id cawork.VMID, local casched.ReservationID) casched.ReservationID {
	for _, p := range n.Reservations() {
		if p.Owner == id && len(p.Placements) > 0 {
			return local
		}
	}
	return ""
}

// TestCompetingGangsArePlacedWholeOrNotAtAll guards against partially placed gangs
// and leaked reservations. Three gangs of 4 cores compete for the 6 cores of 3
// entries, with their requests interleaved in any order. The cores in use must be
// those of the placed gangs.
func TestCompetingGangsArePlacedWholeOrNotAtAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		entries := newEntries(t, now)
		for _, id := range owners {
			submitGang(t, id, entries[id], now)
		}
		negotiating := append([]cawork.VMID(nil), owners...)
		for len(negotiating) > 0 {
			i := rapid.IntRange(0, len(negotiating)-1).Draw(t, "turn")
			advance(t, entries, negotiating[i], now)
			if entries[negotiating[i]].ended {
				negotiating = append(negotiating[:i], negotiating[i+1:]...)
			}
		}
		placed, used := 0, cawork.MilliCPU(0)
		for _, e := range entries {
			if err := e.scheduler.Check(); err != nil {
				t.Fatal(err)
			}
			if e.complete {
				placed++
			}
			used += cawork.Cores(2) - e.scheduler.Free().CPU
		}
		if diff := cmp.Diff(cawork.Cores(int64(placed*gangTasks)), used); diff != "" {
			t.Errorf("cores in use mismatch (-of whole gangs +got):\n%s", diff)
		}
	})
}

// TestSingleGangIsPlacedAcrossEntries guards against a negotiation that fails
// although no other gang competes.
func TestSingleGangIsPlacedAcrossEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		entries := newEntries(t, now)
		id := rapid.SampledFrom(owners).Draw(t, "first")
		submitGang(t, id, entries[id], now)
		for !entries[id].ended {
			advance(t, entries, id, now)
		}
		if !entries[id].complete {
			t.Error("a gang that fits on three entries was not placed")
		}
	})
}
