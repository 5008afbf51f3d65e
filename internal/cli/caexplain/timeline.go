package caexplain

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/cli/caloglines"
)

// TimelineEntry is one entry in the timeline of a job.
type TimelineEntry struct {
	// After is the time since the job was first submitted.
	After time.Duration   `json:"after_ns"`
	Line  caloglines.Line `json:"line"`
}

// History is the timeline of one job, with its outcome and its time by cause.
type History struct {
	Job        string          `json:"job"`
	Queue      string          `json:"queue"`
	Team       string          `json:"team"`
	Phase      string          `json:"phase"`
	Refusals   int             `json:"refusals"`
	Began      time.Time       `json:"began"`
	Took       time.Duration   `json:"took_ns"`
	Objective  time.Duration   `json:"objective_ns"`
	Late       bool            `json:"late"`
	CauseTimes []CauseTime     `json:"spent"`
	Timeline   []TimelineEntry `json:"moments"`
}

// CauseTime is the time that one cause took.
type CauseTime struct {
	Cause Cause         `json:"cause"`
	Took  time.Duration `json:"took_ns"`
}

// ReadHistory reads the logs and returns the history of one job, and whether any line concerns
// it.
func ReadHistory(r *caloglines.Reader, id string) (History, bool, error) {
	j := newJob(id)
	var lines []caloglines.Line
	for line, ok := r.Next(); ok; line, ok = r.Next() {
		if !line.Concerns(id) && !j.losesTerms(line) {
			continue
		}
		j.addLine(line)
		lines = append(lines, line)
	}
	h := History{
		Job: id, Queue: j.queue, Team: j.team, Phase: j.phase, Refusals: j.refusals, Began: j.submitted(), Took: j.elapsed(),
		Objective: j.objective, Late: j.isLate(),
	}
	for _, l := range lines {
		h.Timeline = append(h.Timeline, TimelineEntry{After: l.Time.Sub(h.Began), Line: l})
	}
	spent := j.timeByCause()
	for _, cause := range sortedKeys(spent) {
		if spent[cause] > 0 {
			h.CauseTimes = append(h.CauseTimes, CauseTime{Cause: cause, Took: spent[cause]})
		}
	}
	return h, len(lines) > 0, r.Err()
}

// losesTerms reports whether a line tells that a version of the policy removes the queue or the team of the open job.
func (j *job) losesTerms(l caloglines.Line) bool {
	if j.accepted.IsZero() || !j.ended.IsZero() {
		return false
	}
	return l.Event == caevent.QueueRemoved && l.Queue == j.queue || l.Event == caevent.TeamRemoved && l.Team == j.team
}
