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

// retention is the shortest time for which a lossyLog keeps a record.
const retention = 15 * time.Second

// lossyLog is a log that injects faults into calls and drops old records. Every
// retention period it drops the records before dropNextBefore.
type lossyLog struct {
	memoryLog
	faults         *faults
	droppedBefore  int
	dropNextBefore int
}

func (l *lossyLog) Append(ctx context.Context, topic string, payloads [][]byte) (coordination.LogOffset, error) {
	return withFaults(ctx, l.faults, func(ctx context.Context) (coordination.LogOffset, error) {
		return l.memoryLog.Append(ctx, topic, payloads)
	})
}

func (l *lossyLog) Read(ctx context.Context, topic string, from coordination.LogOffset, limit int) (coordination.LogPage, error) {
	return withFaults(ctx, l.faults, func(ctx context.Context) (coordination.LogPage, error) {
		l.mu.Lock()
		earliest := coordination.LogOffset(l.droppedBefore)
		l.mu.Unlock()
		page, err := l.memoryLog.Read(ctx, topic, max(from, earliest), limit)
		page.Earliest = earliest
		return page, err
	})
}

// expire drops old records until the context ends.
func (l *lossyLog) expire(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(retention)
		l.mu.Lock()
		l.droppedBefore, l.dropNextBefore = l.dropNextBefore, len(l.records)
		l.mu.Unlock()
	}
}

// configCluster is a log, the followers that read it, and the versions that were
// accepted or observed at any follower.
type configCluster struct {
	t      *testing.T
	faults *faults
	log    *lossyLog

	mu             sync.Mutex
	followers      map[coordination.VMID]*coordination.ConfigFollower
	observedBodies map[coordination.ConfigVersion]string
	acceptedBodies map[coordination.ConfigVersion]string
}

func (c *configCluster) FetchConfig(ctx context.Context, vm coordination.VMID, _ coordination.ConfigVersion) (coordination.ConfigSnapshot, error) {
	return withFaults(ctx, c.faults, func(context.Context) (coordination.ConfigSnapshot, error) { return c.follower(vm).Current(), nil })
}

func (c *configCluster) follower(vm coordination.VMID) *coordination.ConfigFollower {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.followers[vm]
}

// follow runs a new follower for the lifetime and checks its versions.
func (c *configCluster) follow(ctx context.Context, id coordination.VMID, lifetime time.Duration) {
	f := coordination.NewConfigFollower(coordination.ConfigOptions{
		Self: id, Zone: "z", Log: c.log, Topic: "config", Peers: c, Timer: coordination.NewTimers(), Logger: zerolog.Nop(),
		SnapshotPeriod: 5 * time.Second,
	})
	c.mu.Lock()
	c.followers[id] = f
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, lifetime)
	defer cancel()
	c.faults.background.Go(func() { _ = f.Run(ctx) })
	var last coordination.ConfigVersion
	for ctx.Err() == nil {
		c.observe(id, f.Current(), last)
		last = f.Current().Version
		c.offer(f, id)
		time.Sleep(100 * time.Millisecond)
	}
}

func (c *configCluster) observe(id coordination.VMID, s coordination.ConfigSnapshot, last coordination.ConfigVersion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Version < last {
		c.t.Errorf("%s went from version %d to %d", id, last, s.Version)
	}
	if body, ok := c.observedBodies[s.Version]; ok && body != string(s.Body) {
		c.t.Errorf("version %d is %q at %s, %q elsewhere", s.Version, s.Body, id, body)
	}
	c.observedBodies[s.Version] = string(s.Body)
}

// offer passes the version of a random other follower to f in half of the calls.
func (c *configCluster) offer(f *coordination.ConfigFollower, self coordination.VMID) {
	other := coordination.VMID(fmt.Sprint("node-", c.faults.randomInt(followerCount)))
	peer := c.follower(other)
	if other != self && peer != nil && !c.faults.chance(0.5) {
		f.Offer(coordination.ConfigOffer{VM: other, Zone: "z", Version: peer.Current().Version})
	}
}

// publish competes with other publishers for the next version.
func (c *configCluster) publish(ctx context.Context, body string) {
	publishCtx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	base := c.follower("node-0").Current().Version
	p := coordination.ConfigPublisher{Log: c.log, Topic: "config"}
	r, err := p.Publish(publishCtx, coordination.ConfigChange{ID: coordination.ConfigChangeID(body), Base: base, Body: []byte(body)})
	if err != nil || !r.Accepted {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, ok := c.acceptedBodies[base+1]; ok {
		c.t.Errorf("version %d was accepted with body %q and with %q", base+1, other, body)
	}
	c.acceptedBodies[base+1] = body
}

// followerCount is the number of followers of a configCluster.
const followerCount = 4

// Guards against two bodies of one version, and against a follower that goes
// back to an older version. Followers restart, the log drops old records, and
// calls and answers are lost, late or repeated.
func TestVersionsNeverRevertUnderFaults(t *testing.T) {
	forEachSeed(t, func(t *testing.T, f *faults) {
		c := &configCluster{
			t: t, faults: f, log: &lossyLog{faults: f}, followers: map[coordination.VMID]*coordination.ConfigFollower{},
			observedBodies: map[coordination.ConfigVersion]string{}, acceptedBodies: map[coordination.ConfigVersion]string{},
		}
		ctx, cancel := context.WithCancel(t.Context())
		var workers sync.WaitGroup
		for i := range int64(followerCount) {
			id := coordination.VMID(fmt.Sprint("node-", i))
			f.repeat(ctx, &workers, time.Second, func() {
				lifetime := time.Hour
				if i > 1 {
					lifetime = 5*time.Second + f.randomDelay(30*time.Second)
				}
				c.follow(ctx, id, lifetime)
			})
		}
		time.Sleep(time.Second)
		publisherCtx, stopPublishers := context.WithTimeout(ctx, faultDuration+recoveryDuration/2)
		defer stopPublishers()
		for i := range 3 {
			count := 0
			f.repeat(publisherCtx, &workers, 3*time.Second, func() { count++; c.publish(publisherCtx, fmt.Sprint("body ", i, ".", count)) })
		}
		workers.Go(func() { c.log.expire(ctx) })
		time.Sleep(faultDuration)
		f.stop()
		time.Sleep(recoveryDuration)
		if diff := cmp.Diff(c.follower("node-0").Current().Version, c.follower("node-1").Current().Version); diff != "" {
			t.Errorf("versions differ after the faults (-node-0 +node-1):\n%s", diff)
		}
		cancel()
		workers.Wait()
		f.background.Wait()
		for version, body := range c.acceptedBodies {
			if diff := cmp.Diff(body, c.observedBodies[version]); diff != "" && c.observedBodies[version] != "" {
				t.Errorf("version %d (-accepted +in force):\n%s", version, diff)
			}
		}
		if len(c.acceptedBodies) < 3 {
			t.Errorf("%d changes were accepted, want more", len(c.acceptedBodies))
		}
	})
}
