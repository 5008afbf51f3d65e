package caboard

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caorder"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
	"celeryarch.example/celeryarch/internal/cell/caterms"
)

// shardLog is a simulation with the log of its shard, so that one leader can follow another.
type shardLog struct {
	*simulation
	jobs, terms map[string][]byte
	upstreams   []caspec.Upstream
}

func newShardLog(t *testing.T, queues ...caspec.Queue) *shardLog {
	s := &shardLog{simulation: newSimulation(t, 2, queues...), jobs: make(map[string][]byte), terms: make(map[string][]byte)}
	for _, u := range s.planner.sortedUpstreams {
		s.upstreams = append(s.upstreams, u.info)
	}
	return s
}

// publish applies a version of the policy with the queues and teams.
func (s *shardLog) publish(version int64, queues []caspec.Queue, teams ...caspec.Team) {
	s.planner.SetPolicy(policyOf(version, queues, teams...))
}

func policyOf(version int64, queues []caspec.Queue, teams ...caspec.Team) caspec.Policy {
	return caspec.Policy{Version: version, Queues: queues, Pools: []caspec.Pool{{Name: "pool"}}, Teams: teams}.WithIndex()
}

// store stores all changes, and starts what is assigned.
func (s *shardLog) store() []caorder.StartOrder {
	s.t.Helper()
	batch, err := s.planner.NextBatch()
	if err != nil {
		s.t.Fatal(err)
	}
	for _, r := range batch.Terms {
		setRecord(s.terms, r.Key, r.Value)
	}
	for _, r := range batch.Records {
		setRecord(s.jobs, string(r.Job), r.Value)
	}
	orders := s.planner.MarkStored(batch)
	for _, o := range orders {
		s.planner.ApplyStartOutcome(o, caorder.StartAccepted, s.now.UnixMilli())
	}
	return orders
}

func setRecord(records map[string][]byte, key string, value []byte) {
	if len(value) == 0 {
		delete(records, key)
		return
	}
	records[key] = value
}

// planAndStore plans and stores the assignments.
func (s *shardLog) planAndStore() []caorder.StartOrder {
	s.planner.Plan()
	return s.store()
}

// lead replaces the leader by one that has only read the log and the policy.
func (s *shardLog) lead(p caspec.Policy) {
	s.t.Helper()
	running := make(map[cawork.UpstreamID][]caorder.RunningRun)
	for id, u := range s.planner.upstreams {
		for run := range u.runs {
			running[id] = append(running[id], caorder.RunningRun{Run: run})
		}
	}
	s.planner = New(zerolog.Nop(), 1, s.moment(), s.now)
	s.planner.SetRequestLimits(RequestLimits{Total: 100, Long: 100})
	s.planner.SetPolicy(p)
	s.planner.SetUpstreams(s.upstreams)
	var terms []caterms.Record
	for key, value := range s.terms {
		terms = append(terms, caterms.Record{Key: key, Value: value})
	}
	if unreadable := s.planner.RestoreTerms(terms); unreadable > 0 {
		s.t.Fatalf("%d definitions cannot be read", unreadable)
	}
	for _, value := range s.jobs {
		j, err := castate.DecodeJob(value)
		if err != nil {
			s.t.Fatal(err)
		}
		s.planner.Restore(j)
	}
	for _, u := range s.upstreams {
		s.report(u.ID, running[u.ID], nil)
	}
}

// endAll ends all runs.
func (s *shardLog) endAll(how caorder.Ending) {
	for id, u := range s.planner.upstreams {
		var ended []caorder.EndedRun
		for run := range u.runs {
			ended = append(ended, caorder.EndedRun{Run: run, Ending: how})
		}
		s.report(id, nil, ended)
	}
}

// TestLimitOutlivesTeam guards against a team that runs beyond its upper limit once a version no longer lists it: a
// limit of zero means that there is none.
func TestLimitOutlivesTeam(t *testing.T) {
	limited := caspec.Team{Name: "north", Weight: 1000, Limit: cawork.Resources{CPU: cawork.Cores(4)}, Keys: []string{"secret"}}
	s := newShardLog(t, plainQueue())
	s.publish(2, []caspec.Queue{plainQueue()}, limited)
	s.submit("job", "queue", caspec.Step{Tasks: 8, CPU: 1000, Memory: cawork.GiB, Estimate: time.Second})
	s.store()
	withoutTeam := policyOf(3, []caspec.Queue{plainQueue()})
	s.planner.SetPolicy(withoutTeam)
	if diff := cmp.Diff(4, len(s.planAndStore())); diff != "" {
		t.Errorf("runs of a team with a limit of 4 that is no longer listed (-want +got):\n%s", diff)
	}
	s.lead(withoutTeam)
	if diff := cmp.Diff(0, len(s.planAndStore())); diff != "" {
		t.Errorf("more runs under a new leader (-want +got):\n%s", diff)
	}
	for key, value := range s.terms {
		if bytes.Contains(value, []byte("secret")) {
			t.Errorf("the record %s contains a key of its team", key)
		}
	}
}

// TestAttemptsOutliveQueue guards against tasks that fail without end since no version in force says how many attempts
// they have.
func TestAttemptsOutliveQueue(t *testing.T) {
	for name, newLeader := range map[string]bool{"same leader": false, "new leader": true} {
		t.Run(name, func(t *testing.T) {
			s := newShardLog(t, plainQueue())
			s.submit("job", "queue", smallStep(1))
			s.store()
			without := policyOf(2, nil)
			s.planner.SetPolicy(without)
			starts := 0
			for range 2 * plainQueue().MaxAttempts {
				starts += len(s.planAndStore())
				s.endAll(caorder.EndingFailed)
				s.store()
				if newLeader {
					s.lead(without)
				}
				s.advance(time.Second)
			}
			phase, _ := s.planner.Phase("job")
			if diff := cmp.Diff([]any{castate.PhaseFailed, plainQueue().MaxAttempts}, []any{phase, starts}); diff != "" {
				t.Errorf("phase and starts of a job whose runs fail (-want +got):\n%s", diff)
			}
		})
	}
}

// TestFewerAttemptsEndJob guards against a start beyond the attempts of the version in force, where a queue returns with
// fewer of them than its open jobs have used.
func TestFewerAttemptsEndJob(t *testing.T) {
	s := newShardLog(t, plainQueue())
	s.submit("job", "queue", smallStep(1))
	for range 2 {
		s.planAndStore()
		s.endAll(caorder.EndingFailed)
		s.store()
	}
	s.publish(2, nil)
	stricter := plainQueue()
	stricter.MaxAttempts = 2
	s.publish(3, []caspec.Queue{stricter})
	if starts := len(s.planAndStore()); starts > 0 || s.planner.BrokenInvariants() > 0 {
		t.Errorf("%d starts of a task with 2 failed runs, %d broken invariants, want none after a version that permits 2", starts, s.planner.BrokenInvariants())
	}
	if phase, _ := s.planner.Phase("job"); phase != castate.PhaseFailed {
		t.Errorf("phase %v, want failed", phase)
	}
}

// TestAdvisorIsAskedAfterQueueIsRemoved guards against steps that wait without end for tickets that nobody requests or
// takes any more.
func TestAdvisorIsAskedAfterQueueIsRemoved(t *testing.T) {
	s := newShardLog(t, approvedQueue())
	s.submit("job", "queue", smallStep(1))
	s.store()
	without := policyOf(2, nil)
	s.planner.SetPolicy(without)
	for _, name := range []string{"same leader", "new leader"} {
		if name == "new leader" {
			s.lead(without)
		}
		requests := s.planner.Plan().ApprovalRequests
		if len(requests) != 1 {
			t.Fatalf("%s: %d approval requests, want 1", name, len(requests))
		}
		s.planner.ApplyAdvice(requests[0], []caorder.Approval{{Upstream: requests[0].Upstreams[0], Ticket: "ticket"}}, true)
		s.planner.Plan()
		batch, err := s.planner.NextBatch()
		if err != nil || len(batch.starts) != 1 {
			t.Fatalf("%s: %d assignments after the approval, want 1, error %v", name, len(batch.starts), err)
		}
	}
}

// TestTermsOfRestoredJob guards against restored jobs that are placed in the wrong order, since their queue has no pool, no
// objective and no priority any more.
func TestTermsOfRestoredJob(t *testing.T) {
	q := plainQueue()
	q.Priority = 3
	s := newShardLog(t, q)
	s.submit("job", "queue", smallStep(1))
	s.store()
	want := termsOf(s.planner.jobs["job"])
	s.lead(policyOf(2, nil))
	if diff := cmp.Diff(want, termsOf(s.planner.jobs["job"])); diff != "" {
		t.Errorf("terms of a restored job whose queue was removed (-want +got):\n%s", diff)
	}
	moved := q
	moved.Pool, moved.Priority, moved.Stretch = "other", 1, 4
	s.publish(3, []caspec.Queue{moved})
	s.advance(3 * time.Second)
	after := termsOf(s.planner.jobs["job"])
	s.store()
	s.lead(policyOf(4, nil))
	if diff := cmp.Diff(after, termsOf(s.planner.jobs["job"])); diff != "" || after.Pool != "other" || after.Priority != 1 {
		t.Errorf("terms of a job whose queue returned with others and was removed again: %+v (-want +got):\n%s", after, diff)
	}
}

// jobTerms are the terms that a job is placed by.
type jobTerms struct {
	Pool             caspec.PoolName
	Priority         int
	Objective, Slack time.Duration
}

func termsOf(j *job) jobTerms {
	return jobTerms{Pool: j.pool, Priority: j.priority, Objective: j.objective, Slack: j.steps[0].slack}
}

// TestTermsEnd guards against definitions of removed queues and teams that are kept for ever, and against ones that end
// before the end of their last job is stored.
func TestTermsEnd(t *testing.T) {
	s := newShardLog(t, plainQueue())
	s.store()
	if diff := cmp.Diff(0, len(s.terms)); diff != "" {
		t.Errorf("stored definitions without a job (-want +got):\n%s", diff)
	}
	s.submit("job", "queue", smallStep(1))
	s.planAndStore()
	s.publish(2, nil)
	s.endAll(caorder.EndingDone)
	s.planner.RunMaintenance()
	ending, err := s.planner.NextBatch()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(0, len(ending.Terms)); diff != "" {
		t.Errorf("changed definitions before the end of the job is stored (-want +got):\n%s", diff)
	}
	s.planner.MarkStored(ending)
	if diff := cmp.Diff(2, len(s.terms)); diff != "" {
		t.Errorf("definitions until then (-want +got):\n%s", diff)
	}
	s.advance(termsCheckInterval)
	s.planner.RunMaintenance()
	s.store()
	if diff := cmp.Diff(map[string][]byte{}, s.terms); diff != "" {
		t.Errorf("definitions after the last job (-want +got):\n%s", diff)
	}
}

// TestTermsSurviveOtherBuild covers a roll-back and another upgrade. The earlier build stores no definitions and leaves
// those that are stored as they are, also where it has led under later versions.
func TestTermsSurviveOtherBuild(t *testing.T) {
	changed := plainQueue()
	changed.MaxAttempts = 7
	for _, test := range []struct {
		name string
		// stored are the versions of the definition that is stored, or none, and inForce those that the
		// leader of this build reads, one after the other.
		stored  *caspec.Queue
		inForce [][]caspec.Queue
		want    int
	}{
		{"forward: the queue is listed yet", nil, [][]caspec.Queue{{changed}, nil}, 7},
		{"back and forward: it is gone", queuePointer(plainQueue()), [][]caspec.Queue{nil}, 3},
		{"back and forward: it has changed", queuePointer(plainQueue()), [][]caspec.Queue{{changed}, nil}, 7},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newShardLog(t, plainQueue())
			s.submit("job", "queue", smallStep(1))
			s.store()
			if test.stored == nil {
				clear(s.terms)
			}
			for i, queues := range test.inForce {
				s.lead(policyOf(int64(5+i), queues))
				s.store()
			}
			got := 0
			if q := s.planner.jobs["job"].queue; q != nil {
				got = q.MaxAttempts
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("attempts of the queue (-want +got):\n%s", diff)
			}
		})
	}
}

func queuePointer(q caspec.Queue) *caspec.Queue { return &q }

// TestNewerDefinitionGoesBeforePolicy guards against a leader that takes the terms of jobs back, since it has not read the
// newest version yet.
func TestNewerDefinitionGoesBeforePolicy(t *testing.T) {
	changed := plainQueue()
	changed.MaxAttempts = 7
	s := newShardLog(t, plainQueue())
	s.submit("job", "queue", smallStep(1))
	s.publish(4, []caspec.Queue{changed})
	s.store()
	s.lead(policyOf(3, []caspec.Queue{plainQueue()}))
	if diff := cmp.Diff(7, s.planner.jobs["job"].queue.MaxAttempts); diff != "" {
		t.Errorf("attempts while an older version is in force (-want +got):\n%s", diff)
	}
}

// TestRepeatedSubmissionThroughSuccessor guards against a caller whose first call got no answer and whose repeated one is
// refused, though the job runs, because another queue has taken the place of its queue.
func TestRepeatedSubmissionThroughSuccessor(t *testing.T) {
	next := plainQueue()
	next.Name = "next"
	s := newShardLog(t, plainQueue(), next)
	s.submit("job", "queue", smallStep(1))
	s.store()
	repeated := caspec.Submission{ID: "job", Queue: "next", Team: "north", Steps: []caspec.Step{smallStep(1)}}
	foreign := repeated
	foreign.Team = "south"
	_, err := s.planner.Submit(repeated)
	if diff := cmp.Diff(cakind.KindConflict, cakind.Of(err)); diff != "" {
		t.Errorf("submission with the id of a job of another listed queue (-want +got):\n%s", diff)
	}
	later := repeated
	later.Queue = "of a later version"
	if stored, err := s.planner.Submit(later); !stored || err != nil {
		t.Errorf("repeated submission through a queue that this leader does not know yet: stored %v, error %v, want that the job is stored", stored, err)
	}
	s.publish(2, []caspec.Queue{next}, caspec.Team{Name: "north", Weight: 1000}, caspec.Team{Name: "south", Weight: 1000})
	if stored, err := s.planner.Submit(repeated); !stored || err != nil {
		t.Errorf("repeated submission: stored %v, error %v, want that the job is stored", stored, err)
	}
	_, err = s.planner.Submit(foreign)
	if diff := cmp.Diff(cakind.KindConflict, cakind.Of(err)); diff != "" {
		t.Errorf("submission of another team (-want +got):\n%s", diff)
	}
}

// TestRemovedQueuesAreLogged guards against operators who do not learn that accepted jobs go on under a queue that they
// removed, and why these wait.
func TestRemovedQueuesAreLogged(t *testing.T) {
	s := newShardLog(t, plainQueue())
	var log bytes.Buffer
	s.planner.log = zerolog.New(&log)
	full := caspec.Step{Tasks: 3, CPU: 16000, Memory: cawork.GiB, Estimate: time.Second}
	s.submit("job", "queue", full)
	s.planAndStore()
	s.publish(2, nil)
	s.advance(3 * time.Second)
	s.planner.RunMaintenance()
	s.planner.Cancel("job")
	s.store()
	s.advance(termsCheckInterval)
	s.planner.RunMaintenance()
	s.planner.LogRemoved()
	for _, want := range []string{
		`"name":"queue_removed","queue":"queue","jobs":1,"policy":2,"listed_by":1`,
		`"name":"step_waits","job":"job","step":0,"queue":"queue","listed":false`,
		`"name":"queue_ended","queue":"queue","policy":2`,
	} {
		if diff := cmp.Diff(1, strings.Count(log.String(), want)); diff != "" {
			t.Errorf("lines with %s (-want +got):\n%s", want, diff)
		}
	}
}

// TestDefinitionOfLaterPolicyIsStored guards against a definition that the next leader lacks, since the job was loaded
// before any version of the policy, or before one that lists its team.
func TestDefinitionOfLaterPolicyIsStored(t *testing.T) {
	limited := caspec.Team{Name: "north", Weight: 1, Limit: cawork.Resources{CPU: cawork.Cores(4)}}
	s := newShardLog(t, plainQueue())
	s.submit("job", "queue", smallStep(1))
	s.store()
	clear(s.terms)
	s.lead(caspec.Policy{})
	s.publish(5, []caspec.Queue{plainQueue()})
	s.store()
	s.publish(6, []caspec.Queue{plainQueue()}, limited)
	s.store()
	s.lead(policyOf(7, nil))
	limit := s.planner.teamOf("north").Limit()
	if diff := cmp.Diff([]any{true, limited.Limit}, []any{s.planner.jobs["job"].queue != nil, limit}); diff != "" {
		t.Errorf("known queue and limit of the next leader (-want +got):\n%s", diff)
	}
}

// TestRunsOutliveFewerAttempts guards against a job that is failed while a run that was started under more attempts is at
// work: only a start would exceed those of the version in force.
func TestRunsOutliveFewerAttempts(t *testing.T) {
	stricter := plainQueue()
	stricter.MaxAttempts = 2
	for _, test := range []struct {
		ending caorder.Ending
		want   castate.Phase
	}{{caorder.EndingDone, castate.PhaseCompleted}, {caorder.EndingFailed, castate.PhaseFailed}, {caorder.EndingLapsed, castate.PhaseFailed}} {
		s := newShardLog(t, plainQueue())
		s.submit("job", "queue", smallStep(1))
		for range 2 {
			s.planAndStore()
			s.endAll(caorder.EndingFailed)
			s.store()
		}
		s.planAndStore()
		s.publish(2, []caspec.Queue{stricter})
		s.lead(policyOf(2, []caspec.Queue{stricter}))
		s.endAll(test.ending)
		starts := len(s.planAndStore())
		phase, _ := s.planner.Phase("job")
		if diff := cmp.Diff([]any{test.want, 0}, []any{phase, starts}); diff != "" {
			t.Errorf("run ended %v: phase and further starts (-want +got):\n%s", test.ending, diff)
		}
	}
}

// TestStepsFollowQueueToOtherPool guards against steps that ask the advisor about the upstreams of the pool that their queue
// has left, and never about those of the one that it uses.
func TestStepsFollowQueueToOtherPool(t *testing.T) {
	for name, gang := range map[string]bool{"tasks": false, "gang": true} {
		s := newShardLog(t, approvedQueue())
		s.upstreams[1].Pool = "other"
		s.planner.SetUpstreams(s.upstreams)
		step := caspec.Step{Tasks: 2, CPU: 8000, Memory: cawork.GiB, Estimate: time.Second, Gang: gang}
		s.submit("blocker", "queue", caspec.Step{Tasks: 1, CPU: 16000, Memory: cawork.GiB, Estimate: time.Second})
		s.approveAll()
		s.submit("job", "queue", step)
		s.approveAll()
		moved := approvedQueue()
		moved.Pool = "other"
		s.publish(2, nil)
		s.publish(3, []caspec.Queue{moved})
		s.advance(3 * time.Second)
		s.endAll(caorder.EndingDone)
		starts := 0
		for range 10 {
			s.advance(200 * time.Millisecond)
			for id := range s.planner.upstreams {
				s.report(id, runningRows(s.planner.upstreams[id], caorder.RunID{}), nil)
			}
			starts += len(s.approveAll())
		}
		if diff := cmp.Diff([]int{2, 0}, []int{starts, len(s.planner.upstreams["up-00"].runs)}); diff != "" {
			t.Errorf("%s: starts, and those of them in the former pool (-want +got):\n%s", name, diff)
		}
	}
}

// approveAll plans, has the advisor approve all upstreams that it is asked about, and plans and stores again.
func (s *shardLog) approveAll() []caorder.StartOrder {
	for _, request := range s.planner.Plan().ApprovalRequests {
		var approved []caorder.Approval
		for _, id := range request.Upstreams {
			approved = append(approved, caorder.Approval{Upstream: id, Ticket: "ticket"})
		}
		s.planner.ApplyAdvice(request, approved, true)
	}
	return append(s.store(), s.planAndStore()...)
}

// TestRemovalIsToldOnce guards against a removed queue or a lost pool that no line tells of, since the leader loaded the jobs
// before the first version, and against lines on queues that were not removed.
func TestRemovalIsToldOnce(t *testing.T) {
	s := newShardLog(t, plainQueue())
	s.submit("job", "queue", smallStep(1))
	s.publish(4, []caspec.Queue{plainQueue()}, caspec.Team{Name: "north", Weight: 1})
	s.store()
	for _, test := range []struct {
		name     string
		versions []caspec.Policy
		// want are how often the removal of the queue, of its team and the loss of its pool are told.
		want [3]int
	}{
		{"no version is known", []caspec.Policy{{}}, [3]int{0, 0, 1}},
		{"an older version is known", []caspec.Policy{policyOf(3, nil)}, [3]int{0, 0, 1}},
		{"known from the beginning", []caspec.Policy{policyOf(5, nil), policyOf(6, nil)}, [3]int{1, 1, 1}},
		{"known later", []caspec.Policy{{}, policyOf(3, nil), policyOf(5, nil), policyOf(6, nil)}, [3]int{1, 1, 1}},
	} {
		s.upstreams = nil
		s.lead(test.versions[0])
		var log bytes.Buffer
		s.planner.log = zerolog.New(&log)
		s.planner.LogRemoved()
		for _, p := range test.versions[1:] {
			p.Pools = nil
			s.planner.SetPolicy(p)
		}
		s.planner.Plan()
		var got [3]int
		for i, name := range []string{"queue_removed", "team_removed", "pool_lost"} {
			got[i] = strings.Count(log.String(), `"name":"`+name+`"`)
		}
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s\n%s", test.name, diff, log.String())
		}
	}
}
