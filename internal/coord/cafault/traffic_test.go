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

// lan is the network between zones of a region without faults.
var lan = conditions{minDelay: 200 * time.Microsecond, maxDelay: 1500 * time.Microsecond}

// memberGroup runs only the membership of entries in three zones.
type memberGroup struct {
	net         *network
	memberships []*camember.Membership
	checker     *cacheck.Checker
	cancel      context.CancelFunc
}

func startMemberGroup(ctx context.Context, n int, cond conditions) *memberGroup {
	g := &memberGroup{net: newNetwork(1, cond), checker: cacheck.New(zerolog.Nop(), tally.NoopScope)}
	ctx, g.cancel = context.WithCancel(ctx)
	for i := range n {
		address := fmt.Sprintf("10.0.%d.%d:7100", i%3, i)
		id := camember.Identity{
			VM: cawork.VMID(fmt.Sprintf("entry-%03d", i)), Address: address,
			Zone: cawork.ZoneName(fmt.Sprintf("zone-%d", i%3)),
		}
		membership := camember.NewMembership(camember.DefaultConfig(), id, []string{"10.0.0.0:7100"}, camember.Deps{
			Peers: peerClient{g.net, address}, Timers: catimer.NewService(), Log: zerolog.Nop(),
			Scope: tally.NoopScope, Check: g.checker, Seed: uint64(i),
		})
		g.net.memberships[address] = membership
		g.memberships = append(g.memberships, membership)
	}
	for _, membership := range g.memberships {
		go func() { _ = membership.Run(ctx) }()
	}
	return g
}

func (g *memberGroup) stop() {
	g.cancel()
	for _, p := range g.memberships {
		<-p.Done()
	}
	time.Sleep(maxMessageDelay)
}

// stateAt returns the state of an entry at the second: 22 teams run tasks, and the
// use of two of them changes each second.
func stateAt(entry, second int) camember.AppState {
	state := camember.AppState{
		ConfigVersion: int64(second / 115), QueueLength: second, OwnedUpstreams: 15,
		Free:        cawork.Resources{CPU: cawork.Cores(int64(100 + second%5)), Memory: 300 * cawork.GiB},
		LargestHole: cawork.Resources{CPU: cawork.Cores(8), Memory: 16 * cawork.GiB},
		Shards:      []camember.LedShard{{Shard: cawork.ShardID(fmt.Sprintf("shard-%03d", entry)), View: 1, Backup: "entry-001"}},
	}
	for team := range 22 {
		changeCount := (second + team) / 11
		state.TeamUse = append(state.TeamUse, camember.TeamUse{
			Team: cawork.TeamName(fmt.Sprintf("team-%02d", team)),
			Use:  cawork.Resources{CPU: cawork.Cores(int64(1 + changeCount%9)), Memory: cawork.Bytes(1+changeCount%9) * cawork.GiB},
		})
	}
	return state
}

// usageAges returns the mean and the maximum age in seconds of the state that the
// entries have of each other. stateAt stores the second in QueueLength.
func usageAges(g *memberGroup, second int) (mean float64, oldest int) {
	total, pairs := 0, 0
	for _, p := range g.memberships {
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

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// maxBytesPerSecond is the limit for membership traffic of an entry, sent and
// received: a third of the limit for all of its control traffic.
const maxBytesPerSecond = 6000

// maxConfigSpreadTime is the time within which a new configuration has to be in
// force everywhere.
const maxConfigSpreadTime = 5 * time.Second

// measureConfigSpread announces a new configuration version at the first entry and
// returns the time until it has reached all entries.
func (g *memberGroup) measureConfigSpread(version int64, state camember.AppState) time.Duration {
	state.ConfigVersion = version
	start := time.Now()
	g.memberships[0].SetLocal(state)
	for !g.allHaveVersion(version) && time.Since(start) < time.Minute {
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}

func (g *memberGroup) allHaveVersion(version int64) bool {
	for _, p := range g.memberships {
		if p.Members()[0].App.ConfigVersion != version {
			return false
		}
	}
	return true
}

// TestTrafficPerEntryIsNearlyIndependentOfFleetSize guards against membership traffic
// that grows with the number of entries, and against slow spread of configuration
// versions.
func TestTrafficPerEntryIsNearlyIndependentOfFleetSize(t *testing.T) {
	warmUp, measured := 25, 25
	if os.Getenv(seedsVariable) != "" {
		warmUp, measured = 60, 120
	}
	for _, n := range []int{9, 25, 60} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := startMemberGroup(t.Context(), n, lan)
				var cpuBefore time.Duration
				for second := range warmUp + measured {
					if second == warmUp {
						g.net.takeSentBytes()
						cpuBefore = cpuTime()
					}
					for i, p := range g.memberships {
						p.SetLocal(stateAt(i, second))
					}
					time.Sleep(time.Second)
				}
				bytesPerSecond := 2 * g.net.takeSentBytes() / n / measured
				cpuUsed := cpuTime() - cpuBefore
				t.Logf("%d entries: %d B/s sent and received by each, at most %.3f%% of a core each",
					n, bytesPerSecond, 100*cpuUsed.Seconds()/float64(measured*n))
				if bytesPerSecond > maxBytesPerSecond {
					t.Errorf("traffic of %d B/s is above %d B/s", bytesPerSecond, maxBytesPerSecond)
				}
				mean, oldest := usageAges(g, warmUp+measured-1)
				t.Logf("usage of another entry is %.1f s old on average, %d s at most", mean, oldest)
				for _, p := range g.memberships {
					if got := len(p.Members()); got != n {
						t.Errorf("%s lists %d members, want %d", p.Self().VM, got, n)
					}
				}
				spread := g.measureConfigSpread(1_000_000, stateAt(0, warmUp+measured))
				t.Logf("a configuration version reached all entries after %v", spread)
				if spread > maxConfigSpreadTime {
					t.Errorf("a configuration version took %v to reach all entries, want at most %v", spread, maxConfigSpreadTime)
				}
				g.stop()
				if v := g.checker.Violations(); len(v) > 0 {
					t.Errorf("violations: %v", v)
				}
			})
		})
	}
}
