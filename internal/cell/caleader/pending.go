package caleader

import (
	"time"

	"celeryarch.example/celeryarch/internal/cell/caspec"
)

const (
	// countPeriod is the time between two counts of the jobs that have not begun to run.
	countPeriod = 250 * time.Millisecond
	// openJobsPeriod is the time between two reports of the jobs that have not ended.
	openJobsPeriod = 2 * time.Second
)

// reportOpenJobs reports how many jobs of each queue have not ended, if that is due. The lock is held.
func (l *Leader) reportOpenJobs() {
	if l.ReportOpenJobs == nil || l.Timer.Now().Sub(l.openReportedAt) < openJobsPeriod {
		return
	}
	l.openReportedAt = l.Timer.Now()
	l.ReportOpenJobs(l.planner.OpenJobs())
	if l.ReportTeams != nil {
		l.ReportTeams(l.planner.TeamUse())
	}
}

// countUnstarted counts the accepted jobs that have not begun to run, for Pending. The lock
// is held.
func (l *Leader) countUnstarted() {
	l.countedAt = l.Timer.Now()
	counts := l.planner.UnstartedJobs()
	l.unstartedJobs.Store(&counts)
}

// Pending returns the number of accepted jobs of a queue that have not begun to run, as of the
// last count. It does not wait for plans.
func (l *Leader) Pending(q caspec.QueueName) (int, error) {
	counts, ok := l.UnstartedJobs()
	if !ok {
		return 0, errLoading
	}
	return counts[q], nil
}

// UnstartedJobs returns the counts of Pending by queue, without queues that have none, and
// whether the leader has loaded the jobs. They must not be changed.
func (l *Leader) UnstartedJobs() (map[caspec.QueueName]int, bool) {
	counts := l.unstartedJobs.Load()
	if counts == nil || !l.loaded.Load() {
		return nil, false
	}
	return *counts, true
}
