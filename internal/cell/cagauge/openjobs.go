// Package cagauge reports figures of the shards that an entry leads, as metrics with a bounded number of
// labels.
package cagauge

import (
	"github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// Names of metrics and labels. The open jobs are told by queue and by team, and the cores that the running tasks of a
// team have.
const (
	OpenJobsName  = "open_jobs"
	TeamJobsName  = "open_jobs_of_team"
	TeamCoresName = "cores_of_team"
	QueueLabel    = "queue"
	TeamLabel     = "team"
)

// OpenJobs reports how many accepted jobs have not ended, by queue and by team, and what the teams have running, for the
// shards that an entry leads.
type OpenJobs struct {
	byQueue, byTeam, cores *byLabel
}

// TeamUse is the open work of a team.
type TeamUse struct {
	// Jobs is how many accepted jobs have not ended, and CPU what the running tasks have.
	Jobs int
	CPU  cawork.MilliCPU
}

// NewOpenJobs returns OpenJobs that report to the scope.
func NewOpenJobs(scope tally.Scope) *OpenJobs {
	return &OpenJobs{
		byQueue: newByLabel(scope, OpenJobsName, QueueLabel),
		byTeam:  newByLabel(scope, TeamJobsName, TeamLabel),
		cores:   newByLabel(scope, TeamCoresName, TeamLabel),
	}
}

// Report sets the counts of a shard by queue. All other queues have none. The leader of a shard reports no counts
// when it stops leading.
func (o *OpenJobs) Report(shard int, counts map[caspec.QueueName]int) {
	values := make(map[string]float64, len(counts))
	for queue, n := range counts {
		values[string(queue)] = float64(n)
	}
	o.byQueue.report(shard, values)
}

// ReportTeams sets the open work of the teams of a shard, as Report does for queues.
func (o *OpenJobs) ReportTeams(shard int, teams map[cawork.TeamName]TeamUse) {
	jobs, cores := make(map[string]float64, len(teams)), make(map[string]float64, len(teams))
	for team, use := range teams {
		jobs[string(team)], cores[string(team)] = float64(use.Jobs), float64(use.CPU)/float64(cawork.Cores(1))
	}
	o.byTeam.report(shard, jobs)
	o.cores.report(shard, cores)
}
