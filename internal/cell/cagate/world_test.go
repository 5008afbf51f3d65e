package cagate

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caboard"
	"celeryarch.example/celeryarch/internal/cell/caleader"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
	"celeryarch.example/celeryarch/internal/node/capeer"
	"celeryarch.example/celeryarch/platform/standin"
)

// world is a cell of real gates over stand-ins, in virtual time.
type world struct {
	t       *testing.T
	network *standin.Network
	store   *standin.Store
	fleet   *standin.Fleet
	lives   int
	// power is the processor share of an entry, in cores.
	power func(name string) float64
	// relayFrom is the number of upstreams from which leaders use agents.
	relayFrom int
	// feed delivers the policy to an entry.
	feed func(name string) Feed
	// advisor answers all questions.
	advisor caleader.Advisor

	mu      sync.Mutex
	entries map[string]*entry
	// accepted and refused are the jobs as their callers were told.
	accepted, refused, unknown map[cawork.JobID]bool
	jobs                       int
	callers                    sync.WaitGroup
}

type entry struct {
	gate   *Gate
	cancel context.CancelFunc
	parts  sync.WaitGroup
}

// fixedFeed delivers one policy, after a time.
type fixedFeed struct {
	policy caspec.Policy
	after  time.Duration
}

func (f fixedFeed) Watch(ctx context.Context, apply func(caspec.Policy), reachable func(bool)) error {
	time.Sleep(f.after)
	apply(f.policy)
	reachable(true)
	<-ctx.Done()
	return ctx.Err()
}

func testPolicy() caspec.Policy {
	return caspec.Policy{
		Version: 1, Pools: []caspec.Pool{{Name: "pool"}}, Teams: []caspec.Team{{Name: "north", Weight: 1000}},
		Queues: []caspec.Queue{{
			Name: "queue", Pool: "pool", MaxAttempts: 3, Stretch: 4, Allowance: 20 * time.Second,
			Approval: &caspec.Approval{Decision: 5 * time.Millisecond, Validity: 2 * time.Second},
		}},
	}.WithIndex()
}

const worldUpstreams = 6

func newWorld(t *testing.T, entries, relayFrom int) *world {
	w := &world{
		t: t, relayFrom: relayFrom, advisor: standin.Advisor{Takes: 5 * time.Millisecond}, feed: func(string) Feed { return fixedFeed{policy: testPolicy()} }, power: func(string) float64 { return fullPower }, network: standin.NewNetwork(), store: standin.NewStore(4 * time.Millisecond), entries: make(map[string]*entry),
		accepted: make(map[cawork.JobID]bool), refused: make(map[cawork.JobID]bool), unknown: make(map[cawork.JobID]bool),
	}
	capacity := cawork.Resources{CPU: cawork.Cores(4), Memory: 8 * cawork.GiB}
	w.fleet = standin.NewFleet(worldUpstreams, capacity, testStep().Size(),
		func(i int) cawork.UpstreamID { return cawork.UpstreamID(fmt.Sprintf("up-%d", i)) })
	for i := range entries {
		w.start(entryName(i))
	}
	return w
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }

func testStep() caspec.Step {
	return caspec.Step{Tasks: 2, CPU: 1000, Memory: cawork.GiB, Estimate: 500 * time.Millisecond}
}

// start begins a life of an entry.
func (w *world) start(name string) {
	w.lives++
	ctx, cancel := context.WithCancel(context.Background())
	client := capeer.NewClient(w.network.Dialer(name), nil)
	timer := catimer.NewService()
	e := &entry{cancel: cancel}
	e.gate = New(Deps{
		Self: Peer{VM: cawork.VMID(name), Address: name, Power: w.power(name)}, Seeds: []string{entryName(0), entryName(1)},
		Log: zerolog.New(io.Discard), Scope: tally.NoopScope, Timer: timer,
		Wall: func() int64 { return timer.Now().UnixMilli() }, Peers: client,
		Store:      func(shard int) caleader.Log { return w.store.Log(fmt.Sprintf("jobs-%d", shard), name) },
		MostShards: 8, Upstreams: w.fleet.Caller(name), Registry: w.fleet, RelayFrom: w.relayFrom,
		Advisor: w.advisor, Feed: w.feed(name), Nonce: int64(w.lives),
	})
	server := capeer.NewServer()
	e.gate.Register(server)
	lis := w.network.Listen(name)
	e.parts.Go(func() { _ = server.Serve(ctx, lis, nil) })
	e.parts.Go(func() { _ = e.gate.Run(ctx) })
	e.parts.Go(func() {
		<-ctx.Done()
		_ = client.Close()
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries[name] = e
}

// gates returns the gates of all entries that run.
func (w *world) gates() map[string]*Gate {
	w.mu.Lock()
	defer w.mu.Unlock()
	gates := make(map[string]*Gate, len(w.entries))
	for name, e := range w.entries {
		gates[name] = e.gate
	}
	return gates
}

// kill ends a life without a word.
func (w *world) kill(name string) {
	w.mu.Lock()
	e := w.entries[name]
	delete(w.entries, name)
	w.mu.Unlock()
	w.network.Drop(name)
	e.cancel()
	e.parts.Wait()
}

func (w *world) close() {
	w.callers.Wait()
	for name := range w.gates() {
		w.kill(name)
	}
}

// failStoreFor lets the store treat the calls of one entry so, and serve all others.
func (w *world) failStoreFor(entry string, fault standin.Fault) {
	w.store.SetFault(func(caller string) standin.Fault {
		if caller == entry {
			return fault
		}
		return standin.FaultNone
	})
}

// mendStore lets the store serve all entries.
func (w *world) mendStore() {
	w.store.SetFault(func(string) standin.Fault { return standin.FaultNone })
}

// leader returns the entry that leads the first shard, empty if none does.
func (w *world) leader() string {
	for name, gate := range w.gates() {
		if l, _, _ := gate.links[0].target(); l != nil && l.StoreAge() < time.Second {
			return name
		}
	}
	return ""
}

// submit hands a job in at any entry, as a caller with a few tries does.
func (w *world) submit() {
	w.mu.Lock()
	w.jobs++
	n := w.jobs
	w.mu.Unlock()
	id := cawork.JobID(fmt.Sprintf("%016x", n))
	s := caspec.Submission{ID: id, Queue: "queue", Team: "north", Steps: []caspec.Step{testStep()}}
	w.callers.Go(func() {
		uncertain := false
		for range 4 {
			err := w.try(n, s)
			switch {
			case err == nil:
				w.note(w.accepted, id)
				return
			case cakind.AnswerTo(cakind.Of(err)).Execution == cakind.ExecutionUnknown:
				uncertain = true
			}
			time.Sleep(700 * time.Millisecond)
		}
		if uncertain {
			w.note(w.unknown, id)
			return
		}
		w.note(w.refused, id)
	})
}

func (w *world) try(n int, s caspec.Submission) error {
	gates := w.gates()
	var names []string
	for i := range 9 {
		if _, ok := gates[entryName(i)]; ok {
			names = append(names, entryName(i))
		}
	}
	if len(names) == 0 {
		return cakind.New(cakind.KindUnavailable, "no entry runs")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return gates[names[n%len(names)]].Submit(ctx, s)
}

func (w *world) note(in map[cawork.JobID]bool, id cawork.JobID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	in[id] = true
}

// load submits jobs at a rate for the time.
func (w *world) load(during time.Duration) {
	for begin := time.Now(); time.Since(begin) < during; time.Sleep(150 * time.Millisecond) {
		w.submit()
	}
}

// verify checks the promises once all is calm again.
func (w *world) verify() {
	w.t.Helper()
	w.callers.Wait()
	time.Sleep(25 * time.Second)
	if diff := cmp.Diff([]string(nil), w.fleet.Violations()); diff != "" {
		w.t.Errorf("violations (-want +got):\n%s", diff)
	}
	name := w.leader()
	if name == "" {
		w.t.Fatal("no leader at the end")
	}
	gate := w.gates()[name]
	for id := range w.accepted {
		phase, err := gate.Phase(context.Background(), "north", id)
		if err != nil || phase != castate.PhaseCompleted {
			w.t.Errorf("accepted job %s: phase %v, error %v", id, phase, err)
		}
	}
	for id := range w.refused {
		if phase, err := gate.Phase(context.Background(), "north", id); err == nil {
			w.t.Errorf("refused job %s is known as %v", id, phase)
		}
	}
	if len(w.accepted) == 0 {
		w.t.Error("no job was accepted")
	}
}

// inWorld plays in a cell whose leader reaches its upstreams itself, and in one
// whose leader reaches them through agents.
func inWorld(t *testing.T, entries int, play func(t *testing.T, w *world)) {
	for name, relayFrom := range map[string]int{"direct": worldUpstreams + 1, "relayed": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, entries, relayFrom)
				time.Sleep(5 * time.Second)
				play(t, w)
				w.verify()
				w.close()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

func TestCalmCellServesAll(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		w.load(5 * time.Second)
		w.callers.Wait()
		if diff := cmp.Diff(0, len(w.refused)+len(w.unknown)); diff != "" {
			t.Errorf("jobs that were not accepted on a calm day (-want +got):\n%s", diff)
		}
	})
}

func TestStartsGoOnSoonAfterTheLeaderIsKilled(t *testing.T) {
	inWorld(t, 4, func(t *testing.T, w *world) {
		w.load(2 * time.Second)
		w.kill(w.leader())
		killed := time.Now()
		before := w.fleet.Starts()
		for w.fleet.Starts() == before && time.Since(killed) < 10*time.Second {
			w.submit()
			time.Sleep(50 * time.Millisecond)
		}
		if took := time.Since(killed); took > 2*time.Second {
			t.Errorf("starts went on after %v, want within 2 s", took)
		}
	})
}

func TestLeaderHandsOverWhenItIsDrained(t *testing.T) {
	inWorld(t, 4, func(t *testing.T, w *world) {
		w.load(2 * time.Second)
		old := w.leader()
		w.gates()[old].Drain()
		drained := time.Now()
		for (w.leader() == old || w.leader() == "") && time.Since(drained) < 10*time.Second {
			w.submit()
			time.Sleep(20 * time.Millisecond)
		}
		if took := time.Since(drained); took > time.Second {
			t.Errorf("another entry led after %v, want within 1 s", took)
		}
		w.load(2 * time.Second)
	})
}

func TestAcceptedWorkOutlivesAllEntries(t *testing.T) {
	for _, delay := range []time.Duration{0, 2, 5, 20, 100, 400} {
		t.Run(fmt.Sprintf("%d_ms", delay), func(t *testing.T) {
			inWorld(t, 3, func(_ *testing.T, w *world) {
				w.load(time.Second)
				for range 5 {
					w.submit()
				}
				time.Sleep(delay * time.Millisecond)
				for i := range 3 {
					w.kill(entryName(i))
				}
				time.Sleep(time.Second)
				for i := range 3 {
					w.start(entryName(i))
				}
				time.Sleep(5 * time.Second)
				w.load(2 * time.Second)
			})
		})
	}
}

func TestStoreThatIsAway(t *testing.T) {
	for _, fault := range []standin.Fault{standin.FaultDown, standin.FaultSilent, standin.FaultLost, standin.FaultLate} {
		t.Run(fmt.Sprintf("fault_%d", fault), func(t *testing.T) {
			inWorld(t, 3, func(_ *testing.T, w *world) {
				w.load(2 * time.Second)
				w.store.SetFault(func(string) standin.Fault { return fault })
				w.load(4500 * time.Millisecond)
				w.mendStore()
				time.Sleep(3 * time.Second)
				w.load(2 * time.Second)
			})
		})
	}
}

func TestLeaderThatTheStoreTurnsAway(t *testing.T) {
	inWorld(t, 4, func(t *testing.T, w *world) {
		w.load(2 * time.Second)
		old := w.leader()
		w.failStoreFor(old, standin.FaultDown)
		w.load(6 * time.Second)
		if now := w.leader(); now == old || now == "" {
			t.Errorf("entry %q leads, want another than %q", now, old)
		}
		w.mendStore()
		w.load(2 * time.Second)
	})
}

func TestLeaderCutFromItsPeers(t *testing.T) {
	inWorld(t, 4, func(_ *testing.T, w *world) {
		w.load(2 * time.Second)
		old := w.leader()
		for name := range w.gates() {
			if name != old {
				w.network.Cut(old, name, true)
			}
		}
		w.load(6 * time.Second)
		for name := range w.gates() {
			w.network.Cut(old, name, false)
		}
		w.load(2 * time.Second)
	})
}

func TestUpstreamsOutOfReachOfTheSuccessor(t *testing.T) {
	inWorld(t, 4, func(_ *testing.T, w *world) {
		w.load(2 * time.Second)
		old := w.leader()
		w.fleet.SetReach(func(caller string, id cawork.UpstreamID) bool {
			return caller == old || id != "up-0" && id != "up-1"
		})
		w.kill(old)
		w.load(8 * time.Second)
		w.fleet.SetReach(func(string, cawork.UpstreamID) bool { return true })
		w.load(2 * time.Second)
	})
}

func TestHistoryThatIsForgotten(t *testing.T) {
	inWorld(t, 3, func(_ *testing.T, w *world) {
		w.load(2 * time.Second)
		w.store.Forget()
		w.load(time.Second)
		w.kill(w.leader())
		w.load(3 * time.Second)
	})
}

// TestCancellationIsStoredBeforeItIsTold cancels a job while a record of its
// start is under way, and loses the leader right after the answer.
func TestCancellationIsStoredBeforeItIsTold(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		w.fleet.SetRunTime(func(caboard.RunID) (time.Duration, bool) { return 3 * time.Second, false })
		w.store.SetAppendTime(100 * time.Millisecond)
		for _, after := range []time.Duration{20, 50, 80, 120} {
			w.submit()
			w.callers.Wait()
			id := cawork.JobID(fmt.Sprintf("%016x", w.jobs))
			time.Sleep(after * time.Millisecond)
			leader := w.leader()
			err := w.gates()[leader].Cancel(context.Background(), "north", id)
			w.kill(leader)
			w.start(leader)
			time.Sleep(4 * time.Second)
			delete(w.accepted, id)
			if err != nil {
				t.Fatalf("cancel job %s: %v", id, err)
			}
			phase, err := w.gates()[w.leader()].Phase(context.Background(), "north", id)
			if diff := cmp.Diff([]any{castate.PhaseCanceled, nil}, []any{phase, err}); diff != "" {
				t.Errorf("job %s canceled %v after its acceptance (-want +got):\n%s", id, after*time.Millisecond, diff)
			}
		}
		w.load(time.Second)
	})
}

// TestDeposedLeaderFollowsItsSuccessor keeps the answers of the store and of
// upstreams from a leader, which learns of its successor from other entries before it ends. It
// follows the successor then, and leaves the shard to it.
func TestDeposedLeaderFollowsItsSuccessor(t *testing.T) {
	inWorld(t, 4, func(t *testing.T, w *world) {
		w.load(2 * time.Second)
		old := w.leader()
		w.failStoreFor(old, standin.FaultSilent)
		w.fleet.SetReach(func(caller string, _ cawork.UpstreamID) bool { return caller != old })
		w.load(6 * time.Second)
		w.mendStore()
		w.fleet.SetReach(func(string, cawork.UpstreamID) bool { return true })
		time.Sleep(2 * time.Second)
		successor := w.leader()
		if successor == old || successor == "" {
			t.Fatalf("entry %q leads, want another than %q", successor, old)
		}
		gate := w.gates()[old]
		before, _, _ := w.gates()[successor].links[0].target()
		s := caspec.Submission{ID: "00000000000000ff", Queue: "queue", Team: "north", Steps: []caspec.Step{testStep()}}
		if err := gate.Submit(t.Context(), s); err != nil {
			t.Errorf("submit through the deposed leader: %v", err)
		}
		time.Sleep(3 * time.Second)
		after, _, _ := w.gates()[successor].links[0].target()
		if before != after {
			t.Error("the successor was deposed while it served")
		}
	})
}

// TestWeakLeaderHandsOverToAStrongEntry loses the strong entry that leads, so
// that a weak one takes over, and brings a strong one back.
func TestWeakLeaderHandsOverToAStrongEntry(t *testing.T) {
	inWorld(t, 4, func(t *testing.T, w *world) {
		strong := w.leader()
		w.power = func(name string) float64 {
			if name == strong {
				return fullPower
			}
			return fullPower / 4
		}
		for name := range w.gates() {
			w.kill(name)
		}
		for i := range 4 {
			w.start(entryName(i))
		}
		time.Sleep(6 * time.Second)
		if diff := cmp.Diff(strong, w.leader()); diff != "" {
			t.Errorf("leader among one strong and three weak entries (-want +got):\n%s", diff)
		}
		w.kill(strong)
		w.load(2 * time.Second)
		w.start(strong)
		w.load(6 * time.Second)
		if diff := cmp.Diff(strong, w.leader()); diff != "" {
			t.Errorf("leader after the strong entry came back (-want +got):\n%s", diff)
		}
	})
}

// TestStartWithoutAnswerIsMadeUpForSoon loses the order that starts a task, and
// its answer: the task starts elsewhere while its caller still waits.
func TestStartWithoutAnswerIsMadeUpForSoon(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		w.load(2 * time.Second)
		time.Sleep(2 * time.Second)
		began, before := time.Now(), w.fleet.Starts()
		w.fleet.SetReach(func(string, cawork.UpstreamID) bool { return false })
		w.submit()
		time.Sleep(60 * time.Millisecond)
		w.fleet.SetReach(func(string, cawork.UpstreamID) bool { return true })
		for w.fleet.Starts() < before+testStep().Tasks && time.Since(began) < 5*time.Second {
			time.Sleep(5 * time.Millisecond)
		}
		if took := time.Since(began); took > 500*time.Millisecond {
			t.Errorf("the tasks started after %v, want within 500 ms", took)
		}
	})
}

// TestUpstreamsStartAnewWhileTheStoreIsSlow has ends under way to the store when
// their upstreams start anew. Tasks of a job end shortly after each other, so
// that some ends are first told when the next renewal has come.
func TestUpstreamsStartAnewWhileTheStoreIsSlow(t *testing.T) {
	inWorld(t, 3, func(_ *testing.T, w *world) {
		w.fleet.SetRunTime(func(id caboard.RunID) (time.Duration, bool) {
			return 500*time.Millisecond + time.Duration(id.Index)*15*time.Millisecond, false
		})
		w.load(2 * time.Second)
		w.store.SetAppendTime(400 * time.Millisecond)
		for range 4 {
			w.load(1300 * time.Millisecond)
			for i := range worldUpstreams {
				w.fleet.Restart(cawork.UpstreamID(fmt.Sprintf("up-%d", i)))
			}
		}
		w.store.SetAppendTime(4 * time.Millisecond)
		w.load(4 * time.Second)
	})
}

func TestWeakEntriesOfALargeCellCallMoreRarely(t *testing.T) {
	tests := []struct {
		name    string
		power   float64
		entries int
		want    time.Duration
	}{
		{"strong in a large cell", fullPower, 97, 250 * time.Millisecond},
		{"weak in a small cell", fullPower / 2, 8, 250 * time.Millisecond},
		{"weak in a larger cell", fullPower / 2, 50, 300 * time.Millisecond},
		{"weak in a large cell", fullPower / 2, 97, 500 * time.Millisecond},
	}
	for _, test := range tests {
		got := helloPeriodOf(&peerState{Peer: Peer{Power: test.power}}, test.entries)
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", test.name, diff)
		}
	}
}

// TestCallerIsToldToComeBackByItsPatience takes the store away: a job with much time
// is told to come back later, unless its caller waits too short for that.
func TestCallerIsToldToComeBackByItsPatience(t *testing.T) {
	inWorld(t, 3, func(t *testing.T, w *world) {
		w.load(time.Second)
		w.store.SetFault(func(string) standin.Fault { return standin.FaultDown })
		time.Sleep(3 * time.Second)
		step := testStep()
		step.Estimate = 3 * time.Second
		for _, name := range []string{entryName(0), entryName(1), entryName(2)} {
			s := caspec.Submission{ID: "00000000000000ff", Queue: "queue", Team: "north", Steps: []caspec.Step{step}}
			for waits, want := range map[time.Duration]time.Duration{30 * time.Second: 2 * time.Second, 3 * time.Second: time.Second} {
				ctx, cancel := context.WithTimeout(context.Background(), waits)
				err := w.gates()[name].Submit(ctx, s)
				cancel()
				if diff := cmp.Diff(want, cakind.RetryAfterOf(err)); diff != "" {
					t.Errorf("%s says %v to a caller that waits %v, to come back (-want +got):\n%s", name, err, waits, diff)
				}
			}
		}
		w.mendStore()
		time.Sleep(3 * time.Second)
		w.load(time.Second)
	})
}

// TestWithdrawnKeyStaysWithdrawnAfterARestart starts an entry anew in a cell whose
// other entries still have the version before: it does not take that one from them, but
// does so when the store says nothing.
func TestWithdrawnKeyStaysWithdrawnAfterARestart(t *testing.T) {
	for name, silent := range map[string]bool{"store answers": false, "store says nothing": true} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 3, func(t *testing.T, w *world) {
				w.load(time.Second)
				w.kill(entryName(2))
				withdrawn := testPolicy()
				withdrawn.Version = 2
				after := 200 * time.Millisecond
				if silent {
					after = time.Hour
				}
				w.feed = func(string) Feed { return fixedFeed{policy: withdrawn.WithIndex(), after: after} }
				w.start(entryName(2))
				began := time.Now()
				for time.Since(began) < time.Second {
					if version := w.gates()[entryName(2)].Policy().Version; version == 1 {
						t.Fatalf("version 1 is in force again %v after the restart", time.Since(began))
					}
					time.Sleep(5 * time.Millisecond)
				}
				time.Sleep(2 * time.Second)
				want := int64(2)
				if silent {
					want = 1
				}
				if diff := cmp.Diff(want, w.gates()[entryName(2)].Policy().Version); diff != "" {
					t.Errorf("version in force (-want +got):\n%s", diff)
				}
				w.load(time.Second)
			})
		})
	}
}
