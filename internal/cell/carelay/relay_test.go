package carelay

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caboard"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/node/capeer"
	"celeryarch.example/celeryarch/platform/standin"
)

// caller answers orders after a time, and counts who gave them.
type caller struct {
	name  string
	takes time.Duration

	mu    sync.Mutex
	calls map[string]int
}

func (c *caller) note(ctx context.Context) bool {
	c.mu.Lock()
	c.calls[c.name]++
	c.mu.Unlock()
	select {
	case <-time.After(c.takes):
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *caller) Start(ctx context.Context, token int64, _ caboard.StartOrder) (caboard.StartOutcome, int64) {
	if !c.note(ctx) {
		return caboard.StartUnknown, 0
	}
	return caboard.StartAccepted, token
}

func (c *caller) Stop(ctx context.Context, token int64, o caboard.StopOrder) error {
	if c.note(ctx); o.Upstream == "up-fenced" {
		return cakind.New(cakind.KindFenced, "token %d", token)
	}
	return nil
}

func (c *caller) Renew(ctx context.Context, _ int64, lease caboard.Lease, wait time.Duration) (caboard.Report, error) {
	if !c.note(ctx) {
		return caboard.Report{}, ctx.Err()
	}
	if lease.Upstream == "up-gone" {
		return caboard.Report{}, cakind.New(cakind.KindNotFound, "gone")
	}
	return caboard.Report{
		Upstream: lease.Upstream, Born: 5, ClockMS: wait.Milliseconds(),
		Ended: []caboard.EndedRow{{Number: 3, Run: caboard.RunID{Job: "job", Number: 2}, Ending: caboard.EndingFailed}},
	}, nil
}

type fixedList []caspec.Upstream

func (l fixedList) List(context.Context) ([]caspec.Upstream, error) { return l, nil }

// cell is a relay with two agents, in virtual time.
type cell struct {
	relay   *Relay
	network *standin.Network
	direct  *caller
	through map[string]*caller
	stops   map[string]context.CancelFunc
}

func inCell(t *testing.T, play func(ctx context.Context, c *cell)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &cell{
			network: standin.NewNetwork(), direct: &caller{name: "leader", calls: make(map[string]int)},
			through: make(map[string]*caller), stops: make(map[string]context.CancelFunc),
		}
		var parts sync.WaitGroup
		timer := catimer.NewService()
		var candidates []Candidate
		for _, name := range []string{"agent-1", "agent-2"} {
			c.through[name] = &caller{name: name, takes: 3 * time.Millisecond, calls: make(map[string]int)}
			agentCtx, stop := context.WithCancel(ctx)
			c.stops[name] = stop
			agent, server := NewAgent(c.through[name], timer, zerolog.Nop()), capeer.NewServer()
			agent.Register(server)
			lis := c.network.Listen(name)
			parts.Go(func() { _ = agent.Run(agentCtx) })
			parts.Go(func() { _ = server.Serve(agentCtx, lis, nil) })
			candidates = append(candidates, Candidate{VM: cawork.VMID(name), Address: name})
		}
		peers := capeer.NewClient(c.network.Dialer("leader"), nil)
		var list fixedList
		for i := range 2 * upstreamsPerAgent {
			list = append(list, caspec.Upstream{ID: upstreamName(i)})
		}
		list = append(list, caspec.Upstream{ID: "up-gone"}, caspec.Upstream{ID: "up-fenced"})
		c.relay = New(Deps{
			Leader: "leader", Token: 7, From: 10, Log: zerolog.New(io.Discard), Timer: timer, Peers: peers,
			Upstreams: c.direct, Registry: list, Candidates: func() []Candidate { return candidates },
		})
		if _, err := c.relay.List(ctx); err != nil {
			t.Fatal(err)
		}
		parts.Go(func() { c.relay.Run(ctx) })
		time.Sleep(time.Second)
		play(ctx, c)
		cancel()
		_ = peers.Close()
		parts.Wait()
	})
}

func upstreamName(i int) cawork.UpstreamID { return cawork.UpstreamID(fmt.Sprintf("up-%02d", i)) }

func (c *cell) start(ctx context.Context, i int) caboard.StartOutcome {
	ctx, cancel := context.WithTimeout(ctx, 600*time.Millisecond)
	defer cancel()
	outcome, _ := c.relay.Start(ctx, 7, caboard.StartOrder{Upstream: upstreamName(i)})
	return outcome
}

func TestOrdersGoThroughAgents(t *testing.T) {
	inCell(t, func(ctx context.Context, c *cell) {
		for i := range 40 {
			if diff := cmp.Diff(caboard.StartAccepted, c.start(ctx, i)); diff != "" {
				t.Errorf("outcome of start %d (-want +got):\n%s", i, diff)
			}
		}
		for name, through := range c.through {
			if through.calls[name] == 0 {
				t.Errorf("no order went through %s", name)
			}
		}
		if diff := cmp.Diff(map[string]int{}, c.direct.calls); diff != "" {
			t.Errorf("calls of the leader (-want +got):\n%s", diff)
		}
	})
}

func TestReportsAndErrorsComeBackWhole(t *testing.T) {
	inCell(t, func(ctx context.Context, c *cell) {
		ctx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		began := time.Now()
		got, err := c.relay.Renew(ctx, 7, caboard.Lease{Upstream: "up-01"}, 250*time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		want := caboard.Report{
			Upstream: "up-01", Born: 5, ClockMS: 250, SentAt: began, ReceivedAt: time.Now(),
			Ended: []caboard.EndedRow{{Number: 3, Run: caboard.RunID{Job: "job", Number: 2}, Ending: caboard.EndingFailed}},
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("report (-want +got):\n%s", diff)
		}
		_, err = c.relay.Renew(ctx, 7, caboard.Lease{Upstream: "up-gone"}, 0)
		if diff := cmp.Diff(cakind.KindNotFound, cakind.Of(err)); diff != "" {
			t.Errorf("kind of the error of an upstream that is gone (-want +got):\n%s", diff)
		}
		err = c.relay.Stop(ctx, 7, caboard.StopOrder{Upstream: "up-fenced"})
		if diff := cmp.Diff(cakind.KindFenced, cakind.Of(err)); diff != "" {
			t.Errorf("kind of the error of a deposed leader (-want +got):\n%s", diff)
		}
	})
}

// TestOrdersOfALostAgentAreNotTakenForDone ends an agent while it carries an
// order out. The outcome is not known, and later orders go another way.
func TestOrdersOfALostAgentAreNotTakenForDone(t *testing.T) {
	inCell(t, func(ctx context.Context, c *cell) {
		for _, through := range c.through {
			through.takes = 300 * time.Millisecond
		}
		outcomes := make(chan caboard.StartOutcome, 20)
		for i := range cap(outcomes) {
			go func() { outcomes <- c.start(ctx, i) }()
		}
		time.Sleep(50 * time.Millisecond)
		for _, name := range []string{"agent-1", "agent-2"} {
			c.network.Drop(name)
			c.stops[name]()
		}
		for range cap(outcomes) {
			if diff := cmp.Diff(caboard.StartUnknown, <-outcomes); diff != "" {
				t.Errorf("outcome of a start at a lost agent (-want +got):\n%s", diff)
			}
		}
		time.Sleep(time.Second)
		if diff := cmp.Diff(caboard.StartAccepted, c.start(ctx, 1)); diff != "" {
			t.Errorf("outcome of a later start (-want +got):\n%s", diff)
		}
	})
}

// TestSilentAgentIsPassedOver cuts an agent off without a word.
func TestSilentAgentIsPassedOver(t *testing.T) {
	inCell(t, func(ctx context.Context, c *cell) {
		c.network.Cut("leader", "agent-1", true)
		for i := range 30 {
			c.start(ctx, i)
		}
		time.Sleep(300 * time.Millisecond)
		for i := range 30 {
			if diff := cmp.Diff(caboard.StartAccepted, c.start(ctx, i)); diff != "" {
				t.Errorf("outcome of start %d while an agent is silent (-want +got):\n%s", i, diff)
			}
		}
	})
}

// TestGatheringIsBounded renews the leases of many upstreams at different moments:
// none waits for company longer than it may, and a start does not wait for renewals.
func TestGatheringIsBounded(t *testing.T) {
	inCell(t, func(ctx context.Context, c *cell) {
		renewed := make(chan time.Duration, 60)
		for i := range cap(renewed) {
			go func() {
				time.Sleep(time.Duration(i) * time.Millisecond / 4)
				began := time.Now()
				callCtx, cancel := context.WithTimeout(ctx, time.Second)
				defer cancel()
				if _, err := c.relay.Renew(callCtx, 7, caboard.Lease{Upstream: upstreamName(i)}, 100*time.Millisecond); err != nil {
					t.Errorf("renewal %d: %v", i, err)
				}
				renewed <- time.Since(began)
			}()
		}
		for range cap(renewed) {
			if took := <-renewed; took > renewGather+collectGather+60*time.Millisecond {
				t.Errorf("a renewal took %v", took)
			}
		}
		began := time.Now()
		c.start(ctx, 1)
		if took := time.Since(began); took > deliverGather+collectGather+20*time.Millisecond {
			t.Errorf("a start took %v, it should not wait for company", took)
		}
	})
}
