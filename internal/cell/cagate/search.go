package cagate

import (
	"context"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

// noShard stands in log lines for a job that no shard has.
const noShard = -1

// foundJob is a job that a shard has.
type foundJob struct {
	link  *link
	phase castate.Phase
}

// search looks for a job of the caller in all shards but home, which does not have it: it was submitted with a key of
// other shards, which the caller's team has had too. It returns KindNotFound only if no shard has the job; while one of
// them has no leader that is not known.
func (g *Gate) search(ctx context.Context, call string, home *link, caller caspec.Caller, id cawork.JobID) (foundJob, error) {
	g.mu.Lock()
	var others []*link
	for _, l := range g.links {
		if l != home {
			others = append(others, l)
		}
	}
	g.mu.Unlock()
	found, err := g.searchIn(ctx, others, caller, id)
	g.logSearch(call, home, len(others), found, caller, id, err)
	return found, err
}

// isKnownElsewhere reports whether a shard of another key of the caller's team has a submitted job already. An error means
// that this cannot be determined now. Most teams have no such key.
func (g *Gate) isKnownElsewhere(ctx context.Context, home *link, s caspec.Submission) (bool, error) {
	policy, layout := g.policyAndLayout()
	var links []*link
	for _, shard := range layout.OtherShards(policy, s.Caller()) {
		l, err := g.link(shard)
		if err != nil {
			return false, err
		}
		links = append(links, l)
	}
	if len(links) == 0 {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, leaderWaitTimeout)
	defer cancel()
	found, err := g.searchIn(ctx, links, s.Caller(), s.ID)
	if cakind.Of(err) == cakind.KindNotFound {
		return false, nil
	}
	g.logSearch(callSubmit, home, len(links), found, s.Caller(), s.ID, err)
	return err == nil, err
}

// searchIn asks some shards at the same time for a job of the caller.
func (g *Gate) searchIn(ctx context.Context, links []*link, caller caspec.Caller, id cawork.JobID) (foundJob, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		job foundJob
		err error
	}
	teams := append(g.formerTeams(caller), caller.Team)
	answers := make(chan answer, len(links))
	for _, l := range links {
		go func() {
			phase, err := l.phase(ctx, id, teams)
			answers <- answer{foundJob{l, phase}, err}
		}()
	}
	var unavailable error
	for range links {
		a := <-answers
		if a.err == nil {
			return a.job, nil
		}
		if cakind.Of(a.err) != cakind.KindNotFound {
			unavailable = a.err
		}
	}
	if unavailable != nil {
		return foundJob{}, cakind.Wrap(cakind.KindUnavailable, unavailable, "cannot determine now whether job %s exists", id).WithRetryAfter(noLeaderRetryAfter)
	}
	return foundJob{}, cakind.New(cakind.KindNotFound, "no job %s", id)
}

// logSearch logs where a call looked for a job that its own shard does not have, and where it was found.
func (g *Gate) logSearch(call string, home *link, others int, found foundJob, caller caspec.Caller, id cawork.JobID, err error) {
	policy, _ := g.policyAndLayout()
	in := noShard
	if found.link != nil {
		in = found.link.shard
	}
	caevent.Info(g.Log, caevent.JobSought).Str("call", call).Str("job", string(id)).Str("team", string(caller.Team)).
		Stringer("key", caller.Key).Int("shard", home.shard).Int("others", others).Int("found_in", in).
		Int64("policy", policy.Version).Err(err).Send()
}
