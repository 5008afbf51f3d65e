package cagate

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/calayout"
	"celeryarch.example/celeryarch/internal/cell/caleader"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

// tenantCell is a cell of several shards whose teams change. Its callers know their keys alone.
type tenantCell struct {
	*testCell
	policies *policyLog
}

// twoShards divides a cell as an earlier build did, which knew no keys: north has the first shard, south the second.
func twoShards() calayout.Layout { return calayout.Even(2, []cawork.TeamName{"north", "south"}) }

// team returns a team with some keys.
func team(name cawork.TeamName, keys ...string) caspec.Team {
	return caspec.Team{Name: name, Weight: 1000, Keys: keys}
}

// otherName returns a new name that the hash gives to the second shard.
func otherName() cawork.TeamName {
	for i := 0; ; i++ {
		if name := cawork.TeamName(fmt.Sprintf("other-%d", i)); twoShards().ShardsOf(name)[0] == 1 {
			return name
		}
	}
}

// oneShard is a cell that is not divided.
func oneShard() calayout.Layout { return calayout.Even(1, nil) }

// runInTenantCell runs a scenario in a cell of three entries, which begins with the teams north and south.
func runInTenantCell(t *testing.T, layout calayout.Layout, scenario func(c *tenantCell), changes ...func(*testCell)) {
	synctest.Test(t, func(t *testing.T) {
		c := &tenantCell{}
		c.testCell = newTestCell(t, 3, testUpstreams+1, append([]func(*testCell){func(tc *testCell) {
			c.policies = tc.publishFrom(testPolicy().Queues...)
			c.policies.policy.Teams = []caspec.Team{team("north", "k-north"), team("south", "k-south")}
			entry, err := caleader.LayoutEntry(layout)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := tc.store.Log("jobs-0", "test").Append(t.Context(), 0, []caleader.LogEntry{entry}); err != nil {
				t.Fatal(err)
			}
		}}, changes...)...)
		time.Sleep(5 * time.Second)
		scenario(c)
		time.Sleep(c.settleTime)
		if diff := cmp.Diff([]string(nil), c.fleet.Violations()); diff != "" {
			t.Errorf("violations (-want +got):\n%s", diff)
		}
		c.close()
		time.Sleep(5 * time.Second)
	})
}

// publishTeams publishes a version with other teams.
func (c *tenantCell) publishTeams(teams ...caspec.Team) {
	c.policies.mu.Lock()
	c.policies.policy.Teams = teams
	c.policies.mu.Unlock()
	c.policies.publish(testPolicy().Queues...)
}

// callerAt returns who has a key by the policy of an entry.
func (c *tenantCell) callerAt(entry int, key string) (*Gate, caspec.Caller) {
	gate := c.gates()[entryName(entry)]
	name, _ := gate.Policy().TeamForKey(key)
	return gate, caspec.Caller{Team: name, Key: caspec.KeyIDOf(key)}
}

// submitWith submits a job with a key at an entry, again for as long as it is refused for now.
func (c *tenantCell) submitWith(entry int, key string, id cawork.JobID, steps ...caspec.Step) error {
	var err error
	for range 4 {
		gate, caller := c.callerAt(entry, key)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		err = gate.Submit(ctx, caspec.Submission{ID: id, Queue: "queue", Team: caller.Team, Key: caller.Key, Steps: steps})
		cancel()
		if kind := cakind.Of(err); kind != cakind.KindUnavailable && kind != cakind.KindNotStarted {
			return err
		}
		time.Sleep(cakind.RetryAfterOf(err))
	}
	return err
}

func (c *tenantCell) phaseWith(entry int, key string, id cawork.JobID) (castate.Phase, error) {
	gate, caller := c.callerAt(entry, key)
	return gate.Phase(context.Background(), caller, id)
}

func (c *tenantCell) cancelWith(entry int, key string, id cawork.JobID) error {
	gate, caller := c.callerAt(entry, key)
	return gate.Cancel(context.Background(), caller, id)
}

// tenantChange is a series of versions after a job of k-north was accepted.
type tenantChange struct {
	versions [][]caspec.Team
	// key is the key of the calls that follow.
	key string
}

// tenantChanges are the ways in which the team of a job changes under it.
func tenantChanges() map[string]tenantChange {
	other, south := otherName(), team("south", "k-south")
	return map[string]tenantChange{
		"renamed":            {key: "k-north", versions: [][]caspec.Team{{team(other, "k-north"), south}}},
		"renamed and back":   {key: "k-north", versions: [][]caspec.Team{{team(other, "k-north"), south}, {team("north", "k-north"), south}}},
		"names swapped":      {key: "k-north", versions: [][]caspec.Team{{team("south", "k-north"), team("north", "k-south")}}},
		"key moves":          {key: "k-north", versions: [][]caspec.Team{{team("south", "k-south", "k-north")}}},
		"merged, other key":  {key: "k-south", versions: [][]caspec.Team{{team(other, "k-south", "k-north")}}},
		"another key":        {key: "k-2", versions: [][]caspec.Team{{team("north", "k-2"), south}}},
		"split":              {key: "k-north", versions: [][]caspec.Team{{team("north", "k-north", "k-2"), south}, {team(other, "k-north"), team("north", "k-2"), south}}},
		"key and name apart": {key: "k-2", versions: [][]caspec.Team{{team("north", "k-north", "k-2"), south}, {team(other, "k-2"), south}}},
		"renamed twice":      {key: "k-north", versions: [][]caspec.Team{{team(other, "k-north"), south}, {team(other+"-b", "k-north"), south}}},
	}
}

// restarts are what happens to the entries between the versions and the calls that follow.
func restarts() map[string]func(c *tenantCell) {
	return map[string]func(c *tenantCell){
		"":                    func(*tenantCell) {},
		", all restarted":     func(c *tenantCell) { c.restartAllEntries(time.Second) },
		", restarted in turn": func(c *tenantCell) { c.restartEntriesInTurn() },
	}
}

// forEachTenantChange runs a scenario for each change of the team of a job, with and without restarts of the entries.
func forEachTenantChange(t *testing.T, scenario func(t *testing.T, c *tenantCell, change func() (key string))) {
	for name, change := range tenantChanges() {
		for after, restart := range restarts() {
			for _, layout := range []calayout.Layout{oneShard(), twoShards()} {
				t.Run(fmt.Sprintf("%s%s, shards: %d", name, after, layout.Shards), func(t *testing.T) {
					runInTenantCell(t, layout, func(c *tenantCell) {
						scenario(t, c, func() string {
							for _, teams := range change.versions {
								c.publishTeams(teams...)
								time.Sleep(time.Second)
							}
							restart(c)
							return change.key
						})
					})
				})
			}
		}
	}
}

// runTimeInTenantCell is longer than a series of versions and restarts takes.
const runTimeInTenantCell = 20 * time.Second

// submitTwoSteps submits a job of two steps with k-north, whose tasks run for runTimeInTenantCell.
func (c *tenantCell) submitTwoSteps(t *testing.T) cawork.JobID {
	c.fleet.SetRunTime(func(caorder.RunID) (time.Duration, bool) { return runTimeInTenantCell, true })
	id := jobID(c.nextJob())
	if err := c.submitWith(0, "k-north", id, twoSteps()...); err != nil {
		t.Fatalf("submit: %v", err)
	}
	time.Sleep(time.Second)
	return id
}

// TestRepeatedSubmissionStartsNothingTwice guards against a request that arrives again once a version has changed the name or
// the keys of its team, and starts its job in another shard as well, or is answered with a conflict.
func TestRepeatedSubmissionStartsNothingTwice(t *testing.T) {
	forEachTenantChange(t, func(t *testing.T, c *tenantCell, change func() string) {
		id := c.submitTwoSteps(t)
		key := change()
		for entry := range 3 {
			if err := c.submitWith(entry, key, id, twoSteps()...); err != nil {
				t.Errorf("submit again at entry %d: %v", entry, err)
			}
		}
		time.Sleep(3 * time.Second)
		if diff := cmp.Diff(testStep().Tasks, c.fleet.Running(id)); diff != "" {
			t.Errorf("tasks at work (-want +got):\n%s", diff)
		}
	})
}

// laggingFeed is the feed of an entry that reads a version later than others.
type laggingFeed struct {
	*policyLog
	lag time.Duration
}

// Watch implements OperatorFeed.
func (f laggingFeed) Watch(ctx context.Context, sink OperatorSink) error {
	return f.policyLog.Watch(ctx, laggingSink{sink, f.lag})
}

type laggingSink struct {
	OperatorSink
	lag time.Duration
}

func (s laggingSink) ApplyPolicy(p caspec.Policy) {
	time.Sleep(s.lag)
	s.OperatorSink.ApplyPolicy(p)
}

// TestSubmissionsWhileVersionSpreads guards against a request that is under way at entries of two versions at once, of
// which one knows its team under another name.
func TestSubmissionsWhileVersionSpreads(t *testing.T) {
	lagging := func(c *testCell) {
		policies := c.feed("").(*policyLog)
		c.feed = func(name string) OperatorFeed {
			for i := range 3 {
				if name == entryName(i) {
					return laggingFeed{policies, time.Duration(i) * 100 * time.Millisecond}
				}
			}
			return policies
		}
	}
	for _, layout := range []calayout.Layout{oneShard(), twoShards()} {
		t.Run(fmt.Sprint("shards: ", layout.Shards), func(t *testing.T) {
			runInTenantCell(t, layout, func(c *tenantCell) {
				c.fleet.SetRunTime(func(caorder.RunID) (time.Duration, bool) { return runTimeInTenantCell, true })
				c.publishTeams(team(otherName(), "k-north"), team("south", "k-south"))
				ids := []cawork.JobID{jobID(c.nextJob()), jobID(c.nextJob()), jobID(c.nextJob())}
				for round := range 6 {
					for i, id := range ids {
						entry := (round + i) % 3
						c.callers.Go(func() {
							if err := c.submitWith(entry, "k-north", id, testStep()); err != nil {
								t.Errorf("submit job %s at entry %d in round %d: %v", id, entry, round, err)
							}
						})
					}
					time.Sleep(50 * time.Millisecond)
				}
				c.callers.Wait()
				time.Sleep(3 * time.Second)
				for _, id := range ids {
					if diff := cmp.Diff(testStep().Tasks, c.fleet.Running(id)); diff != "" {
						t.Errorf("tasks of job %s at work (-want +got):\n%s", id, diff)
					}
				}
			}, lagging)
		})
	}
}

// merge makes one team of north and south.
func (c *tenantCell) merge() {
	c.publishTeams(team(otherName(), "k-south", "k-north"))
	time.Sleep(time.Second)
}

// TestJobsAreFoundInAllShards guards against calls that get 410 for a job that another shard has: it was submitted with a
// key of another team, and both keys belong to one team now. A team that never had that key does not get at the job.
func TestJobsAreFoundInAllShards(t *testing.T) {
	runInTenantCell(t, twoShards(), func(c *tenantCell) {
		id := c.submitTwoSteps(t)
		if err := c.cancelWith(0, "k-south", id); cakind.Of(err) != cakind.KindNotFound {
			t.Errorf("another team cancels the job: error %v, want one of KindNotFound", err)
		}
		c.merge()
		for entry := range 3 {
			if phase, err := c.phaseWith(entry, "k-south", id); err != nil || phase != castate.PhaseRunning {
				t.Errorf("phase at entry %d: %v, error %v", entry, phase, err)
			}
		}
		if err := c.cancelWith(1, "k-south", id); err != nil {
			t.Errorf("cancel: %v", err)
		}
		time.Sleep(2 * time.Second)
		if diff := cmp.Diff(0, c.fleet.Running(id)); diff != "" {
			t.Errorf("tasks of the canceled job at work (-want +got):\n%s", diff)
		}
	})
}

// TestJobOfShardWithoutLeaderIsNotUnknown guards against 410 for an accepted job while its shard has no leader.
func TestJobOfShardWithoutLeaderIsNotUnknown(t *testing.T) {
	runInTenantCell(t, twoShards(), func(c *tenantCell) {
		id := c.submitTwoSteps(t)
		c.merge()
		leader := c.leader()
		c.loadTime.Store(int64(300 * time.Millisecond))
		c.callers.Go(func() { c.kill(leader) })
		unanswered := 0
		for began := time.Now(); time.Since(began) < 5*time.Second; time.Sleep(10 * time.Millisecond) {
			for entry := range 3 {
				if entryName(entry) == leader {
					continue
				}
				gate, caller := c.callerAt(entry, "k-south")
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
				if _, err := gate.Phase(ctx, caller, id); err != nil {
					unanswered++
					if cakind.Of(err) != cakind.KindUnavailable {
						t.Errorf("%v after the loss of the leader: error %v, want one of KindUnavailable", time.Since(began), err)
					}
				}
				cancel()
			}
		}
		if unanswered == 0 {
			t.Error("the shard always had a leader")
		}
		if phase, err := c.phaseWith((c.entryNumber(leader)+1)%3, "k-south", id); err != nil || phase != castate.PhaseRunning {
			t.Errorf("phase at the end: %v, error %v", phase, err)
		}
	})
}

func (c *tenantCell) entryNumber(name string) int {
	var n int
	_, _ = fmt.Sscanf(name, "entry-%d", &n)
	return n
}

// TestLimitOutlivesNameOfTeam guards against a team that gets its upper limit once more with another name: what it has
// running under the former one counts on, also once all entries have restarted.
func TestLimitOutlivesNameOfTeam(t *testing.T) {
	for after, restart := range restarts() {
		for _, layout := range []calayout.Layout{oneShard(), twoShards()} {
			t.Run(fmt.Sprintf("shards: %d%s", layout.Shards, after), func(t *testing.T) {
				runInTenantCell(t, layout, func(c *tenantCell) {
					c.fleet.SetRunTime(func(caorder.RunID) (time.Duration, bool) { return time.Hour, true })
					limited := team("north", "k-north")
					limited.Limit.CPU = 2 * testStep().CPU
					c.publishTeams(limited, team("south", "k-south"))
					step := testStep()
					step.LongRunning = true
					former, later := jobID(c.nextJob()), jobID(c.nextJob())
					if err := c.submitWith(0, "k-north", former, step); err != nil {
						t.Fatalf("submit: %v", err)
					}
					time.Sleep(time.Second)
					limited.Name = otherName()
					c.publishTeams(limited, team("south", "k-south"))
					time.Sleep(time.Second)
					restart(c)
					if err := c.submitWith(1, "k-north", later, step); err != nil {
						t.Fatalf("submit under the other name: %v", err)
					}
					time.Sleep(2 * time.Second)
					if diff := cmp.Diff([]int{step.Tasks, 0}, []int{c.fleet.Running(former), c.fleet.Running(later)}); diff != "" {
						t.Errorf("tasks of the two jobs at work within a limit of %d (-want +got):\n%s", step.Tasks, diff)
					}
					if err := c.cancelWith(2, "k-north", former); err != nil {
						t.Errorf("cancel: %v", err)
					}
					time.Sleep(3 * time.Second)
					if diff := cmp.Diff([]int{0, step.Tasks}, []int{c.fleet.Running(former), c.fleet.Running(later)}); diff != "" {
						t.Errorf("tasks of the two jobs at work once the first is canceled (-want +got):\n%s", diff)
					}
				})
			})
		}
	}
}

// TestEarlierBuildCannotStartJobInOtherShard guards against an entry of the build before that sends a renamed team, which it
// knows by name alone, to another shard than the entries of this build. Its other teams are served.
func TestEarlierBuildCannotStartJobInOtherShard(t *testing.T) {
	runInTenantCell(t, twoShards(), func(c *tenantCell) {
		other := otherName()
		c.publishTeams(team(other, "k-north"), team("south", "k-south"))
		time.Sleep(time.Second)
		for name, want := range map[cawork.TeamName]cakind.Kind{other: cakind.KindNotStarted, "south": cakind.Of(nil)} {
			s := caspec.Submission{ID: jobID(c.nextJob()), Queue: "queue", Team: name, Steps: []caspec.Step{testStep()}}
			const shard = 1
			for _, gate := range c.gates() {
				if leader, _, _ := gate.links[shard].target(); leader == nil {
					continue
				}
				_, err := gate.handleSubmit(context.Background(), submitRequest{Submission: s, Wait: time.Second, Shard: shard})
				if diff := cmp.Diff(want, cakind.Of(err)); diff != "" {
					t.Errorf("team %s, kind of error %v (-want +got):\n%s", name, err, diff)
				}
			}
		}
	})
}
