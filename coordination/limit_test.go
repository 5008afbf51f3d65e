package coordination_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/coordination"
)

const (
	// formerPart and loweredPart are the cores that each of three holders mints
	// before and after the limit is lowered.
	formerPart, loweredPart = 10, 6
	holderCount             = 3
)

// lossyJournal keeps records through faults: some after an error, some late.
type lossyJournal struct {
	listJournal
	faults *faults
}

func (j *lossyJournal) Append(ctx context.Context, r coordination.AllowanceRecord) error {
	return j.faults.call(ctx, func(ctx context.Context) error { return j.listJournal.Append(ctx, r) })
}

func (j *lossyJournal) all() []coordination.AllowanceRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.records)
}

// limitHolder is a holder over its lives, with the work that runs under its
// charges. Work outlives the process of the holder.
type limitHolder struct {
	world   *limitWorld
	id      coordination.HolderID
	journal *lossyJournal

	mu     sync.Mutex
	life   *coordination.Allowances
	ctx    context.Context
	cancel context.CancelFunc
	work   map[coordination.ChargeID]coordination.Resources
}

// limitWorld is three holders of one limit, and what an observer sees run.
type limitWorld struct {
	t       *testing.T
	faults  *faults
	holders map[coordination.HolderID]*limitHolder

	mu            sync.Mutex
	used, highest coordination.Resources
	started       int
}

func newLimitWorld(t *testing.T, f *faults) *limitWorld {
	w := &limitWorld{t: t, faults: f, holders: map[coordination.HolderID]*limitHolder{}}
	for _, id := range []coordination.HolderID{"a", "b", "c"} {
		w.holders[id] = &limitHolder{
			world: w, id: id, journal: &lossyJournal{faults: f}, work: map[coordination.ChargeID]coordination.Resources{},
		}
	}
	return w
}

func (w *limitWorld) Ask(ctx context.Context, to coordination.HolderID, ask coordination.AllowanceAsk) (coordination.AllowanceReply, error) {
	return through(ctx, w.faults, func(ctx context.Context) (coordination.AllowanceReply, error) {
		return w.holders[to].current().HandleAsk(ctx, ask)
	})
}

func (w *limitWorld) Transfer(ctx context.Context, to coordination.HolderID, t coordination.AllowanceTransfer) error {
	return w.faults.call(ctx, func(ctx context.Context) error { return w.holders[to].current().HandleTransfer(ctx, t) })
}

// changeUse notes work that begins or ends and checks the limit.
func (w *limitWorld) changeUse(by coordination.Resources, limit int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.used = w.used.Plus(by)
	if !by.IsNegative() {
		w.started++
	}
	if !w.used.Fits(coordination.Cores(limit)) {
		w.t.Errorf("%v runs, the limit is %d cores", w.used, limit)
	}
	if w.highest.Fits(w.used) {
		w.highest = w.used
	}
}

// count returns how many tasks have started, and the highest use since the
// last call.
func (w *limitWorld) count() (started int, highest coordination.Resources) {
	w.mu.Lock()
	defer w.mu.Unlock()
	highest, w.highest = w.highest, w.used
	return w.started, highest
}

func (h *limitHolder) current() *coordination.Allowances {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.life
}

// start begins a life from the journal. Charges without work are released.
func (h *limitHolder) start(ctx context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ctx, h.cancel = context.WithCancel(ctx)
	h.life = coordination.NewAllowances(coordination.DefaultAllowanceConfig(), h.id, coordination.ZoneName(h.id), h.journal.all(),
		coordination.AllowanceDeps{
			Peers: h.world, Journal: h.journal, Timers: coordination.NewTimers(), Log: zerolog.Nop(), Scope: tally.NoopScope,
		})
	var others []coordination.AllowancePartner
	for id := range h.world.holders {
		if id != h.id {
			others = append(others, coordination.AllowancePartner{Shard: id, Zone: coordination.ZoneName(id)})
		}
	}
	h.life.SetPartners(others)
	for _, c := range h.life.Charges() {
		if _, ok := h.work[c.ID]; !ok {
			h.release(h.ctx, c.ID)
		}
	}
	life, alive := h.life, h.ctx
	h.world.faults.late.Go(func() { _ = life.Run(alive) })
}

// release frees a charge. A life that ended meanwhile may have recorded it too
// late for the next one to know.
func (h *limitHolder) release(ctx context.Context, id coordination.ChargeID) {
	h.world.faults.late.Go(func() {
		charged := func(c coordination.Charge) bool { return c.ID == id }
		for ctx.Err() == nil && slices.ContainsFunc(h.current().Charges(), charged) {
			_ = h.current().Release(ctx, id)
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// submit starts work if the limit allows it.
func (h *limitHolder) submit(ctx context.Context) {
	h.mu.Lock()
	life, alive := h.life, h.ctx
	h.mu.Unlock()
	amount := coordination.Cores(1 + h.world.faults.below(5))
	life.SetNeeds([]coordination.AllowanceNeed{{Team: "t", Amount: amount, Least: amount}})
	c, err := life.Acquire(alive, "t", amount)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil || alive.Err() != nil {
		return
	}
	h.work[c.ID] = amount
	h.world.changeUse(amount, holderCount*formerPart)
	h.world.faults.late.Go(func() { h.runUntilStopped(ctx, c) })
}

// runUntilStopped ends the work after a while, or sooner when it is in excess.
func (h *limitHolder) runUntilStopped(ctx context.Context, c coordination.Charge) {
	end := time.Now().Add(h.world.faults.upTo(5 * time.Second))
	for time.Now().Before(end) && h.current().Excess("t").IsZero() {
		time.Sleep(50 * time.Millisecond)
	}
	h.mu.Lock()
	delete(h.work, c.ID)
	h.world.changeUse(coordination.Resources{}.Minus(c.Amount), holderCount*formerPart)
	h.mu.Unlock()
	h.release(ctx, c.ID)
}

// mint sets the part of the limit in the life that is current in the end.
func (h *limitHolder) mint(ctx context.Context, version, cores int64) {
	share := coordination.MintShare{Team: "t", Version: version, Amount: coordination.Cores(cores)}
	for ctx.Err() == nil {
		life := h.current()
		err := life.SetMint(ctx, share)
		minted := err == nil || coordination.KindOf(err) == coordination.KindStaleVersion
		if minted && life == h.current() {
			return
		}
	}
}

func TestLimitIsNeverPassedUnderFaults(t *testing.T) {
	underFaults(t, func(t *testing.T, f *faults) {
		w := newLimitWorld(t, f)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for _, h := range w.holders {
			h.start(ctx)
			running.Go(func() { h.mint(ctx, 1, formerPart) })
			for range 3 {
				f.repeat(ctx, &running, 600*time.Millisecond, func() { h.submit(ctx) })
			}
			f.repeat(ctx, &running, 20*time.Second, func() {
				if f.chance(0.8) {
					h.cancel()
					time.Sleep(f.upTo(2 * time.Second))
					h.start(ctx)
				}
			})
		}
		time.Sleep(faultTime)
		f.heal()
		before, _ := w.count()
		for _, h := range w.holders {
			running.Go(func() { h.mint(ctx, 2, loweredPart) })
		}
		time.Sleep(quietTime)
		middle, _ := w.count()
		time.Sleep(quietTime)
		after, highest := w.count()
		if !highest.Fits(coordination.Cores(holderCount * loweredPart)) {
			t.Errorf("%v ran long after the limit was lowered", highest)
		}
		if before == 0 || after == middle {
			t.Errorf("%d tasks started under faults, %d in the end", before, after-middle)
		}
		cancel()
		running.Wait()
		f.late.Wait()
	})
}

// What a holder knows must not depend on the order or the copies of its
// records, nor on whether the journal was compacted.
func TestRestoredAllowances(t *testing.T) {
	journal := &listJournal{}
	holders := localHolders{}
	fresh := func(records []coordination.AllowanceRecord) *coordination.Allowances {
		return coordination.NewAllowances(coordination.DefaultAllowanceConfig(), "a", "z", records, coordination.AllowanceDeps{
			Peers: holders, Journal: journal, Timers: coordination.NewTimers(), Log: zerolog.Nop(), Scope: tally.NoopScope,
		})
	}
	a := fresh(nil)
	ctx := t.Context()
	for _, share := range []coordination.MintShare{{Team: "t", Version: 1, Amount: coordination.Cores(9)}, {Team: "t", Version: 2, Amount: coordination.Cores(8)}} {
		if err := a.SetMint(ctx, share); err != nil {
			t.Fatal(err)
		}
	}
	transfer := coordination.AllowanceTransfer{From: "b", To: "a", Team: "t", Number: 3, Total: coordination.Cores(5)}
	if err := a.HandleTransfer(ctx, transfer); err != nil {
		t.Fatal(err)
	}
	kept, _ := a.Acquire(ctx, "t", coordination.Cores(4))
	freed, _ := a.Acquire(ctx, "t", coordination.Cores(2))
	if err := a.Release(ctx, freed.ID); err != nil {
		t.Fatal(err)
	}
	backwards := slices.Clone(journal.records)
	slices.Reverse(backwards)
	for name, records := range map[string][]coordination.AllowanceRecord{
		"in order": journal.records, "backwards": backwards, "twice": slices.Concat(backwards, journal.records), "compacted": a.Records(),
	} {
		restored := fresh(records)
		if diff := cmp.Diff(coordination.Cores(9), restored.Available("t")); diff != "" {
			t.Errorf("%s: available (-want +got):\n%s", name, diff)
		}
		if diff := cmp.Diff([]coordination.Charge{kept}, restored.Charges()); diff != "" {
			t.Errorf("%s: charges (-want +got):\n%s", name, diff)
		}
	}
}
