// Package caexplain reports on the jobs in the logs of entries: the timeline of one job, or
// a summary of many with the causes of delays. A summary keeps only jobs in memory that have
// not ended or ended recently.
package caexplain

import (
	"cmp"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/cli/caloglines"
)

// jobRetention is how long a job is kept after its end, since lines about it may
// follow in other logs.
const jobRetention = 30 * time.Second

// Filter selects jobs. Zero fields select all. Times count from the first log line.
type Filter struct {
	Queue, Team string
	From, To    time.Duration
}

// Group counts the jobs of one queue, team or time window, or all jobs.
type Group struct {
	Name      string `json:"name"`
	Jobs      int    `json:"jobs"`
	Completed int    `json:"completed"`
	Late      int    `json:"late"`
	Failed    int    `json:"failed"`
	Canceled  int    `json:"canceled"`
	// Refused counts the jobs that were never accepted, and Open the accepted jobs that have not
	// ended.
	Refused int `json:"refused"`
	Open    int `json:"open"`
}

// CauseCount is the delay of late jobs by one cause.
type CauseCount struct {
	Cause Cause `json:"cause"`
	// Jobs counts the jobs for which it took longest. SecondsTotal is its sum over all late jobs.
	Jobs           int     `json:"jobs"`
	SecondsTotal   float64 `json:"seconds_total"`
	SecondsLongest float64 `json:"seconds_longest"`
}

// Summary summarizes the outcomes of jobs.
type Summary struct {
	All     Group        `json:"all"`
	Queues  []Group      `json:"queues"`
	Teams   []Group      `json:"teams"`
	Windows []Group      `json:"windows"`
	Causes  []CauseCount `json:"causes"`
	// Lines and Unreadable count log lines.
	Lines      int `json:"lines"`
	Unreadable int `json:"unreadable"`
}

// collector builds a Summary from lines that are ordered by time.
type collector struct {
	filter    Filter
	window    time.Duration
	firstLine time.Time
	jobs      map[string]*job
	endedJobs []*job
	all       Group
	queues    map[string]*Group
	teams     map[string]*Group
	windows   map[time.Duration]*Group
	causes    map[Cause]*CauseCount
}

// Summarize reads the logs and returns a Summary of the jobs that the filter selects, with
// windows of the given length.
func Summarize(r *caloglines.Reader, f Filter, window time.Duration) (Summary, error) {
	c := &collector{
		filter: f, window: window, jobs: make(map[string]*job), all: Group{Name: "all"},
		queues: make(map[string]*Group), teams: make(map[string]*Group),
		windows: make(map[time.Duration]*Group), causes: make(map[Cause]*CauseCount),
	}
	for line, ok := r.Next(); ok; line, ok = r.Next() {
		c.addLine(line)
	}
	for _, id := range sortedKeys(c.jobs) {
		c.countJob(c.jobs[id])
	}
	return c.summary(r), r.Err()
}

func (c *collector) addLine(l caloglines.Line) {
	if c.firstLine.IsZero() {
		c.firstLine = l.Time
	}
	if l.Job == "" {
		return
	}
	j, ok := c.jobs[l.Job]
	if !ok {
		j = newJob(l.Job)
		c.jobs[l.Job] = j
	}
	hadEnded := !j.ended.IsZero()
	j.addLine(l)
	if !hadEnded && !j.ended.IsZero() {
		c.endedJobs = append(c.endedJobs, j)
	}
	c.evictEnded(l.Time)
}

// evictEnded counts and drops the jobs that ended more than jobRetention ago.
func (c *collector) evictEnded(now time.Time) {
	n := 0
	for n < len(c.endedJobs) && now.Sub(c.endedJobs[n].ended) > jobRetention {
		c.countJob(c.endedJobs[n])
		delete(c.jobs, c.endedJobs[n].id)
		n++
	}
	c.endedJobs = c.endedJobs[n:]
}

// countJob adds a job to the summary when no further lines about it are expected.
func (c *collector) countJob(j *job) {
	if j.submitted().IsZero() {
		return
	}
	// The line about a call is logged at its end, so the first call may begin before the first
	// line.
	submitted := max(j.submitted().Sub(c.firstLine), 0)
	if !c.matches(j, submitted) {
		return
	}
	windowStart := submitted.Truncate(max(c.window, time.Millisecond))
	for _, g := range []*Group{&c.all, findOrAddGroup(c.queues, j.queue, j.queue), findOrAddGroup(c.teams, j.team, j.team), findOrAddGroup(c.windows, windowStart, windowStart.String())} {
		g.addJob(j)
	}
	if j.isLate() && j.phase == "completed" {
		c.countCauses(j.timeByCause())
	}
}

func (c *collector) matches(j *job, submitted time.Duration) bool {
	f := c.filter
	return (f.Queue == "" || f.Queue == j.queue) && (f.Team == "" || f.Team == j.team) && submitted >= f.From && (f.To == 0 || submitted < f.To)
}

func findOrAddGroup[K comparable](groups map[K]*Group, key K, name string) *Group {
	g, ok := groups[key]
	if !ok {
		g = &Group{Name: name}
		groups[key] = g
	}
	return g
}

func (g *Group) addJob(j *job) {
	g.Jobs++
	switch {
	case j.accepted.IsZero():
		g.Refused++
	case j.phase == "completed":
		g.Completed++
		if j.isLate() {
			g.Late++
		}
	case j.phase == "failed":
		g.Failed++
	case j.phase == "canceled":
		g.Canceled++
	default:
		g.Open++
	}
}

func (c *collector) countCauses(s TimeByCause) {
	longest, found := s.longest()
	for cause, took := range s {
		if took <= 0 {
			continue
		}
		n, ok := c.causes[cause]
		if !ok {
			n = &CauseCount{Cause: cause}
			c.causes[cause] = n
		}
		n.SecondsTotal += took.Seconds()
		n.SecondsLongest = max(n.SecondsLongest, took.Seconds())
		if found && cause == longest {
			n.Jobs++
		}
	}
}

func (c *collector) summary(r *caloglines.Reader) Summary {
	a := Summary{All: c.all, Lines: r.Lines, Unreadable: r.Unreadable}
	for _, name := range sortedKeys(c.queues) {
		a.Queues = append(a.Queues, *c.queues[name])
	}
	for _, name := range sortedKeys(c.teams) {
		a.Teams = append(a.Teams, *c.teams[name])
	}
	for _, at := range sortedKeys(c.windows) {
		a.Windows = append(a.Windows, *c.windows[at])
	}
	for _, cause := range sortedKeys(c.causes) {
		a.Causes = append(a.Causes, *c.causes[cause])
	}
	return a
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
