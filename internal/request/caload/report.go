package caload

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minLatency = time.Microsecond
	maxLatency = 10 * time.Minute
	// latencyDigits is the precision of latencies in significant digits.
	latencyDigits = 3
)

// Latency summarises a histogram of latencies.
type Latency struct {
	Mean time.Duration `json:"mean_ns"`
	P50  time.Duration `json:"p50_ns"`
	P90  time.Duration `json:"p90_ns"`
	P99  time.Duration `json:"p99_ns"`
	P999 time.Duration `json:"p999_ns"`
	Max  time.Duration `json:"max_ns"`
}

// Group summarises the requests with one status and outcome. Status 0 stands
// for requests without a complete response.
type Group struct {
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
	Count   int64  `json:"count"`
	// Latency is measured from the scheduled arrival.
	Latency Latency `json:"latency"`
}

// Report is the result of a run.
type Report struct {
	Elapsed  time.Duration `json:"elapsed_ns"`
	Arrivals int64         `json:"arrivals"`
	// Unsent counts the arrivals that were not sent because too many requests
	// were in progress.
	Unsent int64 `json:"unsent"`
	// Latency is measured from the scheduled arrival, over all requests sent.
	Latency Latency `json:"latency"`
	// Service is the latency measured from the sending of the request.
	Service Latency `json:"service"`
	Groups  []Group `json:"groups"`
}

// Count returns the number of responses with the status.
func (r Report) Count(status int) int64 {
	var n int64
	for _, g := range r.Groups {
		if g.Status == status {
			n += g.Count
		}
	}
	return n
}

// WriteJSON writes the report as one JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteText writes the report as a table.
func (r Report) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "arrivals %d in %.2f s, unsent %d\n%-24s%10s%10s%10s%10s%10s%10s\n",
		r.Arrivals, r.Elapsed.Seconds(), r.Unsent,
		"latency in ms", "count", "mean", "p50", "p99", "p99.9", "max")
	if err != nil {
		return err
	}
	if err := writeRow(w, "from arrival", r.Arrivals-r.Unsent, r.Latency); err != nil {
		return err
	}
	if err := writeRow(w, "from sending", r.Arrivals-r.Unsent, r.Service); err != nil {
		return err
	}
	for _, g := range r.Groups {
		if err := writeRow(w, fmt.Sprintf("  %d %s", g.Status, g.Outcome), g.Count, g.Latency); err != nil {
			return err
		}
	}
	return nil
}

func writeRow(w io.Writer, name string, count int64, l Latency) error {
	_, err := fmt.Fprintf(w, "%-24s%10d%10.2f%10.2f%10.2f%10.2f%10.2f\n", name, count,
		millis(l.Mean), millis(l.P50), millis(l.P99), millis(l.P999), millis(l.Max))
	return err
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// groupKey identifies a group.
type groupKey struct {
	status  int
	outcome string
}

// recorder collects the latencies of a run.
type recorder struct {
	fromArrival *hdrhistogram.Histogram
	fromSending *hdrhistogram.Histogram
	groups      map[groupKey]*hdrhistogram.Histogram
}

func newRecorder() *recorder {
	return &recorder{
		fromArrival: newHistogram(),
		fromSending: newHistogram(),
		groups:      map[groupKey]*hdrhistogram.Histogram{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(minLatency), int64(maxLatency), latencyDigits)
}

func (r *recorder) record(k groupKey, fromArrival, fromSending time.Duration) {
	recordClamped(r.fromArrival, fromArrival)
	recordClamped(r.fromSending, fromSending)
	g, ok := r.groups[k]
	if !ok {
		g = newHistogram()
		r.groups[k] = g
	}
	recordClamped(g, fromArrival)
}

func recordClamped(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is clamped to the range of the histogram, so that no error can
	// occur.
	_ = h.RecordValue(int64(min(max(d, minLatency), maxLatency)))
}

func (r *recorder) report() Report {
	rep := Report{Latency: summarize(r.fromArrival), Service: summarize(r.fromSending)}
	for k, h := range r.groups {
		rep.Groups = append(rep.Groups, Group{
			Status:  k.status,
			Outcome: k.outcome,
			Count:   h.TotalCount(),
			Latency: summarize(h),
		})
	}
	slices.SortFunc(rep.Groups, func(a, b Group) int {
		if a.Status != b.Status {
			return a.Status - b.Status
		}
		return int(b.Count - a.Count)
	})
	return rep
}

func summarize(h *hdrhistogram.Histogram) Latency {
	quantile := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) }
	return Latency{
		Mean: time.Duration(h.Mean()),
		P50:  quantile(50),
		P90:  quantile(90),
		P99:  quantile(99),
		P999: quantile(99.9),
		Max:  time.Duration(h.Max()),
	}
}
