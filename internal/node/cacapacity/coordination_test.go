package cacapacity_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	tally "github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cacheck"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
	"celeryarch.example/celeryarch/internal/coord/caowner"
	"celeryarch.example/celeryarch/internal/node/calaunch"
	"celeryarch.example/celeryarch/internal/node/caquota"
	"celeryarch.example/celeryarch/internal/node/catask"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

var (
	teamCounts    = []int{6, 22, 60}
	entryCounts   = []int{8, 24, 59}
	attemptCounts = []int{40, 400, 4000}
)

var coordinationMeasurements = []measurement{
	{"one second of the ownership core", "us", upstreamCounts, ownershipTime},
	{"one poll of an owner without changes, both ways", "bytes", []int{1, 2, 4}, pollOwnerBytes},
	{"changed attempts in a poll", "bytes", []int{1, 16, 128}, changedPollBytes},
	{"one poll answered by an owner of so many attempts", "us", attemptCounts, changesTime},
	{"one round of asks for allowance, teams that lack none", "us", teamCounts, fundedAsksTime},
	{"one round of asks of 22 short teams, partners", "us", entryCounts, shortAsksTime},
	{"one ask for allowance with its reply, teams idle at the partner", "bytes", []int{0, 6, 22}, askBytes},
}

func ownershipState(n int) *caowner.State {
	s := caowner.NewState(caowner.DefaultConfig(), "entry-01", "bergen-a", startTime, cacheck.New(zerolog.Nop(), tally.NoopScope))
	s.SetEntries([]caowner.Entry{{VM: "entry-01", Since: startTime}})
	var vms []caplatform.VM
	for i := range n {
		v := vm(i)
		v.Zone = "bergen-a"
		vms = append(vms, v)
	}
	s.SetUpstreams(startTime, vms)
	return s
}

// ownershipTime measures one second of ticks of the ownership core. All claims are
// granted immediately.
func ownershipTime(_ *testing.B, n int) float64 {
	s := ownershipState(n)
	now := startTime.Add(time.Minute)
	return cpuMicroseconds(200, func() {
		for range time.Second / (50 * time.Millisecond) {
			for _, c := range s.Tick(now) {
				s.HandleCallResult(now, caowner.CallResult{Call: c, Claim: caplatform.ClaimResult{
					Granted: true, Ownership: caplatform.Ownership{Epoch: 1},
				}})
			}
			now = now.Add(50 * time.Millisecond)
		}
		s.TakeEvents()
	})
}

func runningTask(i int) caplatform.TaskStatus {
	return caplatform.TaskStatus{
		Attempt: cawork.AttemptID(fmt.Sprintf("%s.%d.0.1", shard, i)), Shard: shard, Team: "nordtrikot",
		Task: cawork.TaskRef{Job: cawork.JobID(fmt.Sprintf("%s.%d", shard, i))},
		Kind: cawork.WorkKindBatch, State: cawork.TaskStateRunning, Elapsed: time.Minute,
		Size: cawork.Resources{CPU: cawork.Cores(1), Memory: cawork.GiB},
		Used: cawork.Resources{CPU: cawork.Cores(1) / 2, Memory: cawork.GiB / 2},
	}
}

func attemptTable(n int) *catask.Table {
	t := catask.NewTable(1)
	for i := range n {
		u := cawork.UpstreamID(fmt.Sprint("upstream-", i%40))
		if !t.Owns(u) {
			t.AddUpstream(u, nil)
		}
		t.Update(u, []caplatform.TaskStatus{runningTask(i)})
	}
	return t
}

func pollOwnerBytes(b *testing.B, shards int) float64 {
	cursor := catask.Cursor{Generation: 1_764_800_000_000_000_000, Sequence: 100_000}
	request := calaunch.PollRequest{From: "entry-01"}
	var reply calaunch.PollReply
	for range shards {
		request.Shards = append(request.Shards, calaunch.ShardCursor{Shard: shard, View: 1, Cursor: cursor})
		reply.Shards = append(reply.Shards, calaunch.ShardChanges{Shard: shard, Changes: catask.Changes{Cursor: cursor}})
	}
	return float64(len(must[[]byte](b)(cbor.Marshal(request))) + len(must[[]byte](b)(cbor.Marshal(reply))))
}

func changedPollBytes(b *testing.B, n int) float64 {
	return float64(len(must[[]byte](b)(cbor.Marshal(attemptTable(n).ChangesSince(shard, catask.Cursor{})))))
}

func changesTime(_ *testing.B, n int) float64 {
	t := attemptTable(n)
	cursor := t.ChangesSince(shard, catask.Cursor{}).Cursor
	return cpuMicroseconds(200, func() { t.ChangesSince(shard, cursor) })
}

func needs(teams int, amount cawork.Resources) []caescrow.Need {
	var out []caescrow.Need
	for i := range teams {
		out = append(out, caescrow.Need{Team: cawork.TeamName(fmt.Sprint("team-", i)), Amount: amount, Least: amount})
	}
	return out
}

func account(b *testing.B, teams int) *caescrow.Account {
	b.Helper()
	a := caescrow.NewAccount(shard)
	for i := range teams {
		amount := cawork.Resources{CPU: cawork.Cores(16), Memory: 32 * cawork.GiB, Accelerators: 4}
		share := caescrow.MintShare{Team: cawork.TeamName(fmt.Sprint("team-", i)), Version: 1, Amount: amount}
		if err := a.SetMint(share); err != nil {
			b.Fatal(err)
		}
	}
	return a
}

func partners(entries int) []caescrow.Partner {
	var out []caescrow.Partner
	for i := range entries {
		p := caescrow.Partner{Shard: cawork.ShardID(fmt.Sprintf("entry-%02d-1764800000000000000", i+2)), Zone: "bergen-b"}
		for t := range 22 {
			p.Idle = append(p.Idle, caescrow.TeamAmount{Team: cawork.TeamName(fmt.Sprint("team-", t)), Amount: cawork.Resources{CPU: cawork.Cores(int64(i))}})
		}
		out = append(out, p)
	}
	return out
}

func fundedAsksTime(b *testing.B, teams int) float64 {
	a, now := account(b, teams), startTime
	p := caescrow.NewPlanner(shard, "bergen-a", caescrow.DefaultPolicy())
	return cpuMicroseconds(500, func() {
		now = now.Add(time.Second)
		p.Asks(now, a, needs(teams, cawork.Resources{CPU: cawork.Cores(1)}), partners(1))
	})
}

func shortAsks(b *testing.B, entries int) func() []caescrow.Ask {
	b.Helper()
	a, now := account(b, 22), startTime
	p := caescrow.NewPlanner(shard, "bergen-a", caescrow.DefaultPolicy())
	lacking, lenders := needs(22, cawork.Resources{CPU: cawork.Cores(32)}), partners(entries)
	return func() []caescrow.Ask {
		now = now.Add(time.Minute)
		return p.Asks(now, a, lacking, lenders)
	}
}

func shortAsksTime(b *testing.B, entries int) float64 {
	ask := shortAsks(b, entries)
	return cpuMicroseconds(300, func() { ask() })
}

func askBytes(b *testing.B, teams int) float64 {
	ask := shortAsks(b, 1)()[0]
	reply := caquota.AskReply{Given: ask.Amount, Idle: partners(1)[0].Idle[:teams]}
	return float64(len(must[[]byte](b)(cbor.Marshal(ask))) + len(must[[]byte](b)(cbor.Marshal(reply))))
}
