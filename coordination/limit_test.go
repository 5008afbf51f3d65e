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
	// initialShareCores and loweredShareCores are the cores that each of three
	// holders mints before and after the limit is lowered.
	initialShareCores, loweredShareCores = 10, 6
	holderCount                          = 3
)

// lossyJournal injects faults into Append. It may store a record late, or
// although Append returned an error.
type lossyJournal struct {
	memoryJournal
	faults *faults
}

func (j *lossyJournal) Append(ctx context.Context, r coordination.AllowanceRecord) error {
	return j.faults.callWithFaults(ctx, func(ctx context.Context) error { return j.memoryJournal.Append(ctx, r) })
}

func (j *lossyJournal) stored() []coordination.AllowanceRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.records)
}

// limitHolder is a holder whose process restarts, and the work that runs under
// its charges. The work keeps running when the process stops.
type limitHolder struct {
	cluster *limitCluster
	id      coordination.HolderID
	journal *lossyJournal

	mu          sync.Mutex
	allowances  *coordination.Allowances
	processCtx  context.Context
	stopProcess context.CancelFunc
	running     map[coordination.ChargeID]coordination.Resources
}

// limitCluster is three holders that share a limit, and the use of their running
// work.
type limitCluster struct {
	t       *testing.T
	faults  *faults
	holders map[coordination.HolderID]*limitHolder

	mu                sync.Mutex
	used, highestUsed coordination.Resources
	started           int
}

func newLimitCluster(t *testing.T, f *faults) *limitCluster {
	c := &limitCluster{t: t, faults: f, holders: map[coordination.HolderID]*limitHolder{}}
	for _, id := range []coordination.HolderID{"a", "b", "c"} {
		c.holders[id] = &limitHolder{
			cluster: c, id: id, journal: &lossyJournal{faults: f}, running: map[coordination.ChargeID]coordination.Resources{},
		}
	}
	return c
}

func (c *limitCluster) Ask(ctx context.Context, to coordination.HolderID, req coordination.AllowanceAsk) (coordination.AllowanceReply, error) {
	return withFaults(ctx, c.faults, func(ctx context.Context) (coordination.AllowanceReply, error) {
		return c.holders[to].current().HandleAsk(ctx, req)
	})
}

func (c *limitCluster) Transfer(ctx context.Context, to coordination.HolderID, t coordination.AllowanceTransfer) error {
	return c.faults.callWithFaults(ctx, func(ctx context.Context) error { return c.holders[to].current().HandleTransfer(ctx, t) })
}

// addUse adds the use of work that starts, or subtracts that of work that ends,
// and checks the limit.
func (c *limitCluster) addUse(change coordination.Resources, limit int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used = c.used.Plus(change)
	if !change.IsNegative() {
		c.started++
	}
	if !c.used.Fits(coordination.Cores(limit)) {
		c.t.Errorf("running work uses %v, the limit is %d cores", c.used, limit)
	}
	if c.highestUsed.Fits(c.used) {
		c.highestUsed = c.used
	}
}

// takeStats returns the number of tasks started so far and the highest use since
// the last call.
func (c *limitCluster) takeStats() (started int, highest coordination.Resources) {
	c.mu.Lock()
	defer c.mu.Unlock()
	highest, c.highestUsed = c.highestUsed, c.used
	return c.started, highest
}

func (h *limitHolder) current() *coordination.Allowances {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.allowances
}

// start starts a process of the holder with the stored journal. It releases the
// charges whose work does not run.
func (h *limitHolder) start(ctx context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.processCtx, h.stopProcess = context.WithCancel(ctx)
	h.allowances = coordination.NewAllowances(coordination.DefaultAllowanceConfig(), h.id, coordination.ZoneName(h.id), h.journal.stored(),
		coordination.AllowanceDeps{
			Peers: h.cluster, Journal: h.journal, Timers: coordination.NewTimers(), Log: zerolog.Nop(), Scope: tally.NoopScope,
		})
	var others []coordination.AllowancePartner
	for id := range h.cluster.holders {
		if id != h.id {
			others = append(others, coordination.AllowancePartner{Shard: id, Zone: coordination.ZoneName(id)})
		}
	}
	h.allowances.SetPartners(others)
	for _, c := range h.allowances.Charges() {
		if _, ok := h.running[c.ID]; !ok {
			h.release(h.processCtx, c.ID)
		}
	}
	allowances, processCtx := h.allowances, h.processCtx
	h.cluster.faults.background.Go(func() { _ = allowances.Run(processCtx) })
}

// release retries until the charge is released. After a restart the charge may
// be back, because the record of its release reached the journal too late.
func (h *limitHolder) release(ctx context.Context, id coordination.ChargeID) {
	h.cluster.faults.background.Go(func() {
		isCharge := func(c coordination.Charge) bool { return c.ID == id }
		for ctx.Err() == nil && slices.ContainsFunc(h.current().Charges(), isCharge) {
			_ = h.current().Release(ctx, id)
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// submit starts work of a random size if the limit permits it.
func (h *limitHolder) submit(ctx context.Context) {
	h.mu.Lock()
	allowances, processCtx := h.allowances, h.processCtx
	h.mu.Unlock()
	amount := coordination.Cores(1 + h.cluster.faults.randomInt(5))
	allowances.SetNeeds([]coordination.AllowanceNeed{{Team: "t", Amount: amount, Least: amount}})
	c, err := allowances.Acquire(processCtx, "t", amount)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil || processCtx.Err() != nil {
		return
	}
	h.running[c.ID] = amount
	h.cluster.addUse(amount, holderCount*initialShareCores)
	h.cluster.faults.background.Go(func() { h.runUntilStopped(ctx, c) })
}

// runUntilStopped ends the work after a random time, or as soon as the holder
// reports an excess.
func (h *limitHolder) runUntilStopped(ctx context.Context, c coordination.Charge) {
	end := time.Now().Add(h.cluster.faults.randomDelay(5 * time.Second))
	for time.Now().Before(end) && h.current().Excess("t").IsZero() {
		time.Sleep(50 * time.Millisecond)
	}
	h.mu.Lock()
	delete(h.running, c.ID)
	h.cluster.addUse(coordination.Resources{}.Minus(c.Amount), holderCount*initialShareCores)
	h.mu.Unlock()
	h.release(ctx, c.ID)
}

// mint sets the share of the limit. It retries until the process that set it is
// still the current one.
func (h *limitHolder) mint(ctx context.Context, version, cores int64) {
	share := coordination.MintShare{Team: "t", Version: version, Amount: coordination.Cores(cores)}
	for ctx.Err() == nil {
		allowances := h.current()
		err := allowances.SetMint(ctx, share)
		minted := err == nil || coordination.KindOf(err) == coordination.KindStaleVersion
		if minted && allowances == h.current() {
			return
		}
	}
}

// Guards against the use of allowance at two holders at once, which would exceed
// the limit. Holders restart, and calls, answers and journal records are lost,
// late or repeated. After the limit is lowered, use must fall below it.
func TestLimitIsNeverExceededUnderFaults(t *testing.T) {
	forEachSeed(t, func(t *testing.T, f *faults) {
		c := newLimitCluster(t, f)
		ctx, cancel := context.WithCancel(t.Context())
		var workers sync.WaitGroup
		for _, h := range c.holders {
			h.start(ctx)
			workers.Go(func() { h.mint(ctx, 1, initialShareCores) })
			for range 3 {
				f.repeat(ctx, &workers, 600*time.Millisecond, func() { h.submit(ctx) })
			}
			f.repeat(ctx, &workers, 20*time.Second, func() {
				if f.chance(0.8) {
					h.stopProcess()
					time.Sleep(f.randomDelay(2 * time.Second))
					h.start(ctx)
				}
			})
		}
		time.Sleep(faultDuration)
		f.stop()
		startedUnderFaults, _ := c.takeStats()
		for _, h := range c.holders {
			workers.Go(func() { h.mint(ctx, 2, loweredShareCores) })
		}
		time.Sleep(recoveryDuration)
		startedBefore, _ := c.takeStats()
		time.Sleep(recoveryDuration)
		startedAfter, highestUsed := c.takeStats()
		if !highestUsed.Fits(coordination.Cores(holderCount * loweredShareCores)) {
			t.Errorf("running work used %v long after the limit was lowered", highestUsed)
		}
		if startedUnderFaults == 0 || startedAfter == startedBefore {
			t.Errorf("%d tasks started under faults, %d in the end", startedUnderFaults, startedAfter-startedBefore)
		}
		cancel()
		workers.Wait()
		f.background.Wait()
	})
}

// The restored account must not depend on the order of the records, on
// duplicates of them or on whether the journal was compacted.
func TestRestoredAllowances(t *testing.T) {
	journal := &memoryJournal{}
	holders := localHolders{}
	newHolder := func(records []coordination.AllowanceRecord) *coordination.Allowances {
		return coordination.NewAllowances(coordination.DefaultAllowanceConfig(), "a", "z", records, coordination.AllowanceDeps{
			Peers: holders, Journal: journal, Timers: coordination.NewTimers(), Log: zerolog.Nop(), Scope: tally.NoopScope,
		})
	}
	a := newHolder(nil)
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
	reversed := slices.Clone(journal.records)
	slices.Reverse(reversed)
	for name, records := range map[string][]coordination.AllowanceRecord{
		"in order": journal.records, "reversed": reversed, "twice": slices.Concat(reversed, journal.records), "compacted": a.Records(),
	} {
		restored := newHolder(records)
		if diff := cmp.Diff(coordination.Cores(9), restored.Available("t")); diff != "" {
			t.Errorf("%s: available (-want +got):\n%s", name, diff)
		}
		if diff := cmp.Diff([]coordination.Charge{kept}, restored.Charges()); diff != "" {
			t.Errorf("%s: charges (-want +got):\n%s", name, diff)
		}
	}
}
