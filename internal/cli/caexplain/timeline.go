package caexplain

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
)

// Moment is one line of the time line of a job.
type Moment struct {
	// After is the time since the first call that handed the job in.
	After time.Duration `json:"after_ns"`
	Line  Line          `json:"line"`
}

// History is what became of one job.
type History struct {
	Job       string        `json:"job"`
	Queue     string        `json:"queue"`
	Team      string        `json:"team"`
	Phase     string        `json:"phase"`
	Refusals  int           `json:"refusals"`
	Began     time.Time     `json:"began"`
	Took      time.Duration `json:"took_ns"`
	Objective time.Duration `json:"objective_ns"`
	Late      bool          `json:"late"`
	Spent     []SpentOn     `json:"spent"`
	Moments   []Moment      `json:"moments"`
}

// SpentOn is the time that one cause took.
type SpentOn struct {
	Cause Cause         `json:"cause"`
	Took  time.Duration `json:"took_ns"`
}

// HistoryOf reads the logs and returns what became of one job, and whether any line is
// about it.
func HistoryOf(r *Reader, id string) (History, bool, error) {
	j := newJob(id)
	var lines []Line
	for line, ok := r.Next(); ok; line, ok = r.Next() {
		if line.Job != id {
			continue
		}
		j.add(line)
		lines = append(lines, line)
	}
	h := History{
		Job: id, Queue: j.queue, Team: j.team, Phase: j.phase, Refusals: j.refusals, Began: j.began(), Took: j.took(),
		Objective: j.objective, Late: j.isLate(),
	}
	for _, l := range lines {
		h.Moments = append(h.Moments, Moment{After: l.Time.Sub(h.Began), Line: l})
	}
	spent := j.spent()
	for _, cause := range sortedKeys(spent) {
		if spent[cause] > 0 {
			h.Spent = append(h.Spent, SpentOn{Cause: cause, Took: spent[cause]})
		}
	}
	return h, len(lines) > 0, r.Err()
}

// what returns what a line says, in the words of its event.
func (l Line) what() string {
	if l.Event.IsANumber() {
		return l.Event.String()
	}
	return "event"
}

// isOfTask reports whether a line is about one task of a job.
func (l Line) isOfTask() bool {
	switch l.Event {
	case caevent.TaskPlaced, caevent.TaskEnded, caevent.TaskLapsed, caevent.TaskStopped, caevent.TaskAdopted, caevent.TaskCopied:
		return true
	default:
		return false
	}
}
