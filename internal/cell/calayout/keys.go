package calayout

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

const (
	// keyRetention is how long the layout keeps a key that no version lists any more, and
	// maxUnlistedKeys how many of them at most.
	keyRetention    = 24 * time.Hour
	maxUnlistedKeys = 128
	// maxTeamsOfKey bounds the teams that are kept of one key.
	maxTeamsOfKey = 8
	// maxUnlistedTeams bounds the teams with shards that neither a version nor a key names.
	maxUnlistedTeams = 128
)

// Tenure is what the layout keeps of one key. The shards of a key never change while it is kept, whatever team
// the key belongs to: requests with a key that arrive again reach the shard that got them before.
type Tenure struct {
	Shards []int `cbor:"1,keyasint"`
	// Teams are the teams that have had the key, the last one at the end.
	Teams []cawork.TeamName `cbor:"2,keyasint"`
	// UnlistedMS is since when no version lists the key, in Unix milliseconds. It is zero while one does.
	UnlistedMS int64 `cbor:"3,keyasint,omitempty"`
}

// withTeam returns the tenure of a key that a version lists for a team.
func (t Tenure) withTeam(team cawork.TeamName) Tenure {
	t.UnlistedMS = 0
	if len(t.Teams) > 0 && t.Teams[len(t.Teams)-1] == team {
		return t
	}
	others := slices.DeleteFunc(slices.Clone(t.Teams), func(name cawork.TeamName) bool { return name == team })
	t.Teams = append(others[max(len(others)-maxTeamsOfKey+1, 0):], team)
	return t
}

// isExpired reports whether the key is not kept any more.
func (t Tenure) isExpired(nowMS int64) bool {
	return t.UnlistedMS > 0 && nowMS-t.UnlistedMS > keyRetention.Milliseconds()
}

// IsNewerThan reports whether the layout replaces another one.
func (l Layout) IsNewerThan(other Layout) bool {
	return !l.IsZero() && (other.IsZero() || l.Edition > other.Edition && l.Shards == other.Shards)
}

// ShardOfCall returns the shard of a call about a job. It reports false for a key that a version lists and whose
// shards are not decided yet.
func (l Layout) ShardOfCall(c caspec.Caller, id cawork.JobID) (shard int, decided bool) {
	shards, decided := l.shardsOfCaller(c)
	return pickShard(shards, id), decided
}

// shardsOfCaller returns the shards of a key. Without one the team decides, as it does as long as the key is undecided.
func (l Layout) shardsOfCaller(c caspec.Caller) (shards []int, decided bool) {
	if t, ok := l.Keys[c.Key]; ok && c.Key != 0 {
		return t.Shards, true
	}
	return l.ShardsOf(c.Team), l.Shards <= 1 || c.Key == 0 || c.Team == ""
}

// OtherShards returns the shards of the other keys of a caller's team that its own key does not have.
func (l Layout) OtherShards(p caspec.Policy, c caspec.Caller) []int {
	own, decided := l.shardsOfCaller(c)
	team, _ := p.Team(c.Team)
	if !decided || len(team.Keys) <= 1 {
		return nil
	}
	others := make(map[int]bool)
	for _, key := range team.Keys {
		for _, shard := range l.Keys[caspec.KeyIDOf(key)].Shards {
			if !slices.Contains(own, shard) {
				others[shard] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(others))
}

// FormerTeams returns the teams beside its own that a caller acts for: those that had its key before, and those that the
// policy no longer lists and of which its team has a key.
func (l Layout) FormerTeams(p caspec.Policy, c caspec.Caller) []cawork.TeamName {
	if c.Key == 0 {
		return nil
	}
	former := make(map[cawork.TeamName]bool)
	for _, name := range l.Keys[c.Key].Teams {
		former[name] = true
	}
	own, _ := p.Team(c.Team)
	for _, key := range own.Keys {
		for _, name := range l.Keys[caspec.KeyIDOf(key)].Teams {
			if _, listed := p.Team(name); !listed {
				former[name] = true
			}
		}
	}
	delete(former, c.Team)
	return slices.Sorted(maps.Keys(former))
}

// Successors returns, for each team that the policy no longer lists and one of whose keys it lists for another team, that
// team. Of several it is the one with the highest weight.
func (l Layout) Successors(p caspec.Policy) map[cawork.TeamName]cawork.TeamName {
	successors := make(map[cawork.TeamName]cawork.TeamName)
	byWeight := slices.Clone(p.Teams)
	slices.SortFunc(byWeight, func(x, y caspec.Team) int {
		return cmp.Or(cmp.Compare(y.Weight, x.Weight), cmp.Compare(x.Name, y.Name))
	})
	for _, t := range byWeight {
		for _, key := range t.Keys {
			for _, name := range l.Keys[caspec.KeyIDOf(key)].Teams {
				_, isListed := p.Team(name)
				if _, known := successors[name]; !isListed && !known {
					successors[name] = t.Name
				}
			}
		}
	}
	return successors
}

// ShardsOfTeam returns the shards in which jobs of a listed team may be: those of its keys, and of the keys that it
// has had.
func (l Layout) ShardsOfTeam(t caspec.Team) []int {
	shards := make(map[int]bool)
	for _, key := range t.Keys {
		for _, shard := range l.Keys[caspec.KeyIDOf(key)].Shards {
			shards[shard] = true
		}
	}
	for _, tenure := range l.Keys {
		if !slices.Contains(tenure.Teams, t.Name) {
			continue
		}
		for _, shard := range tenure.Shards {
			shards[shard] = true
		}
	}
	if len(shards) == 0 {
		return l.ShardsOf(t.Name)
	}
	return slices.Sorted(maps.Keys(shards))
}

// WithPolicy returns the layout with the keys that a version of the policy lists, and whether it differs. A new key gets
// the shards of its team.
func (l Layout) WithPolicy(p caspec.Policy, nowMS int64) (Layout, bool) {
	next := l
	// A record without teams or keys is decoded to nil maps.
	next.Keys, next.Teams = make(map[caspec.KeyID]Tenure, len(l.Keys)), make(map[cawork.TeamName][]int, len(l.Teams))
	maps.Copy(next.Teams, l.Teams)
	for _, t := range p.Teams {
		l.listKeys(next.Keys, p, t)
	}
	for id, t := range l.Keys {
		if _, listed := next.Keys[id]; listed || t.isExpired(nowMS) {
			continue
		}
		if t.UnlistedMS == 0 {
			t.UnlistedMS = nowMS
		}
		next.Keys[id] = t
	}
	next.dropOldestKeys()
	next.nameTeams(p)
	if maps.EqualFunc(l.Keys, next.Keys, Tenure.equal) && maps.EqualFunc(l.Teams, next.Teams, slices.Equal[[]int]) {
		return l, false
	}
	next.Edition++
	return next, true
}

// listKeys adds the keys of a team. Of a key that is listed twice the policy finds one team.
func (l Layout) listKeys(keys map[caspec.KeyID]Tenure, p caspec.Policy, t caspec.Team) {
	for _, key := range t.Keys {
		id := caspec.KeyIDOf(key)
		if owner, _ := p.TeamForKey(key); id == 0 || owner != t.Name {
			continue
		}
		tenure, kept := l.Keys[id]
		if !kept {
			tenure.Shards = l.shardsOfNewKey(t)
		}
		keys[id] = tenure.withTeam(t.Name)
	}
}

// shardsOfNewKey returns the shards of a key that a team gets: those of its other keys, or of the key that it had last.
func (l Layout) shardsOfNewKey(t caspec.Team) []int {
	for _, key := range t.Keys {
		if tenure, ok := l.Keys[caspec.KeyIDOf(key)]; ok {
			return tenure.Shards
		}
	}
	var last Tenure
	for _, id := range slices.Sorted(maps.Keys(l.Keys)) {
		tenure := l.Keys[id]
		isOfTeam := len(tenure.Teams) > 0 && tenure.Teams[len(tenure.Teams)-1] == t.Name
		if isOfTeam && (last.Shards == nil || tenure.UnlistedMS > last.UnlistedMS) {
			last = tenure
		}
	}
	if last.Shards != nil {
		return last.Shards
	}
	return l.ShardsOf(t.Name)
}

// dropOldestKeys drops unlisted keys beyond maxUnlistedKeys, those first that were unlisted first.
func (l Layout) dropOldestKeys() {
	var unlisted []caspec.KeyID
	for id, t := range l.Keys {
		if t.UnlistedMS > 0 {
			unlisted = append(unlisted, id)
		}
	}
	slices.SortFunc(unlisted, func(x, y caspec.KeyID) int {
		return cmp.Or(cmp.Compare(l.Keys[x].UnlistedMS, l.Keys[y].UnlistedMS), cmp.Compare(x, y))
	})
	for _, id := range unlisted[:max(len(unlisted)-maxUnlistedKeys, 0)] {
		delete(l.Keys, id)
	}
}

// nameTeams records the shards of listed teams by name, for builds that know no keys, and drops teams that nothing
// names any more once they are many.
func (l Layout) nameTeams(p caspec.Policy) {
	named := make(map[cawork.TeamName]bool, len(p.Teams))
	for _, t := range p.Teams {
		named[t.Name] = true
		i := slices.IndexFunc(t.Keys, func(key string) bool { return key != "" })
		if i < 0 {
			continue
		}
		if shards := l.Keys[caspec.KeyIDOf(t.Keys[i])].Shards; len(shards) > 0 && !slices.Equal(shards, l.ShardsOf(t.Name)) {
			l.Teams[t.Name] = shards
		}
	}
	for _, tenure := range l.Keys {
		for _, name := range tenure.Teams {
			named[name] = true
		}
	}
	unnamed := 0
	for name := range l.Teams {
		if !named[name] {
			unnamed++
		}
	}
	if unnamed > maxUnlistedTeams {
		maps.DeleteFunc(l.Teams, func(name cawork.TeamName, _ []int) bool { return !named[name] })
	}
}

func (t Tenure) equal(other Tenure) bool {
	return slices.Equal(t.Shards, other.Shards) && slices.Equal(t.Teams, other.Teams) && t.UnlistedMS == other.UnlistedMS
}
