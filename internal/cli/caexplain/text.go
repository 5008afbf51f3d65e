package caexplain

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
)

// WriteText writes the summary as tables.
func (a Summary) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "%d lines, %d unreadable\n\n", a.Lines, a.Unreadable)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, section := range []struct {
		title  string
		groups []Group
	}{{"", []Group{a.All}}, {"queue", a.Queues}, {"team", a.Teams}, {"from", a.Windows}} {
		fmt.Fprintf(t, "%s\tjobs\tcompleted\tlate\tfailed\tcanceled\trefused\topen\t\n", section.title)
		for _, g := range section.groups {
			fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", g.Name, g.Jobs, g.Completed, g.Late, g.Failed, g.Canceled, g.Refused, g.Open)
		}
		fmt.Fprintln(t)
	}
	fmt.Fprintln(t, "late jobs, by cause\tjobs\tseconds\tlongest\t")
	for _, c := range a.Causes {
		fmt.Fprintf(t, "%s\t%d\t%.1f\t%.1f\t\n", c.Cause, c.Jobs, c.SecondsTotal, c.SecondsLongest)
	}
	return t.Flush()
}

// WriteText writes the timeline of a job.
func (h History) WriteText(w io.Writer) error {
	late := ""
	if h.Late {
		late = ", late"
	}
	fmt.Fprintf(w, "job %s, queue %s, team %s: %s after %s, objective %s%s, refused %d times\n",
		h.Job, h.Queue, h.Team, formatPhase(h.Phase), formatSeconds(h.Took), formatSeconds(h.Objective), late, h.Refusals)
	for _, s := range h.CauseTimes {
		fmt.Fprintf(w, "  %-13s %s\n", s.Cause, formatSeconds(s.Took))
	}
	fmt.Fprintln(w)
	for _, m := range h.Timeline {
		if _, err := fmt.Fprintf(w, "%9.3f  %s\n", m.After.Seconds(), m.Line.text()); err != nil {
			return err
		}
	}
	return nil
}

func formatPhase(phase string) string {
	if phase == "" {
		return "no end known"
	}
	return phase
}

func formatSeconds(d time.Duration) string { return fmt.Sprintf("%.3f s", d.Seconds()) }

// text formats a log line for the timeline.
func (l Line) text() string {
	var b strings.Builder
	b.WriteString(l.eventName())
	if l.isTaskEvent() {
		fmt.Fprintf(&b, " step %d task %d run %d on %s", l.Step, l.Task, l.Run, l.Upstream)
	}
	if l.Event == caevent.UpstreamCrashed {
		fmt.Fprintf(&b, " %s, suspected of it: %s;", l.Upstream, strings.Join(l.SuspectJobs, ", "))
	}
	if l.Event == caevent.JobGivenUp {
		fmt.Fprintf(&b, " step %d task %d, crashed under it: %s", l.Step, l.Task, strings.Join(l.Upstreams, ", "))
	}
	for _, detail := range []string{l.Method, l.Outcome, l.Ending, l.Phase, l.Cause, l.Error} {
		if detail != "" {
			b.WriteString(" " + detail)
		}
	}
	if l.Status != 0 {
		fmt.Fprintf(&b, " %d", l.Status)
	}
	return b.String()
}
