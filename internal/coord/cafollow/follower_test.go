package cafollow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// propagationLimit is the time in which a new version must be in force on all
// connected entries.
const propagationLimit = 5 * time.Second

func mustPublish(t *testing.T, c *cluster, id string) Result {
	t.Helper()
	p := Publisher{Log: c.log, Topic: testTopic}
	current, err := p.Current(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	r, err := p.Publish(t.Context(), Change{ID: ChangeID(id), Base: current.Version, Body: []byte(id)})
	if err != nil || !r.Accepted {
		t.Fatalf("publish %s: %+v, %v", id, r, err)
	}
	return r
}

func versions(c *cluster) map[cawork.VMID]Version {
	got := map[cawork.VMID]Version{}
	for _, n := range c.sortedNodes() {
		got[n.vm] = n.Current().Version
	}
	return got
}

func advance(c *cluster, d time.Duration) {
	for range int(d / time.Second) {
		c.step()
	}
}

func TestVersionIsInForceEverywhereWithinSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, "a", "b", "c")
		defer c.stopAll()
		c.start("1", "a")
		c.start("2", "b")
		advance(c, 2*time.Second)
		mustPublish(t, c, "first")
		advance(c, propagationLimit)
		c.start("3", "c")
		advance(c, propagationLimit)
		want := map[cawork.VMID]Version{"1": 1, "2": 1, "3": 1}
		if diff := cmp.Diff(want, versions(c)); diff != "" {
			t.Error(diff)
		}
	})
}

func TestNewEntryLearnsTheVersionFromPeersWhileTheLogIsDownOrExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, "a", "b")
		defer c.stopAll()
		c.start("1", "a")
		mustPublish(t, c, "first")
		advance(c, propagationLimit)
		c.log.set(func(l *fakeLog) { l.down = true })
		c.start("2", "b")
		advance(c, propagationLimit)
		if diff := cmp.Diff(map[cawork.VMID]Version{"1": 1, "2": 1}, versions(c)); diff != "" {
			t.Error(diff)
		}
		advance(c, time.Hour)
		c.log.set(func(l *fakeLog) { l.down, l.stored.earliest = false, l.stored.next() })
		second := Change{ID: "second", Base: 1, Body: []byte("second")}
		advance(c, propagationLimit)
		if r, err := (Publisher{Log: c.log, Topic: testTopic}).Publish(t.Context(), second); err != nil || !r.Accepted {
			t.Errorf("%+v, %v", r, err)
		}
		advance(c, propagationLimit)
		if diff := cmp.Diff(map[cawork.VMID]Version{"1": 2, "2": 2}, versions(c)); diff != "" {
			t.Error(diff)
		}
	})
}

func TestSnapshotIsWrittenAgainBeforeRetentionDropsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, "a")
		defer c.stopAll()
		c.log.set(func(l *fakeLog) { l.retention = 30 * time.Second })
		c.start("1", "a")
		c.start("2", "a")
		mustPublish(t, c, "first")
		advance(c, 10*time.Minute)
		current, err := Publisher{Log: c.log, Topic: testTopic}.Current(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(Version(1), current.Version); diff != "" {
			t.Error(diff)
		}
		// One of the two entries writes, once in each period of 10 s.
		if written := len(c.log.history()) - 2; written < 30 || written > 62 {
			t.Errorf("%d snapshots in 10 min", written)
		}
	})
}

func TestOthersWriteTheSnapshotWhenTheElectedOneCannot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, "a", "b")
		defer c.stopAll()
		c.log.set(func(l *fakeLog) { l.retention = 40 * time.Second })
		c.start("1", "a")
		c.start("2", "b")
		c.start("3", "b")
		mustPublish(t, c, "first")
		advance(c, 10*time.Second)
		c.partition(map[cawork.ZoneName]bool{"a": true}, nil)
		advance(c, 10*time.Minute)
		current, err := Publisher{Log: c.log, Topic: testTopic}.Current(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(Version(1), current.Version); diff != "" {
			t.Error(diff)
		}
		// The two other entries write, each time after two periods of 10 s.
		if written := len(c.log.history()) - 2; written < 28 || written > 66 {
			t.Errorf("%d snapshots in 10 min", written)
		}
	})
}

func TestConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, "a", "b", "c")
		defer c.stopAll()
		a, b, d := c.start("1", "a"), c.start("2", "b"), c.start("3", "c")
		mustPublish(t, c, "first")
		advance(c, propagationLimit)
		recentlyConfirmed := func() []bool {
			var out []bool
			for _, n := range []*node{a, b, d} {
				out = append(out, time.Since(n.ConfirmedAt(c.zones)) <= propagationLimit)
			}
			return out
		}
		steps := []struct {
			name   string
			change func()
			want   []bool
		}{
			{"all connected", func() {}, []bool{true, true, true}},
			{"log down: a majority of zones confirms", func() { c.log.set(func(l *fakeLog) { l.down = true }) }, []bool{true, true, true}},
			{"and one zone is isolated", func() { c.setIsolated("c", true) }, []bool{true, true, false}},
			{"and a second zone is isolated", func() { c.setIsolated("b", true) }, []bool{false, false, false}},
			{"log restored: only the connected zone confirms", func() { c.log.set(func(l *fakeLog) { l.down = false }) }, []bool{true, false, false}},
			{"all faults removed", func() { c.setIsolated("b", false); c.setIsolated("c", false) }, []bool{true, true, true}},
		}
		for _, s := range steps {
			s.change()
			advance(c, 10*time.Second)
			if diff := cmp.Diff(s.want, recentlyConfirmed()); diff != "" {
				t.Errorf("%s: %s", s.name, diff)
			}
		}
	})
}

// TestMajorityWithoutTheLogKeepsServing covers a known limit of the majority
// rule: while only an isolated zone reaches the log, the majority of the other
// zones cannot learn of a version that is published through that log, and keeps
// confirming the old one. It takes over the new version within seconds of being
// connected to that zone again.
func TestMajorityWithoutTheLogKeepsServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, "a", "b", "c")
		defer c.stopAll()
		a := c.start("1", "a")
		c.start("2", "b")
		c.start("3", "c")
		mustPublish(t, c, "first")
		advance(c, propagationLimit)
		c.partition(map[cawork.ZoneName]bool{"a": true, "b": true}, map[cawork.ZoneName]bool{"c": true})
		mustPublish(t, c, "withdrawal")
		advance(c, time.Minute)
		if diff := cmp.Diff(map[cawork.VMID]Version{"1": 1, "2": 1, "3": 2}, versions(c)); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(true, time.Since(a.ConfirmedAt(c.zones)) <= propagationLimit); diff != "" {
			t.Error(diff)
		}
		c.partition(map[cawork.ZoneName]bool{"a": true, "b": true}, nil)
		advance(c, propagationLimit)
		if diff := cmp.Diff(map[cawork.VMID]Version{"1": 2, "2": 2, "3": 2}, versions(c)); diff != "" {
			t.Error(diff)
		}
	})
}

func TestPeerWithAHigherVersionDoesNotConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, "a", "b")
		defer c.stopAll()
		c.log.set(func(l *fakeLog) { l.down = true })
		n := c.start("1", "a")
		time.Sleep(time.Second)
		n.Offer(Offer{VM: "gone", Zone: "b", Version: 9})
		if diff := cmp.Diff(true, n.ConfirmedAt(c.zones).IsZero()); diff != "" {
			t.Error(diff)
		}
	})
}

// TestFaults runs followers and publishers under random faults of the log and
// network partitions of zones. Set CELERYARCH_SEEDS to run more seeds.
func TestFaults(t *testing.T) {
	seeds := 20
	if text := os.Getenv("CELERYARCH_SEEDS"); text != "" {
		seeds, _ = strconv.Atoi(text)
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFaults(t, uint64(seed)) })
		})
	}
}

func runFaults(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	c := newCluster(t, seed, "a", "b", "c")
	defer c.stopAll()
	started := 0
	join := func() {
		started++
		c.start(cawork.VMID(fmt.Sprintf("vm%03d", started)), c.zones[random.IntN(len(c.zones))])
	}
	for range 4 {
		join()
	}
	publishers := &publishers{cluster: c, accepted: map[Version]ChangeID{}}
	for range 120 {
		toggleFault(c, random, join)
		if random.IntN(4) == 0 {
			publishers.start(1 + random.IntN(3))
		}
		c.step()
	}
	clearFaults(c)
	advance(c, 40*time.Second)
	publishers.running.Wait()
	requireConvergence(t, c)
	publishers.check(t)
}

// toggleFault starts or ends one random fault, or none.
func toggleFault(c *cluster, random *rand.Rand, join func()) {
	nodes := c.sortedNodes()
	switch random.IntN(12) {
	case 0:
		c.log.set(func(l *fakeLog) { l.down = !l.down })
	case 1:
		c.log.set(func(l *fakeLog) { l.hanging = !l.hanging })
	case 2:
		c.log.set(func(l *fakeLog) { l.lostAnswerChance, l.lateAppendChance = random.Float64(), random.Float64()/2 })
	case 3:
		z := c.zones[random.IntN(len(c.zones))]
		c.setIsolated(z, !c.isIsolated(z))
	case 4:
		c.log.set(func(l *fakeLog) {
			l.stored.earliest += (l.stored.next() - l.stored.earliest) * 2 / 3
		})
	case 5:
		if len(nodes) > 2 {
			c.stop(nodes[random.IntN(len(nodes))].vm)
		}
	case 6, 7:
		if len(nodes) < 8 {
			join()
		}
	}
}

func clearFaults(c *cluster) {
	c.log.set(func(l *fakeLog) { l.down, l.hanging, l.lostAnswerChance, l.lateAppendChance = false, false, 0, 0 })
	for _, z := range c.zones {
		c.setIsolated(z, false)
	}
}

// requireConvergence checks that all entries hold the same version. If the log
// has dropped the records and no remaining entry holds the version, only a
// reset by an operator establishes a version again.
func requireConvergence(t *testing.T, c *cluster) {
	if _, err := (Publisher{Log: c.log, Topic: testTopic}).Current(t.Context()); err != nil {
		t.Logf("reset needed: %v", err)
		for _, n := range c.sortedNodes() {
			readRecently := time.Since(n.ConfirmedAt(nil)) <= propagationLimit
			if readRecently && n.Current().Version > 0 {
				t.Errorf("%s holds version %d but wrote no snapshot", n.vm, n.state.Version())
			}
		}
		if _, err := (Publisher{Log: c.log, Topic: testTopic}).Reset(t.Context(), Reset{ID: "reset"}); err != nil {
			t.Fatal(err)
		}
		advance(c, propagationLimit)
	}
	history := c.log.history()
	final := history[len(history)-1]
	for vm, v := range versions(c) {
		if diff := cmp.Diff(final.Version, v); diff != "" {
			t.Errorf("%s: %s", vm, diff)
		}
	}
}

// publishers publish concurrent changes and record the outcomes reported to
// them.
type publishers struct {
	cluster  *cluster
	running  sync.WaitGroup
	mu       sync.Mutex
	lastID   int
	accepted map[Version]ChangeID
	rejected []ChangeID
}

func (p *publishers) start(count int) {
	for range count {
		p.lastID++
		id := ChangeID(fmt.Sprintf("change %d", p.lastID))
		p.running.Go(func() { p.publish(id) })
	}
}

func (p *publishers) publish(id ChangeID) {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	publisher := Publisher{Log: p.cluster.log, Topic: testTopic}
	current, err := publisher.Current(ctx)
	if err != nil {
		return
	}
	r, err := publisher.Publish(ctx, Change{ID: id, Base: current.Version, Body: []byte(id)})
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err == nil && r.Accepted:
		p.accepted[r.Version] = id
	case err == nil, cakind.Of(err) == cakind.KindUnavailable:
		p.rejected = append(p.rejected, id)
	}
}

// check compares the outcomes reported to publishers with the reference
// history: accepted changes are in it, rejected and unsent ones are not.
func (p *publishers) check(t *testing.T) {
	winners := map[Version]ChangeID{}
	recorded := map[ChangeID]bool{}
	for _, s := range p.cluster.log.history() {
		winners[s.Version] = s.ChangeID
		recorded[s.ChangeID] = true
	}
	for v, id := range p.accepted {
		if diff := cmp.Diff(winners[v], id); diff != "" {
			t.Errorf("version %d: %s", v, diff)
		}
	}
	for _, id := range p.rejected {
		if recorded[id] {
			t.Errorf("%s was rejected or not sent but is in the history", id)
		}
	}
}
