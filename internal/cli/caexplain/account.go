package caexplain

import (
	"cmp"
	"slices"
	"time"
)

// jobKept is how long a job is kept after its end, for lines of other logs.
const jobKept = 30 * time.Second

// Filter chooses jobs. Zero fields choose all. Times count from the first line.
type Filter struct {
	Queue, Team string
	From, To    time.Duration
}

// Group counts the jobs of one kind.
type Group struct {
	Name      string `json:"name"`
	Jobs      int    `json:"jobs"`
	Completed int    `json:"completed"`
	Late      int    `json:"late"`
	Failed    int    `json:"failed"`
	Canceled  int    `json:"canceled"`
	// Refused are those that were never accepted, and Open those without an end.
	Refused int `json:"refused"`
	Open    int `json:"open"`
}

// CauseCount tells what one cause cost the late jobs.
type CauseCount struct {
	Cause Cause `json:"cause"`
	// Jobs are those that it cost most, and SecondsTotal what it cost all.
	Jobs           int     `json:"jobs"`
	SecondsTotal   float64 `json:"seconds_total"`
	SecondsLongest float64 `json:"seconds_longest"`
}

// Account is what became of many jobs.
type Account struct {
	All     Group        `json:"all"`
	Queues  []Group      `json:"queues"`
	Teams   []Group      `json:"teams"`
	Windows []Group      `json:"windows"`
	Causes  []CauseCount `json:"causes"`
	// Lines and Unreadable count log lines.
	Lines      int `json:"lines"`
	Unreadable int `json:"unreadable"`
}

// collector makes an account from lines in the order of time.
type collector struct {
	filter  Filter
	window  time.Duration
	began   time.Time
	jobs    map[string]*job
	over    []*job
	all     Group
	queues  map[string]*Group
	teams   map[string]*Group
	windows map[time.Duration]*Group
	causes  map[Cause]*CauseCount
}

// Explain reads the logs and returns an account of the jobs that the filter chooses, in
// windows of the length.
func Explain(r *Reader, f Filter, window time.Duration) (Account, error) {
	c := &collector{
		filter: f, window: window, jobs: make(map[string]*job), all: Group{Name: "all"},
		queues: make(map[string]*Group), teams: make(map[string]*Group),
		windows: make(map[time.Duration]*Group), causes: make(map[Cause]*CauseCount),
	}
	for line, ok := r.Next(); ok; line, ok = r.Next() {
		c.add(line)
	}
	for _, id := range sortedKeys(c.jobs) {
		c.close(c.jobs[id])
	}
	return c.account(r), r.Err()
}

func (c *collector) add(l Line) {
	if c.began.IsZero() {
		c.began = l.Time
	}
	if l.Job == "" {
		return
	}
	j, ok := c.jobs[l.Job]
	if !ok {
		j = newJob(l.Job)
		c.jobs[l.Job] = j
	}
	wasOver := !j.ended.IsZero()
	j.add(l)
	if !wasOver && !j.ended.IsZero() {
		c.over = append(c.over, j)
	}
	c.sweep(l.Time)
}

// sweep closes the jobs that ended long ago.
func (c *collector) sweep(now time.Time) {
	n := 0
	for n < len(c.over) && now.Sub(c.over[n].ended) > jobKept {
		c.close(c.over[n])
		delete(c.jobs, c.over[n].id)
		n++
	}
	c.over = c.over[n:]
}

// close counts a job of which no further line is expected.
func (c *collector) close(j *job) {
	if j.began().IsZero() {
		return
	}
	// A call begins before the line that tells of it.
	began := max(j.began().Sub(c.began), 0)
	if !c.chooses(j, began) {
		return
	}
	at := began.Truncate(max(c.window, time.Millisecond))
	for _, g := range []*Group{&c.all, groupOf(c.queues, j.queue, j.queue), groupOf(c.teams, j.team, j.team), groupOf(c.windows, at, at.String())} {
		g.count(j)
	}
	if j.isLate() && j.phase == "completed" {
		c.countCauses(j.spent())
	}
}

func (c *collector) chooses(j *job, at time.Duration) bool {
	f := c.filter
	return (f.Queue == "" || f.Queue == j.queue) && (f.Team == "" || f.Team == j.team) && at >= f.From && (f.To == 0 || at < f.To)
}

func groupOf[K comparable](groups map[K]*Group, key K, name string) *Group {
	g, ok := groups[key]
	if !ok {
		g = &Group{Name: name}
		groups[key] = g
	}
	return g
}

func (g *Group) count(j *job) {
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

func (c *collector) countCauses(s Spent) {
	most, found := s.most()
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
		if found && cause == most {
			n.Jobs++
		}
	}
}

func (c *collector) account(r *Reader) Account {
	a := Account{All: c.all, Lines: r.Lines, Unreadable: r.Unreadable}
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
