package cadecide

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/caledger"
	"celeryarch.example/celeryarch/internal/core/casched"
)

// maxOfferedTasks limits how many tasks of a job are offered to other entries at
// a time. A gang is always offered with all its tasks.
const maxOfferedTasks = 64

// Free implements casched.Scheduler.
func (s *Scheduler) Free() cawork.Resources { return s.index.Free().Size }

// Capacity implements casched.Scheduler.
func (s *Scheduler) Capacity() cawork.Resources { return s.index.Capacity().Size }

// TeamUses implements casched.Scheduler.
func (s *Scheduler) TeamUses() []casched.TeamUse {
	var out []casched.TeamUse
	for _, t := range s.sortedTeams {
		if !t.Use.IsZero() {
			out = append(out, casched.TeamUse{Team: t.Name, Use: t.Use})
		}
	}
	return out
}

// QueueLength implements casched.Scheduler.
func (s *Scheduler) QueueLength(name cawork.TeamName, k cawork.WorkKind) int {
	t, ok := s.teams[name]
	if !ok {
		return 0
	}
	return t.queued[k]
}

// LargestFree implements casched.Scheduler.
func (s *Scheduler) LargestFree(c cawork.Constraints) cawork.Resources { return s.index.LargestFree(c) }

// UnplacedJobs implements casched.Scheduler.
func (s *Scheduler) UnplacedJobs(limit int, now time.Time) []casched.UnplacedJob {
	var out []casched.UnplacedJob
	s.round++
	for t := s.lowestShareTeam(); t != nil && len(out) < limit; t = s.lowestShareTeam() {
		t.exhaustedRound = s.round
		var heads []*caledger.Job
		for _, g := range t.queue.Groups() {
			for i, c := range g.Classes() {
				if g.ClassStates()[i].HeadBlocked {
					heads = append(heads, c.Head().Value)
				}
			}
		}
		slices.SortFunc(heads, func(a, b *caledger.Job) int {
			if a.QueueEntry.Less(b.QueueEntry) {
				return -1
			}
			return 1
		})
		for _, j := range heads {
			if u, ok := s.describeUnplaced(t, j, now); ok && len(out) < limit {
				out = append(out, u)
			}
		}
	}
	return out
}

// describeUnplaced describes the tasks of the job that fit the allowance of its
// team, and reports whether there are any.
func (s *Scheduler) describeUnplaced(t *team, j *caledger.Job, now time.Time) (casched.UnplacedJob, bool) {
	d := s.demand(j)
	n := min(j.Queued(), maxOfferedTasks)
	if j.IsGang() {
		n = j.Queued()
	}
	for n > 0 && !t.Allows(d.Size.Times(int64(n))) {
		if j.IsGang() {
			return casched.UnplacedJob{}, false
		}
		n--
	}
	return casched.UnplacedJob{
		Job: j.ID, Team: j.Team, Kind: j.Spec.Kind, Tasks: j.Peek(n), Size: d.Size,
		RunTime: s.expectedRunTime(j), Constraints: j.Spec.Constraints, Waited: now.Sub(j.Accepted),
	}, n > 0
}
