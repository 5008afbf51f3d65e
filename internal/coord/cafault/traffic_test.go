package cafault_test

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cacheck"
	"celeryarch.example/celeryarch/internal/coord/camember"
)

// lan is a quiet network between zones of a region.
var lan = conditions{minDelay: 200 * time.Microsecond, maxDelay: 1500 * time.Microsecond}

// cell runs the membership of some entries over three zones.
type cell struct {
	net    *network
	parts  []*camember.Part
	check  *cacheck.Checker
	cancel context.CancelFunc
}

func startCell(ctx context.Context, n int, cond conditions) *cell {
	c := &cell{net: newNetwork(1, cond), check: cacheck.New(zerolog.Nop(), tally.NoopScope)}
	ctx, c.cancel = context.WithCancel(ctx)
	for i := range n {
		address := fmt.Sprintf("10.0.%d.%d:7100", i%3, i)
		id := camember.Identity{
			VM: cawork.VMID(fmt.Sprintf("entry-%03d", i)), Address: address,
			Zone: cawork.ZoneName(fmt.Sprintf("zone-%d", i%3)),
		}
		part := camember.NewPart(camember.DefaultConfig(), id, []string{"10.0.0.0:7100"}, camember.Deps{
			Peers: peers{c.net, address}, Timers: catimer.NewService(), Log: zerolog.Nop(),
			Scope: tally.NoopScope, Check: c.check, Seed: uint64(i),
		})
		c.net.parts[address] = part
		c.parts = append(c.parts, part)
	}
	for _, part := range c.parts {
		go func() { _ = part.Run(ctx) }()
	}
	return c
}

func (c *cell) stop() {
	c.cancel()
	for _, p := range c.parts {
		<-p.Done()
	}
	time.Sleep(inFlight)
}

// busyState is the state of one of the entries at the second: 22 teams run
// tasks, and each second two of them change.
func busyState(entry, second int) camember.AppState {
	a := camember.AppState{
		ConfigVersion: int64(second / 115), QueueLength: second, OwnedUpstreams: 15,
		Free:        cawork.Resources{CPU: cawork.Cores(int64(100 + second%5)), Memory: 300 * cawork.GiB},
		LargestHole: cawork.Resources{CPU: cawork.Cores(8), Memory: 16 * cawork.GiB},
		Shards:      []camember.LedShard{{Shard: cawork.ShardID(fmt.Sprintf("shard-%03d", entry)), View: 1, Backup: "entry-001"}},
	}
	for team := range 22 {
		changes := (second + team) / 11
		a.TeamUse = append(a.TeamUse, camember.TeamUse{
			Team: cawork.TeamName(fmt.Sprintf("team-%02d", team)),
			Use:  cawork.Resources{CPU: cawork.Cores(int64(1 + changes%9)), Memory: cawork.Bytes(1+changes%9) * cawork.GiB},
		})
	}
	return a
}

// ages returns the mean and the highest age in seconds of what the entries
// know of each other's usage. busyState counts the seconds in QueueLength.
func ages(c *cell, second int) (mean float64, oldest int) {
	total, pairs := 0, 0
	for _, p := range c.parts {
		for _, m := range p.Members() {
			if m.VM == p.Self().VM {
				continue
			}
			age := second - m.App.QueueLength
			total, pairs, oldest = total+age, pairs+1, max(oldest, age)
		}
	}
	return float64(total) / float64(pairs), oldest
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// bytesBound is the traffic of membership in bytes a second, sent and
// received, a third of what an entry may use for all of control.
const bytesBound = 6000

// configBound is the time within which a configuration has to be in force
// everywhere.
const configBound = 5 * time.Second

// spreadOf lets the first entry tell a new configuration version and returns
// the time until all know it.
func (c *cell) spreadOf(version int64, a camember.AppState) time.Duration {
	a.ConfigVersion = version
	began := time.Now()
	c.parts[0].SetLocal(a)
	for !c.allKnow(version) && time.Since(began) < time.Minute {
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(began)
}

func (c *cell) allKnow(version int64) bool {
	for _, p := range c.parts {
		if p.Members()[0].App.ConfigVersion != version {
			return false
		}
	}
	return true
}

func TestTrafficPerEntryIsNearlyFlat(t *testing.T) {
	warm, measured := 25, 25
	if os.Getenv(seedsVariable) != "" {
		warm, measured = 60, 120
	}
	for _, n := range []int{9, 25, 60} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startCell(t.Context(), n, lan)
				var before time.Duration
				for second := range warm + measured {
					if second == warm {
						c.net.takeBytes()
						before = processorTime()
					}
					for i, p := range c.parts {
						p.SetLocal(busyState(i, second))
					}
					time.Sleep(time.Second)
				}
				both := 2 * c.net.takeBytes() / n / measured
				used := processorTime() - before
				t.Logf("%d entries: %d B/s sent and received by each, at most %.3f%% of a core each",
					n, both, 100*used.Seconds()/float64(measured*n))
				if both > bytesBound {
					t.Errorf("traffic of %d B/s is above %d B/s", both, bytesBound)
				}
				mean, oldest := ages(c, warm+measured-1)
				t.Logf("usage of another entry is %.1f s old on average, %d s at most", mean, oldest)
				for _, p := range c.parts {
					if got := len(p.Members()); got != n {
						t.Errorf("%s knows %d members, want %d", p.Self().VM, got, n)
					}
				}
				spread := c.spreadOf(1_000_000, busyState(0, warm+measured))
				t.Logf("a configuration version is known to all after %v", spread)
				if spread > configBound {
					t.Errorf("a configuration version took %v, want at most %v", spread, configBound)
				}
				c.stop()
				if v := c.check.Violations(); len(v) > 0 {
					t.Errorf("violations: %v", v)
				}
			})
		})
	}
}
