package cagauge

import (
	"fmt"
	"strconv"
	"strings"
	"sync"

	"github.com/uber-go/tally/v4"
)

const (
	// shardLabel is the name of the label for the shard.
	shardLabel = "shard"
	// Others is the label for all names beyond maxLabels together.
	Others = "_others"
	// maxLabels bounds the series of one metric of a process: those of names that are gone are kept.
	maxLabels = 200
)

// byLabel reports a metric by shard and by a name, such as that of a queue.
type byLabel struct {
	scope tally.Scope
	// name is the name of the metric, and label that of the label for the names.
	name, label string

	mu     sync.Mutex
	gauges map[series]tally.Gauge
	// shown are the series of each shard that are not zero.
	shown map[int]map[series]float64
}

// series is one series of the metric.
type series struct {
	shard int
	value string
}

func newByLabel(scope tally.Scope, name, label string) *byLabel {
	return &byLabel{scope: scope, name: name, label: label, gauges: make(map[series]tally.Gauge), shown: make(map[int]map[series]float64)}
}

// LabelOf returns the label of the name of a queue or a team. Metrics have no other characters than letters, digits, dashes and
// underscores: the others are replaced by an underscore and their hexadecimal codes.
func LabelOf[N ~string](name N) string {
	var label strings.Builder
	for _, c := range []byte(name) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_':
			label.WriteByte(c)
		default:
			fmt.Fprintf(&label, "_%02x", c)
		}
	}
	return label.String()
}

// report sets the values of a shard by name. All other names have none.
func (b *byLabel) report(shard int, byName map[string]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	values := make(map[series]float64, len(byName))
	for name, v := range byName {
		values[b.seriesOf(shard, name)] += v
	}
	for s := range b.shown[shard] {
		if _, ok := values[s]; !ok {
			b.gauges[s].Update(0)
		}
	}
	for s, v := range values {
		b.gauges[s].Update(v)
	}
	b.shown[shard] = values
}

// seriesOf returns the series of a name, with its gauge.
func (b *byLabel) seriesOf(shard int, name string) series {
	s := series{shard: shard, value: LabelOf(name)}
	if _, ok := b.gauges[s]; !ok && len(b.gauges) >= maxLabels {
		s.value = Others
	}
	if _, ok := b.gauges[s]; !ok {
		b.gauges[s] = b.scope.Tagged(map[string]string{shardLabel: strconv.Itoa(shard), b.label: s.value}).Gauge(b.name)
	}
	return s
}
