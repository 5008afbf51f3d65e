// Package caterms keeps the terms that the jobs of a shard run under: the definitions of their queues
// and teams by the newest version of the policy that lists them. The policy in force may list them no
// more, and a new leader knows no other version, so the definitions that open jobs need are stored.
//
// A definition is stored before or together with the first job that needs it, and again when a version
// changes it. It ends once no version lists it and no open job needs it.
package caterms

import (
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// Terms holds the definitions of queues and teams. It is not safe for concurrent use.
type Terms struct {
	queues catalog[caspec.QueueName, caspec.Queue]
	teams  catalog[cawork.TeamName, caspec.Team]
}

// New returns empty Terms.
func New() *Terms {
	return &Terms{
		queues: newCatalog[caspec.QueueName, caspec.Queue](queuePrefix),
		teams:  newCatalog[cawork.TeamName, caspec.Team](teamPrefix),
	}
}

// Apply applies a version of the policy.
func (t *Terms) Apply(p caspec.Policy) {
	listedQueues := make(map[caspec.QueueName]caspec.Queue, len(p.Queues))
	for _, q := range p.Queues {
		listedQueues[q.Name] = q.WithoutCallTerms()
	}
	listedTeams := make(map[cawork.TeamName]caspec.Team, len(p.Teams))
	for _, team := range p.Teams {
		listedTeams[team.Name] = team.WithoutKeys()
	}
	t.teams.apply(p.Version, listedTeams)
	t.queues.apply(p.Version, listedQueues)
}

// Queue returns the definition of a queue. The pointer stays the same until a version changes the
// definition. It reports false if no known version lists the queue.
func (t *Terms) Queue(name caspec.QueueName) (*caspec.Queue, bool) { return t.queues.value(name) }

// IsListed reports whether the policy in force lists the queue.
func (t *Terms) IsListed(name caspec.QueueName) bool { return t.queues.isListed(name) }

// QueueVersion returns the newest known version of the policy that lists the queue, zero without one.
func (t *Terms) QueueVersion(name caspec.QueueName) int64 { return t.queues.version(name) }

// TeamVersion returns the newest known version of the policy that lists the team, zero without one.
func (t *Terms) TeamVersion(name cawork.TeamName) int64 { return t.teams.version(name) }

// Team returns the definition of a team, without its keys. It reports false if no known version lists the
// team.
func (t *Terms) Team(name cawork.TeamName) (caspec.Team, bool) {
	team, ok := t.teams.value(name)
	if !ok {
		return caspec.Team{}, false
	}
	return *team, true
}

// LimitOf returns the upper limit of a team. A team that no known version lists has none.
func (t *Terms) LimitOf(name cawork.TeamName) cawork.Resources {
	team, _ := t.Team(name)
	return team.Limit
}

// Need makes the definitions of a queue and a team be stored with the next changes, for a job of theirs.
func (t *Terms) Need(queue caspec.QueueName, team cawork.TeamName) {
	t.queues.need(queue)
	if team != "" {
		t.teams.need(team)
	}
}

// HasUnlisted reports whether there are definitions that the policy in force does not list, or names that jobs need
// and no known version lists.
func (t *Terms) HasUnlisted() bool { return t.queues.hasUnlisted() || t.teams.hasUnlisted() }

// Unlisted returns the queues with a definition that the policy in force does not list, by name.
func (t *Terms) Unlisted() []caspec.QueueName { return t.queues.unlistedNames() }

// TakeRemoved returns the queues and teams that the version in force has removed, each once. A definition of a later
// version is not removed.
func (t *Terms) TakeRemoved(inForce int64) ([]caspec.QueueName, []cawork.TeamName) {
	return t.queues.takeRemoved(inForce), t.teams.takeRemoved(inForce)
}

// Prune ends the definitions that the policy in force does not list and no job needs. It returns the queues
// among them.
func (t *Terms) Prune(needsQueue func(caspec.QueueName) bool, needsTeam func(cawork.TeamName) bool) []caspec.QueueName {
	t.teams.prune(needsTeam)
	return t.queues.prune(needsQueue)
}

// HasChanges reports whether TakeChanges would return records.
func (t *Terms) HasChanges() bool { return t.queues.hasChanges() || t.teams.hasChanges() }

// TakeChanges returns the records to store, in the order of their keys. From then on they count as stored.
func (t *Terms) TakeChanges() ([]Record, error) {
	queues, err := t.queues.takeChanges(func(q caspec.Queue) definition { return definition{Queue: &q} })
	if err != nil {
		return nil, err
	}
	teams, err := t.teams.takeChanges(func(team caspec.Team) definition { return definition{Team: &team} })
	return append(queues, teams...), err
}

// Restore adds a stored definition. A version of the policy that was applied before goes first, unless it is
// older. An error has KindInvalid.
func (t *Terms) Restore(r Record) error {
	d, err := decode(r)
	if err != nil {
		return err
	}
	if d.Queue != nil {
		t.queues.restore(d.Queue.Name, d.Version, *d.Queue)
	}
	if d.Team != nil {
		t.teams.restore(d.Team.Name, d.Version, *d.Team)
	}
	return nil
}
