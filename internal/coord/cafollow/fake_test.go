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

// fakeLog is a log that is slow, goes down, drops old records, loses answers
// and takes late copies of appends. It keeps dropped records for the naive
// process.
type fakeLog struct {
	mu      sync.Mutex
	random  *rand.Rand
	records memory
	times   []time.Time
	down    bool
	hang    bool
	// loses is the chance that the answer to an append is lost.
	loses float64
	// late is the chance that a lost append takes effect later.
	late      float64
	retention time.Duration
	delayed   sync.WaitGroup
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

func (l *fakeLog) chance(p float64) bool { return l.random.Float64() < p }

// wait passes the time of a call, for ever when the log hangs.
func (l *fakeLog) wait(ctx context.Context) error {
	delay := l.delay(50 * time.Millisecond)
	l.mu.Lock()
	if l.hang {
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
	if l.chance(l.late) {
		l.appendLater(payloads)
		return 0, cakind.New(cakind.KindUnknown, "lost")
	}
	offset := l.add(payloads)
	if l.chance(l.loses) {
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
	offset := l.records.next()
	for _, p := range payloads {
		l.records.add(decodeRecord(p))
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
	for l.records.earliest < l.records.next() && time.Since(l.times[l.records.earliest]) > l.retention {
		l.records.earliest++
	}
	return l.records.page(from, limit), nil
}

// history returns what the naive process knows.
func (l *fakeLog) history() []Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.records.naive()
}

// cell is a set of followers over one log, with cuts between zones.
type cell struct {
	t         *testing.T
	log       *fakeLog
	zones     []cawork.ZoneName
	mu        sync.Mutex
	followers map[cawork.VMID]*node
	// cut holds the zones that are cut off from the log and from all others.
	cut map[cawork.ZoneName]bool
	// noLog holds the zones that are cut off from the log alone.
	noLog map[cawork.ZoneName]bool
	// apart holds the zones that are cut off from all others, not the log.
	apart map[cawork.ZoneName]bool
	scope tally.TestScope
}

type node struct {
	*Follower
	vm     cawork.VMID
	zone   cawork.ZoneName
	cancel context.CancelFunc
	seen   map[Version]Digest
	last   Version
}

func newCell(t *testing.T, seed uint64, zones ...cawork.ZoneName) *cell {
	return &cell{
		t: t, log: newFakeLog(seed), zones: zones,
		followers: map[cawork.VMID]*node{}, cut: map[cawork.ZoneName]bool{}, noLog: map[cawork.ZoneName]bool{}, apart: map[cawork.ZoneName]bool{},
		scope: tally.NewTestScope("", nil),
	}
}

// zoneLog is the log as a zone reaches it.
type zoneLog struct {
	*cell
	zone cawork.ZoneName
}

func (z zoneLog) reached() error {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.cut[z.zone] || z.noLog[z.zone] {
		return cakind.New(cakind.KindUnavailable, "zone %s is cut off", z.zone)
	}
	return nil
}

func (z zoneLog) Append(ctx context.Context, topic string, payloads [][]byte) (caplatform.Offset, error) {
	if err := z.reached(); err != nil {
		return 0, err
	}
	return z.log.Append(ctx, topic, payloads)
}

func (z zoneLog) Read(ctx context.Context, topic string, from caplatform.Offset, limit int) (caplatform.Page, error) {
	if err := z.reached(); err != nil {
		return caplatform.Page{}, err
	}
	return z.log.Read(ctx, topic, from, limit)
}

func (z zoneLog) FetchConfig(_ context.Context, vm cawork.VMID, _ Version) (Snapshot, error) {
	z.mu.Lock()
	defer z.mu.Unlock()
	peer, ok := z.followers[vm]
	if !ok || !z.connected(z.zone, peer.zone) {
		return Snapshot{}, cakind.New(cakind.KindUnavailable, "no answer of %s", vm)
	}
	return peer.Current(), nil
}

func (c *cell) isCut(z cawork.ZoneName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut[z]
}

func (c *cell) connected(a, b cawork.ZoneName) bool {
	off := c.cut[a] || c.cut[b] || c.apart[a] || c.apart[b]
	return a == b || !off
}

// split takes the log away from some zones and sets others apart.
func (c *cell) split(noLog, apart map[cawork.ZoneName]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noLog, c.apart = noLog, apart
}

func (c *cell) setCut(z cawork.ZoneName, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[z] = cut
}

// start adds a follower that knows nothing.
func (c *cell) start(vm cawork.VMID, zone cawork.ZoneName) *node {
	ctx, cancel := context.WithCancel(context.Background())
	f := NewFollower(Options{
		Self: vm, Zone: zone, Log: zoneLog{c, zone}, Topic: testTopic, Peers: zoneLog{c, zone},
		Timer: catimer.NewDriftingService(c.rate()), Logger: zerolog.Nop(), Scope: c.scope,
		SnapshotPeriod: 10 * time.Second, SnapshotRecords: 20,
		Elected: func() bool { return c.first() == vm },
	})
	n := &node{Follower: f, vm: vm, zone: zone, cancel: cancel, seen: map[Version]Digest{}}
	c.mu.Lock()
	c.followers[vm] = n
	c.mu.Unlock()
	go func() { _ = f.Run(ctx) }()
	return n
}

// rate lets each clock run up to a tenth fast or slow.
func (c *cell) rate() float64 {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	return 0.9 + 0.2*c.log.random.Float64()
}

func (c *cell) first() cawork.VMID {
	return c.sorted()[0].vm
}

func (c *cell) sorted() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	nodes := make([]*node, 0, len(c.followers))
	for _, n := range c.followers {
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(a, b *node) int { return slices.Compare([]byte(a.vm), []byte(b.vm)) })
	return nodes
}

func (c *cell) stop(vm cawork.VMID) {
	c.mu.Lock()
	n := c.followers[vm]
	delete(c.followers, vm)
	c.mu.Unlock()
	n.cancel()
	<-n.Done()
}

func (c *cell) stopAll() {
	for _, n := range c.sorted() {
		c.stop(n.vm)
	}
	c.log.delayed.Wait()
}

// step passes a second: every pair that is connected exchanges versions, and
// every reader is compared with the naive process.
func (c *cell) step() {
	time.Sleep(time.Second)
	nodes := c.sorted()
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

func (c *cell) check(nodes []*node) {
	history := c.log.history()
	for _, n := range nodes {
		now := n.Current()
		if now.Version < n.last {
			c.t.Fatalf("%s went back from version %d to %d", n.vm, n.last, now.Version)
		}
		n.last = now.Version
		if want := history[now.AsOf]; want.Version != now.Version || want.Hash != now.Hash {
			c.t.Fatalf("%s holds version %d as of %d, the naive process version %d", n.vm, now.Version, now.AsOf, want.Version)
		}
	}
	for name, counter := range c.scope.Snapshot().Counters() {
		if counter.Name() == "config_violations" && counter.Value() > 0 {
			c.t.Fatalf("%d violations in %s", counter.Value(), name)
		}
	}
}
