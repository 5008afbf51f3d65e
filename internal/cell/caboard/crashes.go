package caboard

import (
	"maps"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
)

// provenAfter is how long after its start a run must be shown not to have crashed its upstream:
// renewals wait at upstreams for up to a second, and are answered about that often.
const provenAfter = time.Second

// survived returns for how long the upstream is known to have lived with the run: from the start
// order to its last answer, zero if it did not answer since.
func (r *run) survived() time.Duration {
	start := r.sentAt
	if start.IsZero() {
		start = r.assignedAt
	}
	return max(r.upstream.lastAnswerAt.Sub(start), 0)
}

// sortedRuns returns the runs that may be present at the upstream, in the order of their ids.
func (u *upstream) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(u.runs), func(x, y *run) int { return x.id.compare(y.id) })
}

// logCrash logs that an incarnation of an upstream ended with runs. The suspects are the runs
// that had just been started there.
func (b *Planner) logCrash(u *upstream, born int64, cause string) {
	if len(u.runs) == 0 {
		return
	}
	var suspects []string
	for _, r := range u.sortedRuns() {
		if r.sent && r.survived() < provenAfter {
			suspects = append(suspects, string(r.id.Job))
		}
	}
	caevent.Warn(b.log, caevent.UpstreamCrashed).Str("upstream", string(u.info.ID)).Int64("born", born).Str("cause", cause).
		Bool("draining", u.info.Draining).Dur("since_answer", b.timeSinceAnswer(u)).Int("runs", len(u.runs)).
		Int("suspects", len(suspects)).Strs("suspect_jobs", slices.Compact(suspects)).Send()
}
