package coordination_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/coordination"
)

// retention is the time for which a lossyLog keeps a record at least.
const retention = 15 * time.Second

// lossyLog is a log behind faults that drops its oldest records. Those before
// next are dropped after the next retention.
type lossyLog struct {
	memoryLog
	faults  *faults
	dropped int
	next    int
}

func (l *lossyLog) Append(ctx context.Context, topic string, payloads [][]byte) (coordination.LogOffset, error) {
	return through(ctx, l.faults, func(ctx context.Context) (coordination.LogOffset, error) {
		return l.memoryLog.Append(ctx, topic, payloads)
	})
}

func (l *lossyLog) Read(ctx context.Context, topic string, from coordination.LogOffset, limit int) (coordination.LogPage, error) {
	return through(ctx, l.faults, func(ctx context.Context) (coordination.LogPage, error) {
		l.mu.Lock()
		earliest := coordination.LogOffset(l.dropped)
		l.mu.Unlock()
		page, err := l.memoryLog.Read(ctx, topic, max(from, earliest), limit)
		page.Earliest = earliest
		return page, err
	})
}

// expire drops records until the context ends.
func (l *lossyLog) expire(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(retention)
		l.mu.Lock()
		l.dropped, l.next = l.next, len(l.records)
		l.mu.Unlock()
	}
}

// configWorld is a log, followers that start anew now and then, and what an
// observer saw of the versions.
type configWorld struct {
	t      *testing.T
	faults *faults
	log    *lossyLog

	mu        sync.Mutex
	followers map[coordination.VMID]*coordination.ConfigFollower
	bodies    map[coordination.ConfigVersion]string
	accepted  map[coordination.ConfigVersion]string
}

func (w *configWorld) FetchConfig(ctx context.Context, vm coordination.VMID, _ coordination.ConfigVersion) (coordination.ConfigSnapshot, error) {
	return through(ctx, w.faults, func(context.Context) (coordination.ConfigSnapshot, error) { return w.at(vm).Current(), nil })
}

func (w *configWorld) at(vm coordination.VMID) *coordination.ConfigFollower {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.followers[vm]
}

// follow runs one life of a follower and watches its versions.
func (w *configWorld) follow(ctx context.Context, id coordination.VMID, life time.Duration) {
	f := coordination.NewConfigFollower(coordination.ConfigOptions{
		Self: id, Zone: "z", Log: w.log, Topic: "config", Peers: w, Timer: coordination.NewTimers(), Logger: zerolog.Nop(),
		SnapshotPeriod: 5 * time.Second,
	})
	w.mu.Lock()
	w.followers[id] = f
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, life)
	defer cancel()
	w.faults.late.Go(func() { _ = f.Run(ctx) })
	var last coordination.ConfigVersion
	for ctx.Err() == nil {
		w.observe(id, f.Current(), last)
		last = f.Current().Version
		w.offer(f, id)
		time.Sleep(100 * time.Millisecond)
	}
}

func (w *configWorld) observe(id coordination.VMID, s coordination.ConfigSnapshot, last coordination.ConfigVersion) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.Version < last {
		w.t.Errorf("%s went from version %d to %d", id, last, s.Version)
	}
	if body, ok := w.bodies[s.Version]; ok && body != string(s.Body) {
		w.t.Errorf("version %d is %q at %s, %q elsewhere", s.Version, s.Body, id, body)
	}
	w.bodies[s.Version] = string(s.Body)
}

// offer tells the follower the version of another one, or no news at all.
func (w *configWorld) offer(f *coordination.ConfigFollower, self coordination.VMID) {
	other := coordination.VMID(fmt.Sprint("node-", w.faults.below(followerCount)))
	peer := w.at(other)
	if other != self && peer != nil && !w.faults.chance(0.5) {
		f.Offer(coordination.ConfigOffer{VM: other, Zone: "z", Version: peer.Current().Version})
	}
}

// publish races with other publishers for the next version.
func (w *configWorld) publish(ctx context.Context, body string) {
	limited, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	base := w.at("node-0").Current().Version
	p := coordination.ConfigPublisher{Log: w.log, Topic: "config"}
	r, err := p.Publish(limited, coordination.ConfigChange{ID: coordination.ConfigChangeID(body), Base: base, Body: []byte(body)})
	if err != nil || !r.Accepted {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if other, ok := w.accepted[base+1]; ok {
		w.t.Errorf("version %d was accepted of %q and of %q", base+1, other, body)
	}
	w.accepted[base+1] = body
}

// followerCount is the number of followers of a configWorld.
const followerCount = 4

func TestVersionsNeverRevertUnderFaults(t *testing.T) {
	underFaults(t, func(t *testing.T, f *faults) {
		w := &configWorld{
			t: t, faults: f, log: &lossyLog{faults: f}, followers: map[coordination.VMID]*coordination.ConfigFollower{},
			bodies: map[coordination.ConfigVersion]string{}, accepted: map[coordination.ConfigVersion]string{},
		}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for i := range int64(followerCount) {
			id := coordination.VMID(fmt.Sprint("node-", i))
			f.repeat(ctx, &running, time.Second, func() {
				life := time.Hour
				if i > 1 {
					life = 5*time.Second + f.upTo(30*time.Second)
				}
				w.follow(ctx, id, life)
			})
		}
		time.Sleep(time.Second)
		publishing, stop := context.WithTimeout(ctx, faultTime+quietTime/2)
		defer stop()
		for i := range 3 {
			count := 0
			f.repeat(publishing, &running, 3*time.Second, func() { count++; w.publish(publishing, fmt.Sprint("body ", i, ".", count)) })
		}
		running.Go(func() { w.log.expire(ctx) })
		time.Sleep(faultTime)
		f.heal()
		time.Sleep(quietTime)
		if diff := cmp.Diff(w.at("node-0").Current().Version, w.at("node-1").Current().Version); diff != "" {
			t.Errorf("versions differ after the faults (-node-0 +node-1):\n%s", diff)
		}
		cancel()
		running.Wait()
		f.late.Wait()
		for version, body := range w.accepted {
			if diff := cmp.Diff(body, w.bodies[version]); diff != "" && w.bodies[version] != "" {
				t.Errorf("version %d (-accepted +in force):\n%s", version, diff)
			}
		}
		if len(w.accepted) < 3 {
			t.Errorf("%d changes were accepted, want more", len(w.accepted))
		}
	})
}
