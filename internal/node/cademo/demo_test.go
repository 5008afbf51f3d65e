package cademo_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cli/caclient"
	"celeryarch.example/celeryarch/internal/node/caapi"
	"celeryarch.example/celeryarch/internal/node/cademo"
	"celeryarch.example/celeryarch/internal/node/caentry"
	"celeryarch.example/celeryarch/internal/standin/castandup"
)

// waitTimeout limits every wait in these tests. None normally takes nearly as
// long.
const waitTimeout = 30 * time.Second

// startDemo runs a demo until the end of the test and then checks that the
// upstreams counted no violations.
func startDemo(t *testing.T) (*cademo.Demo, context.CancelFunc) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	demo, err := cademo.NewDemo(ctx, cademo.Options{
		API: "127.0.0.1:0", Upstreams: 4,
		Deps: caentry.Deps{Logger: zerolog.Nop(), Scope: tally.NoopScope, MetricsHandler: promhttp.HandlerFor(prometheus.NewRegistry(), promhttp.HandlerOpts{}), Timer: catimer.NewService()},
	})
	if err != nil {
		t.Fatalf("NewDemo: %v", err)
	}
	go func() {
		if err := demo.Run(ctx); err != nil {
			t.Errorf("Run: %v", err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-demo.Done()
		if diff := cmp.Diff(castandup.Violations{}, demo.Violations()); diff != "" {
			t.Errorf("violations mismatch (-want +got):\n%s", diff)
		}
	})
	eventually(t, "the entry to be ready", demo.Ready)
	return demo, cancel
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("waited %v for %s", waitTimeout, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func clientOf(d *cademo.Demo, key string) caclient.Client {
	return caclient.Client{BaseURL: "http://" + d.APIAddress(), Key: key}
}

// requestUntilAnswered retries a request that fails, for example because the
// entry owns no upstream yet.
func requestUntilAnswered(t *testing.T, c caclient.Client, body string) string {
	t.Helper()
	var answer []byte
	eventually(t, "an answer", func() bool {
		var err error
		answer, err = c.Request(context.Background(), []byte(body), caclient.RequestOptions{})
		return err == nil
	})
	return string(answer)
}

func submission(payload string, size cawork.Resources) caapi.SubmitRequest {
	return caapi.SubmitRequest{Kind: cawork.WorkKindBatch, Tasks: 3, Size: size, Payload: json.RawMessage(payload)}
}

func smallSize() cawork.Resources { return cawork.Resources{CPU: 500, Memory: 64 * cawork.MiB} }

func TestRequestAndJobEndToEnd(t *testing.T) {
	demo, _ := startDemo(t)
	client := clientOf(demo, demo.Key())
	if diff := cmp.Diff("which red?", requestUntilAnswered(t, client, "which red?")); diff != "" {
		t.Errorf("answer mismatch (-want +got):\n%s", diff)
	}
	id, err := client.Submit(context.Background(), submission(`{"run_ms": 100, "result": "madder"}`, smallSize()), "")
	if err != nil {
		t.Fatalf("Submit: %v", err)
	}
	job, err := client.Get(context.Background(), id, waitTimeout)
	if err != nil {
		t.Fatalf("Get: %v", err)
	}
	if diff := cmp.Diff(cawork.OutcomeDone, job.Outcome); diff != "" {
		t.Errorf("outcome mismatch (-want +got):\n%s", diff)
	}
	for _, task := range job.Tasks {
		if diff := cmp.Diff("madder", task.Result); diff != "" {
			t.Errorf("result of task %d mismatch (-want +got):\n%s", task.Index, diff)
		}
	}
}

func TestOnlyOperatorsSeeStatusAndMetrics(t *testing.T) {
	demo, _ := startDemo(t)
	got := map[string]int{}
	for _, address := range []string{demo.APIAddress(), demo.OperatorsAddress()} {
		for _, path := range []string{caapi.PathStatus, caapi.PathMetrics} {
			answer, err := http.Get("http://" + address + path)
			if err != nil {
				t.Fatal(err)
			}
			_ = answer.Body.Close()
			name := strings.Replace(address, demo.APIAddress(), "callers", 1)
			got[strings.Replace(name, demo.OperatorsAddress(), "operators", 1)+path] = answer.StatusCode
		}
	}
	want := map[string]int{
		"callers/v1/status": http.StatusNotFound, "callers/metrics": http.StatusNotFound,
		"operators/v1/status": http.StatusOK, "operators/metrics": http.StatusOK,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("status codes (-want +got):\n%s", diff)
	}
}

func TestIdempotencyKeyIdentifiesOneJob(t *testing.T) {
	demo, _ := startDemo(t)
	client := clientOf(demo, demo.Key())
	first, err := client.Submit(context.Background(), submission(`{}`, smallSize()), "report-7")
	if err != nil {
		t.Fatalf("Submit: %v", err)
	}
	second, err := client.Submit(context.Background(), submission(`{}`, smallSize()), "report-7")
	if err != nil {
		t.Fatalf("second Submit: %v", err)
	}
	if diff := cmp.Diff(first, second); diff != "" {
		t.Errorf("job mismatch (-first +second):\n%s", diff)
	}
	if _, err := client.Get(context.Background(), first, waitTimeout); err != nil {
		t.Fatalf("Get: %v", err)
	}
	_, err = client.Submit(context.Background(), submission(`{"run_ms": 1}`, smallSize()), "report-7")
	if diff := cmp.Diff(cakind.KindConflict, cakind.Of(err)); diff != "" {
		t.Errorf("kind of the error for a different job with the key of an ended job (-want +got):\n%s", diff)
	}
}

func TestJobPastDeadlineReportsReason(t *testing.T) {
	demo, _ := startDemo(t)
	client := clientOf(demo, demo.Key())
	requestUntilAnswered(t, client, "ready")
	wholeUpstream := cawork.Resources{CPU: cawork.Cores(4), Memory: cawork.GiB}
	for range 4 {
		id, err := client.Submit(context.Background(), caapi.SubmitRequest{Kind: cawork.WorkKindService, Size: wholeUpstream}, "")
		if err != nil {
			t.Fatalf("Submit: %v", err)
		}
		eventually(t, "the service to run", func() bool {
			job, err := client.Get(context.Background(), id, 0)
			return err == nil && job.Tasks[0].Running
		})
	}
	withDeadline := caapi.SubmitRequest{Kind: cawork.WorkKindBatch, Size: wholeUpstream, Deadline: caapi.Duration(time.Second)}
	id, err := client.Submit(context.Background(), withDeadline, "")
	if err != nil {
		t.Fatalf("Submit: %v", err)
	}
	job, err := client.Get(context.Background(), id, waitTimeout)
	if err != nil {
		t.Fatalf("Get: %v", err)
	}
	if diff := cmp.Diff([]string{"not_run", "deadline"}, []string{job.Outcome.String(), job.Reason}); diff != "" {
		t.Errorf("outcome and reason mismatch (-want +got):\n%s", diff)
	}
}

func TestRejectionsReportErrorKind(t *testing.T) {
	demo, _ := startDemo(t)
	client := clientOf(demo, demo.Key())
	requestUntilAnswered(t, client, "ready")
	oversize := cawork.Resources{CPU: cawork.Cores(1000), Memory: cawork.GiB}
	tests := []struct {
		name   string
		client caclient.Client
		submit caapi.SubmitRequest
		want   cakind.Kind
	}{
		{"unknown key", clientOf(demo, "cak_kwrong_wrong"), submission(`{}`, smallSize()), cakind.KindUnauthenticated},
		{"no key", clientOf(demo, ""), submission(`{}`, smallSize()), cakind.KindUnauthenticated},
		{"oversize job", client, submission(`{}`, oversize), cakind.KindNeverFits},
		{"no size", client, submission(`{}`, cawork.Resources{}), cakind.KindInvalid},
	}
	for _, test := range tests {
		_, err := test.client.Submit(context.Background(), test.submit, "")
		if diff := cmp.Diff(test.want, cakind.Of(err)); diff != "" {
			t.Errorf("%s: kind mismatch (-want +got):\n%s\n%v", test.name, diff, err)
		}
	}
	_, err := client.Get(context.Background(), "no-such.job", 0)
	if diff := cmp.Diff(cakind.KindNotFound, cakind.Of(err)); diff != "" {
		t.Errorf("unknown job: kind mismatch (-want +got):\n%s", diff)
	}
}

func TestShutdownFinishesRequestsInProgress(t *testing.T) {
	demo, cancel := startDemo(t)
	requestUntilAnswered(t, clientOf(demo, demo.Key()), "ready")
	request, err := http.NewRequest(http.MethodPost, "http://"+demo.APIAddress()+caapi.PathRequests,
		bytes.NewBufferString(`{"sleep_ms": 2000, "answer_bytes": 100000}`))
	if err != nil {
		t.Fatalf("NewRequest: %v", err)
	}
	request.Header.Set("Authorization", "Bearer "+demo.Key())
	answerBytes := make(chan int, 1)
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			answerBytes <- -1
			return
		}
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		if err != nil {
			answerBytes <- -2
			return
		}
		answerBytes <- len(body)
	}()
	eventually(t, "the request to run", func() bool { return demo.RequestsRunning() > 0 })
	cancel()
	if diff := cmp.Diff(100000, <-answerBytes); diff != "" {
		t.Errorf("bytes of the answer mismatch (-want +got):\n%s", diff)
	}
}
