// Package caopenjobs reads from the metrics of entries how many accepted jobs have not ended, and what teams have running.
package caopenjobs

import (
	"context"
	"net/http"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/cell/cagauge"
)

// maxMetricsBytes bounds the metrics of one entry.
const maxMetricsBytes = 16 << 20

// OpenWork is the work of a cell that has not ended, by the labels of queues and teams.
type OpenWork struct {
	// Queues and Teams are how many accepted jobs have not ended, and Cores what the running tasks of a team have.
	Queues, Teams, Cores map[string]float64
}

// Read returns the open work, added up over the addresses of the metrics of entries. It fails unless all of them
// answer: any of them may lead a shard.
func Read(ctx context.Context, client *http.Client, metricsPrefix string, urls []string) (OpenWork, error) {
	w := OpenWork{Queues: make(map[string]float64), Teams: make(map[string]float64), Cores: make(map[string]float64)}
	for _, url := range urls {
		if err := w.add(ctx, client, metricsPrefix+"_", url); err != nil {
			return OpenWork{}, err
		}
	}
	return w, nil
}

// add adds the figures of one entry.
func (w OpenWork) add(ctx context.Context, client *http.Client, prefix, url string) error {
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
	addByLabel(w.Queues, families[prefix+cagauge.OpenJobsName], cagauge.QueueLabel)
	addByLabel(w.Teams, families[prefix+cagauge.TeamJobsName], cagauge.TeamLabel)
	addByLabel(w.Cores, families[prefix+cagauge.TeamCoresName], cagauge.TeamLabel)
	return nil
}

// addByLabel adds the values of a metric by one of its labels.
func addByLabel(sums map[string]float64, family *dto.MetricFamily, name string) {
	for _, m := range family.GetMetric() {
		for _, label := range m.GetLabel() {
			if label.GetName() == name {
				sums[label.GetValue()] += m.GetGauge().GetValue()
			}
		}
	}
}
