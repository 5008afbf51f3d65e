// Package caopenjobs reads from the metrics of entries how many accepted jobs have not ended.
package caopenjobs

import (
	"context"
	"net/http"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/cell/cagauge"
)

// maxMetricsBytes bounds the metrics of one entry.
const maxMetricsBytes = 16 << 20

// Read returns the counts by the labels of queues, added up over the addresses of the metrics of entries. It fails unless all of them
// answer: any of them may lead a shard.
func Read(ctx context.Context, client *http.Client, metricsPrefix string, urls []string) (map[string]int, error) {
	counts := make(map[string]int)
	for _, url := range urls {
		if err := add(ctx, client, metricsPrefix+"_"+cagauge.OpenJobsName, url, counts); err != nil {
			return nil, err
		}
	}
	return counts, nil
}

// add adds the counts of one entry.
func add(ctx context.Context, client *http.Client, name, url string, counts map[string]int) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return cakind.Wrap(cakind.KindInvalid, err, "address of metrics %q", url)
	}
	response, err := client.Do(request)
	if err != nil {
		return cakind.Wrap(cakind.KindUnavailable, err, "read metrics")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return cakind.New(cakind.KindUnavailable, "%s answered %s", url, response.Status)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(http.MaxBytesReader(nil, response.Body, maxMetricsBytes))
	if err != nil {
		return cakind.Wrap(cakind.KindInvalid, err, "metrics of %s", url)
	}
	for _, m := range families[name].GetMetric() {
		for _, label := range m.GetLabel() {
			if label.GetName() == cagauge.QueueLabel {
				counts[label.GetValue()] += int(m.GetGauge().GetValue())
			}
		}
	}
	return nil
}
