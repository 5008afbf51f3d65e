package camember

import (
	"reflect"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// publish writes the wanted application state into the own record: changes of
// configuration, shards and unreachable upstreams at once, usage when it is
// due.
func (s *State) publish(now time.Time) {
	for _, sec := range urgentSections(s.wanted) {
		s.publishSection(now, sec)
	}
	if now.Before(s.usageDue) {
		return
	}
	s.usageDue = now.Add(s.usagePeriod())
	for _, sec := range s.usageSections() {
		s.publishSection(now, sec)
	}
}

// usagePeriod returns the time between two publications of usage.
func (s *State) usagePeriod() time.Duration {
	return max(s.cfg.PublishMin, time.Duration(len(s.records))*s.cfg.PublishPerMember)
}

// publishSection writes the section when it differs from the published one and
// may change again. The last of many fast changes is written later.
func (s *State) publishSection(now time.Time, sec Section) {
	key := sec.key()
	for _, old := range s.self.sections {
		if old.key() != key {
			continue
		}
		old.Version = 0
		if reflect.DeepEqual(old, sec) {
			return
		}
	}
	if !sec.usage() && !s.mayChange(now, key) {
		return
	}
	sec.Version = s.self.version + 1
	s.self.set(sec)
	s.noteNews(sec)
	s.touch(s.self, !sec.usage())
}

// mayChange takes one change of the section from its budget.
func (s *State) mayChange(now time.Time, key sectionKey) bool {
	limiter, ok := s.urgent[key]
	if !ok {
		limiter = rate.NewLimiter(rate.Every(s.cfg.UrgentPause), s.cfg.UrgentBurst)
		s.urgent[key] = limiter
	}
	return limiter.AllowN(now, 1)
}

func urgentSections(a AppState) []Section {
	shards := &ShardList{}
	for _, l := range a.Shards {
		shards.Shards = append(shards.Shards, ShardEntry{Shard: l.Shard, View: l.View, Backup: l.Backup})
	}
	return []Section{
		{Config: &ConfigMark{Version: a.ConfigVersion}},
		{Shards: shards},
		{Unreachable: &UpstreamList{Upstreams: slices.Clone(a.Unreachable)}},
	}
}

// usageSections returns the use of every team that has, or had, any.
func (s *State) usageSections() []Section {
	sections := []Section{{Summary: &Summary{
		Free: amountsOf(s.wanted.Free), LargestHole: amountsOf(s.wanted.LargestHole),
		QueueLength: s.wanted.QueueLength, OwnedUpstreams: s.wanted.OwnedUpstreams,
		FreeSlots: s.wanted.FreeSlots,
	}}}
	for _, u := range s.wanted.TeamUse {
		sections = append(sections, Section{Use: &UseEntry{Team: u.Team, Use: amountsOf(u.Use)}})
	}
	for _, old := range s.self.sections {
		if old.Use == nil || slices.ContainsFunc(s.wanted.TeamUse, func(u TeamUse) bool { return u.Team == old.Use.Team }) {
			continue
		}
		sections = append(sections, Section{Use: &UseEntry{Team: old.Use.Team}})
	}
	return sections
}
