// Package cagauge reports figures of the shards that an entry leads, as metrics with a bounded number of
// labels.
package cagauge

import (
	"fmt"
	"strconv"
	"strings"
	"sync"

	"github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/cell/caspec"
)

const (
	// OpenJobsName is the name of the metric.
	OpenJobsName = "open_jobs"
	// QueueLabel is the name of the label for the queue, and shardLabel that for the shard.
	QueueLabel = "queue"
	shardLabel = "shard"
	// OtherQueues is the label for the jobs of all queues beyond maxQueues together.
	OtherQueues = "_others"
	// maxQueues bounds the labels of one process: metrics of queues that are gone are kept.
	maxQueues = 200
)

// OpenJobs reports how many accepted jobs of each queue have not ended, for the shards that an entry
// leads.
type OpenJobs struct {
	scope tally.Scope

	mu     sync.Mutex
	gauges map[series]tally.Gauge
	// shown are the series of each shard that are not zero.
	shown map[int]map[series]float64
}

// series is one series of the metric.
type series struct {
	shard int
	queue string
}

// LabelOf returns the label of a queue. Metrics have no other characters than letters, digits, dashes and
// underscores: the others are replaced by an underscore and their hexadecimal codes.
func LabelOf(queue caspec.QueueName) string {
	var label strings.Builder
	for _, c := range []byte(queue) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_':
			label.WriteByte(c)
		default:
			fmt.Fprintf(&label, "_%02x", c)
		}
	}
	return label.String()
}

// NewOpenJobs returns OpenJobs that report to the scope.
func NewOpenJobs(scope tally.Scope) *OpenJobs {
	return &OpenJobs{scope: scope, gauges: make(map[series]tally.Gauge), shown: make(map[int]map[series]float64)}
}

// Report sets the counts of a shard by queue. All other queues have none. The leader of a shard reports no counts
// when it stops leading.
func (o *OpenJobs) Report(shard int, counts map[caspec.QueueName]int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	values := make(map[series]float64, len(counts))
	for queue, n := range counts {
		values[o.seriesOf(shard, queue)] += float64(n)
	}
	for s := range o.shown[shard] {
		if _, ok := values[s]; !ok {
			o.gauges[s].Update(0)
		}
	}
	for s, v := range values {
		o.gauges[s].Update(v)
	}
	o.shown[shard] = values
}

// seriesOf returns the series of a queue, with its gauge.
func (o *OpenJobs) seriesOf(shard int, queue caspec.QueueName) series {
	s := series{shard: shard, queue: LabelOf(queue)}
	if _, ok := o.gauges[s]; !ok && len(o.gauges) >= maxQueues {
		s.queue = OtherQueues
	}
	if _, ok := o.gauges[s]; !ok {
		o.gauges[s] = o.scope.Tagged(map[string]string{shardLabel: strconv.Itoa(shard), QueueLabel: s.queue}).Gauge(OpenJobsName)
	}
	return s
}
