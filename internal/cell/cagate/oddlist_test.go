package cagate

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// oddUpstream is a description that another system left in the list.
type oddUpstream struct {
	name  string
	alter func(*caspec.Upstream)
	// mayAnswer is set if an upstream may answer calls by the description.
	mayAnswer bool
}

func oddUpstreams() []oddUpstream {
	return []oddUpstream{
		{"ID that is no text", func(u *caspec.Upstream) { u.ID = "up-\xff\xfe" }, false},
		{"no ID", func(u *caspec.Upstream) { u.ID = "" }, false},
		{"too large", func(u *caspec.Upstream) { u.Capacity.CPU = math.MaxInt64 - 100_000 }, true},
		{"negative", func(u *caspec.Upstream) { u.Capacity = cawork.Resources{}.Minus(u.Capacity) }, true},
		{"start far ahead", func(u *caspec.Upstream) { u.Incarnation = math.MaxInt64 }, true},
	}
}

// replaceUpstream returns a list in which the descriptions of an upstream are altered.
func replaceUpstream(list []caspec.Upstream, id cawork.UpstreamID, alter func(*caspec.Upstream)) []caspec.Upstream {
	list = slices.Clone(list)
	for i := range list {
		if list[i].ID == id {
			alter(&list[i])
		}
	}
	return list
}

// TestOddEntryInListOfRunningCell leaves odd entries in the list that a leader and its agents
// follow: a new one for an upstream that does not exist, then one in the place of a sound one that
// has runs. It guards against entries that end, an agent that gets no orders any more since one of
// a batch cannot be sent, runs that are started twice, and a list that is not followed any more.
func TestOddEntryInListOfRunningCell(t *testing.T) {
	const late, overwritten = cawork.UpstreamID("up-5"), cawork.UpstreamID("up-0")
	for _, odd := range oddUpstreams() {
		t.Run(odd.name, func(t *testing.T) {
			runInTestCell(t, 3, func(t *testing.T, c *testCell) {
				withoutLate := func(list []caspec.Upstream) []caspec.Upstream {
					return slices.DeleteFunc(slices.Clone(list), func(u caspec.Upstream) bool { return u.ID == late })
				}
				withNew := func(list []caspec.Upstream) []caspec.Upstream {
					added := list[0]
					added.ID, added.Address = "odd", "127.0.0.1:99999"
					odd.alter(&added)
					return append(slices.Clone(list), added)
				}
				c.alterList(withoutLate)
				began := time.Now()
				c.loadWidely(2 * time.Second)
				shareBefore := c.agentShare(began)
				began = time.Now()
				c.alterList(func(list []caspec.Upstream) []caspec.Upstream { return withNew(withoutLate(list)) })
				c.loadWidely(3 * time.Second)
				if share := c.agentShare(began); share < shareBefore/2 {
					t.Errorf("%.2f of the starts went through agents beside the odd entry, %.2f before", share, shareBefore)
				}
				if odd.mayAnswer {
					c.alterList(func(list []caspec.Upstream) []caspec.Upstream {
						return replaceUpstream(withNew(withoutLate(list)), overwritten, odd.alter)
					})
					c.loadWidely(3 * time.Second)
				}
				before := c.startsAt(late)
				c.alterList(withNew)
				c.loadWidely(4 * time.Second)
				if c.startsAt(late) == before {
					t.Errorf("no start at %s, which was listed after the odd entry", late)
				}
				usedBefore := c.startsAt(overwritten)
				c.loadWidely(3 * time.Second)
				if c.startsAt(overwritten) == usedBefore {
					t.Errorf("no start at %s once its entry was sound again", overwritten)
				}
				c.callers.Wait()
				if diff := cmp.Diff(0, c.refused.Len()+c.unknown.Len()); diff != "" {
					t.Errorf("jobs that were not accepted (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// loadWidely submits jobs for the duration whose tasks run at different upstreams.
func (c *testCell) loadWidely(during time.Duration) {
	step := testStep()
	step.Tasks, step.MaxPerUpstream = testUpstreams, 1
	for begin := time.Now(); time.Since(begin) < during; time.Sleep(250 * time.Millisecond) {
		c.submitJob(c.nextJob(), step)
	}
}

// agentShare returns the share of the start orders since a time that did not come from the leader
// itself.
func (c *testCell) agentShare(since time.Time) float64 {
	leader := c.leader()
	viaAgents, all := 0, 0
	for _, o := range c.fleet.Orders() {
		if o.At.Before(since) {
			continue
		}
		all++
		if o.Caller != leader {
			viaAgents++
		}
	}
	return float64(viaAgents) / float64(max(all, 1))
}

// startsAt returns how many start orders have arrived at an upstream.
func (c *testCell) startsAt(id cawork.UpstreamID) int {
	n := 0
	for _, o := range c.fleet.Orders() {
		if o.Upstream == id {
			n++
		}
	}
	return n
}
