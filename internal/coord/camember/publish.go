package camember

import (
	"reflect"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// publishAppState writes the local application state into the record of this
// entry: the configuration version, shards and unreachable upstreams at once,
// usage when its interval has passed.
func (s *State) publishAppState(now time.Time) {
	for _, sec := range urgentSections(s.localApp) {
		s.publishSection(now, sec)
	}
	if now.Before(s.usageDue) {
		return
	}
	s.usageDue = now.Add(s.usageInterval())
	for _, sec := range s.usageSections() {
		s.publishSection(now, sec)
	}
}

// usageInterval returns the interval between two publications of usage.
func (s *State) usageInterval() time.Duration {
	return max(s.cfg.PublishMin, time.Duration(len(s.records))*s.cfg.PublishPerMember)
}

// publishSection writes the section if it differs from the published one and
// the rate limit allows a change. Otherwise a later tick writes the state that
// is current then.
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
	if !sec.isUsage() && !s.allowChange(now, key) {
		return
	}
	sec.Version = s.self.version + 1
	s.self.setSection(sec)
	s.expediteProbe(sec)
	s.markChanged(s.self, !sec.isUsage())
}

// allowChange reports whether the rate limit of the section allows a change,
// and counts it.
func (s *State) allowChange(now time.Time, key sectionKey) bool {
	limiter, ok := s.urgentLimiters[key]
	if !ok {
		limiter = rate.NewLimiter(rate.Every(s.cfg.UrgentPause), s.cfg.UrgentBurst)
		s.urgentLimiters[key] = limiter
	}
	return limiter.AllowN(now, 1)
}

func urgentSections(a AppState) []Section {
	shards := &ShardList{}
	for _, l := range a.Shards {
		shards.Shards = append(shards.Shards, ShardEntry{Shard: l.Shard, View: l.View, Backup: l.Backup})
	}
	return []Section{
		{Config: &ConfigVersion{Version: a.ConfigVersion}},
		{Shards: shards},
		{Unreachable: &UpstreamList{Upstreams: slices.Clone(a.Unreachable)}},
	}
}

// usageSections returns the summary and the use of each team. A team without
// use is included with zero amounts if its use was published before.
func (s *State) usageSections() []Section {
	sections := []Section{{Summary: &Summary{
		Free: amountsOf(s.localApp.Free), LargestHole: amountsOf(s.localApp.LargestHole),
		QueueLength: s.localApp.QueueLength, OwnedUpstreams: s.localApp.OwnedUpstreams,
		FreeSlots: s.localApp.FreeSlots,
	}}}
	for _, u := range s.localApp.TeamUse {
		sections = append(sections, Section{Use: &UseEntry{Team: u.Team, Use: amountsOf(u.Use)}})
	}
	for _, old := range s.self.sections {
		if old.Use == nil || slices.ContainsFunc(s.localApp.TeamUse, func(u TeamUse) bool { return u.Team == old.Use.Team }) {
			continue
		}
		sections = append(sections, Section{Use: &UseEntry{Team: old.Use.Team}})
	}
	return sections
}
