package cafollow

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

const testTopic = "config"

// fakeLog is a log that is slow, becomes unavailable, drops old records, loses
// answers and applies appends late. It keeps dropped records for the reference
// history.
type fakeLog struct {
	mu      sync.Mutex
	random  *rand.Rand
	stored  memoryLog
	times   []time.Time
	down    bool
	hanging bool
	// lostAnswerChance is the probability that the answer to an append is lost.
	lostAnswerChance float64
	// lateAppendChance is the probability that an append fails without an answer
	// and takes effect later.
	lateAppendChance float64
	retention        time.Duration
	delayed          sync.WaitGroup
}

func newFakeLog(seed uint64) *fakeLog {
	return &fakeLog{random: rand.New(rand.NewPCG(seed, 1)), retention: time.Hour}
}

func (l *fakeLog) set(change func(*fakeLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

func (l *fakeLog) delay(limit time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.random.Int64N(int64(limit)))
}

func (l *fakeLog) occurs(p float64) bool { return l.random.Float64() < p }

// wait simulates the duration of a call. While the log hangs, it waits until
// the context is done, or an hour.
func (l *fakeLog) wait(ctx context.Context) error {
	delay := l.delay(50 * time.Millisecond)
	l.mu.Lock()
	if l.hanging {
		delay = time.Hour
	}
	l.mu.Unlock()
	select {
	case <-ctx.Done():
		return cakind.Wrap(cakind.KindUnknown, ctx.Err(), "no answer")
	case <-time.After(delay):
		return nil
	}
}

func (l *fakeLog) Append(ctx context.Context, _ string, payloads [][]byte) (caplatform.Offset, error) {
	if err := l.wait(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, cakind.New(cakind.KindUnavailable, "down")
	}
	if l.occurs(l.lateAppendChance) {
		l.appendLater(payloads)
		return 0, cakind.New(cakind.KindUnknown, "lost")
	}
	offset := l.add(payloads)
	if l.occurs(l.lostAnswerChance) {
		return 0, cakind.New(cakind.KindUnknown, "lost")
	}
	return offset, nil
}

func (l *fakeLog) appendLater(payloads [][]byte) {
	delay := time.Duration(l.random.Int64N(int64(5 * time.Second)))
	l.delayed.Go(func() {
		time.Sleep(delay)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.add(payloads)
	})
}

func (l *fakeLog) add(payloads [][]byte) caplatform.Offset {
	offset := l.stored.next()
	for _, p := range payloads {
		l.stored.add(decodeRecord(p))
		l.times = append(l.times, time.Now())
	}
	return offset
}

func (l *fakeLog) Read(ctx context.Context, _ string, from caplatform.Offset, limit int) (caplatform.Page, error) {
	if err := l.wait(ctx); err != nil {
		return caplatform.Page{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return caplatform.Page{}, cakind.New(cakind.KindUnavailable, "down")
	}
	for l.stored.earliest < l.stored.next() && time.Since(l.times[l.stored.earliest]) > l.retention {
		l.stored.earliest++
	}
	return l.stored.page(from, limit), nil
}

// history returns the reference history of the log.
func (l *fakeLog) history() []Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stored.reference()
}

// cluster is a set of followers of one log, with network partitions between
// zones.
type cluster struct {
	t         *testing.T
	log       *fakeLog
	zones     []cawork.ZoneName
	mu        sync.Mutex
	followers map[cawork.VMID]*node
	// isolated holds the zones that can reach neither the log nor another zone.
	isolated map[cawork.ZoneName]bool
	// withoutLog holds the zones that reach other zones but not the log.
	withoutLog map[cawork.ZoneName]bool
	// withoutPeers holds the zones that reach the log but no other zone.
	withoutPeers map[cawork.ZoneName]bool
	scope        tally.TestScope
}

type node struct {
	*Follower
	vm          cawork.VMID
	zone        cawork.ZoneName
	cancel      context.CancelFunc
	seen        map[Version]Digest
	lastVersion Version
}

func newCluster(t *testing.T, seed uint64, zones ...cawork.ZoneName) *cluster {
	return &cluster{
		t: t, log: newFakeLog(seed), zones: zones,
		followers: map[cawork.VMID]*node{}, isolated: map[cawork.ZoneName]bool{}, withoutLog: map[cawork.ZoneName]bool{}, withoutPeers: map[cawork.ZoneName]bool{},
		scope: tally.NewTestScope("", nil),
	}
}

// zoneLog is the log and the peers as reached from a zone.
type zoneLog struct {
	*cluster
	zone cawork.ZoneName
}

func (z zoneLog) checkLogReachable() error {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.isolated[z.zone] || z.withoutLog[z.zone] {
		return cakind.New(cakind.KindUnavailable, "zone %s cannot reach the log", z.zone)
	}
	return nil
}

func (z zoneLog) Append(ctx context.Context, topic string, payloads [][]byte) (caplatform.Offset, error) {
	if err := z.checkLogReachable(); err != nil {
		return 0, err
	}
	return z.log.Append(ctx, topic, payloads)
}

func (z zoneLog) Read(ctx context.Context, topic string, from caplatform.Offset, limit int) (caplatform.Page, error) {
	if err := z.checkLogReachable(); err != nil {
		return caplatform.Page{}, err
	}
	return z.log.Read(ctx, topic, from, limit)
}

func (z zoneLog) FetchConfig(_ context.Context, vm cawork.VMID, _ Version) (Snapshot, error) {
	z.mu.Lock()
	defer z.mu.Unlock()
	peer, ok := z.followers[vm]
	if !ok || !z.connected(z.zone, peer.zone) {
		return Snapshot{}, cakind.New(cakind.KindUnavailable, "no answer from %s", vm)
	}
	return peer.Current(), nil
}

func (c *cluster) isIsolated(z cawork.ZoneName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isolated[z]
}

func (c *cluster) connected(a, b cawork.ZoneName) bool {
	disconnected := c.isolated[a] || c.isolated[b] || c.withoutPeers[a] || c.withoutPeers[b]
	return a == b || !disconnected
}

// partition cuts some zones off from the log and others from their peers.
func (c *cluster) partition(withoutLog, withoutPeers map[cawork.ZoneName]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withoutLog, c.withoutPeers = withoutLog, withoutPeers
}

func (c *cluster) setIsolated(z cawork.ZoneName, isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated[z] = isolated
}

// start adds a follower without state.
func (c *cluster) start(vm cawork.VMID, zone cawork.ZoneName) *node {
	ctx, cancel := context.WithCancel(context.Background())
	f := NewFollower(Options{
		Self: vm, Zone: zone, Log: zoneLog{c, zone}, Topic: testTopic, Peers: zoneLog{c, zone},
		Timer: catimer.NewDriftingService(c.clockRate()), Logger: zerolog.Nop(), Scope: c.scope,
		SnapshotPeriod: 10 * time.Second, SnapshotRecords: 20,
		Elected: func() bool { return c.elected() == vm },
	})
	n := &node{Follower: f, vm: vm, zone: zone, cancel: cancel, seen: map[Version]Digest{}}
	c.mu.Lock()
	c.followers[vm] = n
	c.mu.Unlock()
	go func() { _ = f.Run(ctx) }()
	return n
}

// clockRate returns a random clock rate, up to a tenth too fast or too slow.
func (c *cluster) clockRate() float64 {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	return 0.9 + 0.2*c.log.random.Float64()
}

func (c *cluster) elected() cawork.VMID {
	return c.sortedNodes()[0].vm
}

func (c *cluster) sortedNodes() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	nodes := make([]*node, 0, len(c.followers))
	for _, n := range c.followers {
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(a, b *node) int { return slices.Compare([]byte(a.vm), []byte(b.vm)) })
	return nodes
}

func (c *cluster) stop(vm cawork.VMID) {
	c.mu.Lock()
	n := c.followers[vm]
	delete(c.followers, vm)
	c.mu.Unlock()
	n.cancel()
	<-n.Done()
}

func (c *cluster) stopAll() {
	for _, n := range c.sortedNodes() {
		c.stop(n.vm)
	}
	c.log.delayed.Wait()
}

// step advances the time by a second: every connected pair of followers
// exchanges versions, and every follower is compared with the reference history.
func (c *cluster) step() {
	time.Sleep(time.Second)
	nodes := c.sortedNodes()
	for _, a := range nodes {
		for _, b := range nodes {
			c.mu.Lock()
			connected := a != b && c.connected(a.zone, b.zone)
			c.mu.Unlock()
			if connected {
				a.Offer(Offer{VM: b.vm, Zone: b.zone, Version: b.Current().Version})
			}
		}
	}
	c.check(nodes)
}

func (c *cluster) check(nodes []*node) {
	history := c.log.history()
	for _, n := range nodes {
		current := n.Current()
		if current.Version < n.lastVersion {
			c.t.Fatalf("%s returned from version %d to %d", n.vm, n.lastVersion, current.Version)
		}
		n.lastVersion = current.Version
		if want := history[current.AsOf]; want.Version != current.Version || want.Hash != current.Hash {
			c.t.Fatalf("%s holds version %d as of %d, the reference version %d", n.vm, current.Version, current.AsOf, want.Version)
		}
	}
	for name, counter := range c.scope.Snapshot().Counters() {
		if counter.Name() == "config_violations" && counter.Value() > 0 {
			c.t.Fatalf("%d violations in %s", counter.Value(), name)
		}
	}
}
