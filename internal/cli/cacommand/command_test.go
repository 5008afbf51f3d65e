package cacommand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cli/caoption"
	"celeryarch.example/celeryarch/internal/config/casettings"
	"celeryarch.example/celeryarch/internal/node/caapi"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/standin/castandlog"
)

const cellFile = `{
  "zones": {"a": {"allowance_percent": 100}},
  "teams": {"knit": {"share": 1, "limit": {"processors": 1, "memory": "1GiB", "accelerators": 0}}}
}
`

// testCLI runs commands against an in-memory log and a temporary configuration folder.
type testCLI struct {
	t   *testing.T
	log *castandlog.Log
	dir string
}

func newTestCLI(t *testing.T) testCLI {
	t.Helper()
	cli := testCLI{t: t, log: castandlog.NewLog(time.Now, time.Hour), dir: t.TempDir()}
	cli.write("10-cell.jsonc", cellFile)
	t.Setenv("CELERYARCH_LOG", "http://log")
	return cli
}

func (cli testCLI) write(name, content string) {
	cli.t.Helper()
	if err := os.WriteFile(filepath.Join(cli.dir, name), []byte(content), 0o600); err != nil {
		cli.t.Fatal(err)
	}
}

// runResult is the exit code and output of a command. DIR replaces the path of the folder.
type runResult struct {
	Code   ExitCode
	Stdout string
	Stderr string
}

func (cli testCLI) run(args ...string) runResult {
	cli.t.Helper()
	var stdout, stderr bytes.Buffer
	r := Runners{Log: func(string) caplatform.Log { return cli.log }, Version: "1"}
	code := RunContext(cli.t.Context(), args, Output{Stdout: &stdout, Stderr: &stderr}, r)
	replacer := strings.NewReplacer(cli.dir, "DIR")
	return runResult{code, replacer.Replace(stdout.String()), replacer.Replace(stderr.String())}
}

func TestConfigCommands(t *testing.T) {
	cli := newTestCLI(t)
	change := func(name, content string) func() { return func() { cli.write(name, content) } }
	noChange := func() {}
	steps := []struct {
		name   string
		before func()
		args   []string
		want   runResult
	}{
		{"check", noChange, []string{"config", "check", cli.dir}, runResult{Stdout: "ok: 1 zones, 1 teams, 0 keys, 0 open queues, hash a0a1b7f0516e\n"}},
		{"publish", noChange, []string{"config", "publish", cli.dir}, runResult{Stdout: "version 1 is accepted\n"}},
		{"publish again", noChange, []string{"config", "publish", cli.dir}, runResult{Stdout: "version 1 is accepted\n"}},
		{"diff", change("20.json", `{"teams": {"knit": {"share": 2}}}`), []string{"config", "diff", cli.dir}, runResult{Stdout: "1 changes to version 1\n~ teams.knit.share: 1 -> 2\n"}},
		{"publish on a base", noChange, []string{"config", "publish", "--base=1", "--change-id=c2", cli.dir}, runResult{Stdout: "version 2 is accepted\n"}},
		{"retry with the same change ID", change("30.json", `{"key_freshness": "1m"}`), []string{"config", "publish", "--base=1", "--change-id=c2", cli.dir}, runResult{Stdout: "version 2 is accepted\n"}},
		{"conflict", noChange, []string{"config", "publish", "--base=1", cli.dir}, runResult{ExitConflict, "", "celeryarch: conflict: the change is based on version 1, but version 2 of change c2 is in force; look at it with config diff\n"}},
		{"reset", noChange, []string{"config", "publish", "--reset", "--change-id=r", cli.dir}, runResult{Stdout: "version 3 is accepted\n"}},
		{"refused", change("40.json", "{\n  \"teams\": {\"knit\": {\"share\": 0}},\n}"), []string{"config", "publish", cli.dir}, runResult{ExitInvalid, "", "40.json:2:31: teams.knit.share: must be a number above 0\n"}},
		{"rolled back", func() { _ = os.Remove(filepath.Join(cli.dir, "40.json")) }, []string{"config", "check", cli.dir}, runResult{Stdout: "ok: 1 zones, 1 teams, 0 keys, 0 open queues, hash aa972e69a993\n"}},
		{"log down", func() { cli.log.SetFailure(castandlog.Failure{Down: true}) }, []string{"config", "diff", "--timeout=1s", cli.dir}, runResult{ExitUnavailable, "", "celeryarch: the log cannot be read: the log is down\n"}},
		{"no folder", noChange, []string{"config", "check", "nowhere"}, runResult{ExitInvalid, "", "the folder cannot be read: open .: no such file or directory\n"}},
	}
	for _, s := range steps {
		s.before()
		if diff := cmp.Diff(s.want, cli.run(s.args...)); diff != "" {
			t.Errorf("%s: %s", s.name, diff)
		}
	}
}

// An entry that is considered dead may still serve, so that the command must wait for
// it, too.
func TestPublishWaitsForAllEntries(t *testing.T) {
	cli := newTestCLI(t)
	statusCalls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		statusCalls++
		_, _ = fmt.Fprintf(w, `{"entries": [{"vm": "e1", "config_version": 1}, {"vm": "e2", "liveness": "dead", "config_version": %d}]}`, statusCalls/2)
	}))
	defer server.Close()
	t.Setenv("CELERYARCH_OPERATORS", server.URL)
	got := cli.run("config", "publish", "--wait=5s", cli.dir)
	if diff := cmp.Diff(runResult{Stdout: "version 1 is accepted\nin force in all 2 entries\n"}, got); diff != "" {
		t.Error(diff)
	}
	statusCalls = -1000
	got = cli.run("config", "publish", "--wait=100ms", cli.dir)
	stderr := regexp.MustCompile(`version -\d+`).ReplaceAllString(got.Stderr, "version -N")
	want := runResult{ExitUnknown, "version 1 is accepted\n", "celeryarch: version 1 is accepted, but not seen in force at e2 (dead, version -N)\n"}
	if diff := cmp.Diff(want, runResult{got.Code, got.Stdout, stderr}); diff != "" {
		t.Error(diff)
	}
}

func TestProblemsAsJSON(t *testing.T) {
	cli := newTestCLI(t)
	cli.write("20.json", `{"team": 1}`)
	got := cli.run("--json", "config", "check", cli.dir)
	var output errorOutput
	if err := json.Unmarshal([]byte(got.Stdout), &output); err != nil {
		t.Fatal(err)
	}
	output.Message = ""
	want := errorOutput{Kind: cakind.KindInvalid, Problems: []problemOutput{{
		File: "20.json", Line: 1, Column: 2, Path: "team",
		Reason: "unknown field; known are zones, teams, keys, queues, policy, key_freshness, unconfirmed_keys",
	}}}
	if diff := cmp.Diff(want, output); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(runResult{Code: ExitInvalid}, runResult{Code: got.Code, Stderr: got.Stderr}); diff != "" {
		t.Error(diff)
	}
}

func TestKeyCommands(t *testing.T) {
	cli := newTestCLI(t)
	got := cli.run("--json", "key", "new", "--team=knit", "--dir="+cli.dir)
	var key keyNewResult
	if err := json.Unmarshal([]byte(got.Stdout), &key); err != nil {
		t.Fatal(err)
	}
	file, err := os.ReadFile(filepath.Join(cli.dir, filepath.Base(key.File)))
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(string(file), key.Key) || !strings.Contains(string(file), string(key.SHA256)) {
		t.Errorf("the file must hold the hash, not the key: %s", file)
	}
	id := string(key.ID)
	steps := []struct {
		name string
		args []string
		want runResult
	}{
		{"withdraw", []string{"key", "withdraw", "--dir=" + cli.dir, id}, runResult{Stdout: "wrote DIR/90-key-ID-withdrawn.json\nthe key works until this is in force: celeryarch config publish DIR\n"}},
		{"withdraw again", []string{"key", "withdraw", "--dir=" + cli.dir, id}, runResult{ExitConflict, "", "celeryarch: key \"ID\" is withdrawn already\n"}},
		{"unknown key", []string{"key", "withdraw", "--dir=" + cli.dir, "k0"}, runResult{ExitNotFound, "", "celeryarch: the folder DIR has no key \"k0\"\n"}},
		{"unknown team", []string{"key", "new", "--team=spin", "--dir=" + cli.dir}, runResult{ExitInvalid, "", "50-key-NEW.json:4:15: keys.NEW.team: team \"spin\" does not exist\n"}},
	}
	newKeyID := regexp.MustCompile(`k[0-9a-f]{12}`)
	for _, s := range steps {
		got := cli.run(s.args...)
		got.Stdout, got.Stderr = strings.ReplaceAll(got.Stdout, id, "ID"), strings.ReplaceAll(got.Stderr, id, "ID")
		got.Stderr = newKeyID.ReplaceAllString(got.Stderr, "NEW")
		if diff := cmp.Diff(s.want, got); diff != "" {
			t.Errorf("%s: %s", s.name, diff)
		}
	}
	files, err := os.ReadDir(cli.dir)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(3, len(files)); diff != "" {
		t.Error("a refused key left a file: ", diff)
	}
}

// A later file of the folder can grant the key again. Then the command must fail,
// since the key would stay valid.
func TestWithdrawFailsWhenALaterFileGrantsTheKey(t *testing.T) {
	cli := newTestCLI(t)
	hash := strings.Repeat("0", 64)
	cli.write("95.json", fmt.Sprintf(`{"keys": {"k1": {"team": "knit", "sha256": %q, "withdrawn": false}}}`, hash))
	got := cli.run("key", "withdraw", "--dir="+cli.dir, "k1")
	want := runResult{ExitConflict, "", "celeryarch: a later file of the folder overrides DIR/90-key-k1-withdrawn.json\n"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// startEntryAPI starts a server with canned responses of the API of an entry.
func startEntryAPI(t *testing.T) string {
	t.Helper()
	job := caapi.JobStatus{
		JobID: "j1", Team: "knit", Outcome: cawork.OutcomeDone,
		Tasks: []caapi.TaskStatus{{Outcome: cawork.OutcomeDone, Attempts: 1, Result: "ok"}},
	}
	failed := job
	failed.JobID, failed.Outcome, failed.Reason = "j2", cawork.OutcomeFailed, "no attempt is left"
	pending := caapi.JobStatus{JobID: "slow", Team: "knit"}
	submissions := 0
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/jobs", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer good" {
			writeError(w, cakind.KindUnauthenticated, "the key is not known")
			return
		}
		body, _ := io.ReadAll(r.Body)
		switch submissions++; submissions {
		case 1:
			panic(http.ErrAbortHandler)
		case 2:
			w.Header().Set("Retry-After", "1")
			writeError(w, cakind.KindUnavailable, "the key cannot be checked")
			return
		case 3:
			w.Header().Set("Retry-After", "1")
			writeError(w, cakind.KindNotStarted, "the shard may not act yet")
			return
		}
		want := `{"kind":"batch","tasks":2,"size":{"cpu_milli":500,"memory_bytes":268435456,"accelerators":0},"run_time":"30s","payload":{"run_ms":1}}`
		if diff := cmp.Diff(want, string(body)); diff != "" || r.Header.Get("Idempotency-Key") != "once" {
			writeError(w, cakind.KindInvalid, diff)
			return
		}
		w.WriteHeader(http.StatusAccepted)
		_ = json.NewEncoder(w).Encode(caapi.SubmitResponse{JobID: "j1"})
	})
	mux.HandleFunc("GET /v1/jobs/j1", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(job) })
	mux.HandleFunc("GET /v1/jobs/j2", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(failed) })
	mux.HandleFunc("GET /v1/jobs/slow", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(pending) })
	polls := 0
	mux.HandleFunc("GET /v1/jobs/late", func(w http.ResponseWriter, _ *http.Request) {
		polls++
		switch polls {
		case 1:
			writeError(w, cakind.KindDraining, "the entry is draining")
		case 2:
			_ = json.NewEncoder(w).Encode(pending)
		default:
			_ = json.NewEncoder(w).Encode(job)
		}
	})
	mux.HandleFunc("GET /v1/jobs/none", func(w http.ResponseWriter, _ *http.Request) { writeError(w, cakind.KindNotFound, "no such job") })
	mux.HandleFunc("DELETE /v1/jobs/j1", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("POST /v1/requests", func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"vm": "e1", "ready": true, "free": {"cpu_milli": 1500, "memory_bytes": 1073741824, "accelerators": 0},
			"teams": [{"team": "knit", "share": 2, "limit": {"cpu_milli": 36028797018963967, "memory_bytes": 5, "accelerators": 1}},
			{"team": "weave", "zones": ["a", "b"]}], "shards": [], "seeds": ["x"]}`)
	})
	mux.HandleFunc("GET /v1/jobs/lost", func(_ http.ResponseWriter, _ *http.Request) {
		panic(http.ErrAbortHandler)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

const wantStatusText = `vm: e1
ready: true
free: 1.5 cores, 1GiB, 0 acc

teams: 2
  team   share  limit                       zones
  knit   2      unlimited cores, 5B, 1 acc  -
  weave  -      -                           a,b

shards: 0

seeds: 1
  x
`

func writeError(w http.ResponseWriter, k cakind.Kind, message string) {
	w.WriteHeader(cakind.ResponseTo(k).Status)
	_ = json.NewEncoder(w).Encode(cakind.ErrorBody{Kind: k, Message: message})
}

func TestClientCommands(t *testing.T) {
	cli := newTestCLI(t)
	entry := startEntryAPI(t)
	t.Setenv("CELERYARCH_ENTRY", entry)
	t.Setenv("CELERYARCH_OPERATORS", entry)
	submit := []string{"submit", "--tasks=2", "--processors=0.5", "--run-time=30s", `--payload={"run_ms":1}`, "--idempotency-key=once"}
	done := "job j1 of team knit: done\n  task 0: done after 1 attempts: ok\n"
	pending := "job slow of team knit: pending\n"
	failed := "job j2 of team knit: failed\nreason: no attempt is left\n  task 0: done after 1 attempts: ok\n"
	tests := []struct {
		name string
		args []string
		want runResult
	}{
		{"submit", append(submit, "--key=good"), runResult{Stdout: "j1\n"}},
		{"submit and wait", append(submit, "--key=good", "--wait=1s"), runResult{Stdout: done}},
		{"bad key", append(submit, "--key=bad"), runResult{ExitDenied, "", "celeryarch: the key is not known\n"}},
		{"payload that is not JSON", []string{"submit", "--payload=x"}, runResult{ExitInvalid, "", "celeryarch: the payload of a job must be JSON\n"}},
		{"request", []string{"submit", "--kind=lookup", "--payload=hello"}, runResult{Stdout: "hello"}},
		{"get", []string{"get", "j1"}, runResult{Stdout: done}},
		{"get a failed job", []string{"get", "j2"}, runResult{ExitFailed, failed, ""}},
		{"get a pending job", []string{"get", "slow"}, runResult{Stdout: pending}},
		{"wait for a pending job", []string{"get", "slow", "--wait=300ms"}, runResult{Code: ExitPending, Stdout: pending}},
		{"wait while an entry shuts down", []string{"get", "late", "--wait=20s"}, runResult{Stdout: done}},
		{"quoted payload", []string{"submit", "--kind=lookup", `--payload="a"`}, runResult{Stdout: `"a"`}},
		{"get an unknown job", []string{"get", "none"}, runResult{ExitNotFound, "", "celeryarch: no such job\n"}},
		{"cancel", []string{"cancel", "j1"}, runResult{Stdout: "job j1 is canceled\n"}},
		{"status", []string{"status"}, runResult{Stdout: wantStatusText}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, cli.run(test.args...)); diff != "" {
				t.Error(diff)
			}
		})
	}
	if diff := cmp.Diff(ExitUnknown, cli.run("get", "lost").Code); diff != "" {
		t.Error("exit code after a lost response: ", diff)
	}
	if diff := cmp.Diff(ExitUnavailable, cli.run("get", "j1", "--entry=http://127.0.0.1:1").Code); diff != "" {
		t.Error("exit code for an unreachable entry: ", diff)
	}
}

func TestRunnersReceiveTheirOptions(t *testing.T) {
	settings := filepath.Join("..", "..", "..", "examples", "haugland", "settings", "entry-1.jsonc")
	var got []string
	record := func(text string) error { got = append(got, text); return nil }
	r := Runners{
		Demo:       func(_ context.Context, _ Output, o caoption.Demo) error { return record(o.API) },
		Entry:      func(_ context.Context, _ Output, s casettings.Settings) error { return record(string(s.VM)) },
		StandinLog: func(_ context.Context, _ Output, o caoption.StandinLog) error { return record(o.Listen) },
		StandinVMs: func(_ context.Context, _ Output, o caoption.StandinVMs) error { return record(o.File) },
		StandinUpstream: func(_ context.Context, _ Output, o caoption.StandinUpstream) error {
			return record(o.ID + " " + o.Size.Resources().String())
		},
		Load: func(_ context.Context, _ Output, o caoption.Load) error { return record(fmt.Sprint(o.Rate)) },
	}
	for _, args := range []string{
		"demo", "entry --settings=" + settings, "standin log --listen=l", "standin vms --listen=l --file=f",
		"standin upstream --listen=l --id=u1 --zone=a --processors=16 --memory=32GiB", "load --rate=5",
	} {
		if code := RunContext(t.Context(), strings.Fields(args), Output{Stdout: io.Discard, Stderr: io.Discard}, r); code != ExitOK {
			t.Errorf("%s: exit code %s", args, code)
		}
	}
	want := []string{"127.0.0.1:7100", "entry-1", "l", "f", "u1 16.000 cores, 32768 MiB, 0 accelerators", "5"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestEveryKindHasAnExitCode(t *testing.T) {
	for _, k := range cakind.KindValues() {
		code, ok := exitCodesByKind[k]
		if !ok {
			t.Errorf("%s has no exit code", k)
		}
		if (code == ExitInternal) != (k == cakind.KindInternal) || code == ExitOK {
			t.Errorf("%s has exit code %s", k, code)
		}
	}
	for _, code := range ExitCodeValues() {
		if entry := fmt.Sprintf("%d %s", code, code); !strings.Contains(caoption.Help, entry) {
			t.Errorf("the help lacks %q", entry)
		}
	}
}
