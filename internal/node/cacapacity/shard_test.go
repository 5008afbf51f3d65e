package cacapacity_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cajob"
	"celeryarch.example/celeryarch/internal/coord/calog"
	"celeryarch.example/celeryarch/internal/coord/cashard"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

const shard cawork.ShardID = "entry-01-1764800000000000000"

const recordsPerJob = 4

var (
	began    = time.Unix(1_764_800_000, 0).UTC()
	jobSizes = []int{100, 1000, 10_000}
)

var shardFigures = []figure{
	{"records of jobs", "bytes", []int{1, 16, 128}, recordBytes},
	{"replication of jobs in one message", "bytes", []int{1, 16, 128}, replicateBytes},
	{"one heartbeat to a backup", "bytes", []int{1, 2, 3}, replicaHeartbeats},
	{"one job (4 records) applied beside so many open", "us", jobSizes, applyTime},
	{"one job (4 records) encoded and sent to a backup", "us", []int{1, 16, 128}, replicateTime},
	{"jobs in the archive of the log", "bytes", []int{1, 16, 128}, archiveBytes},
	{"survey of the archive of jobs", "bytes", jobSizes, archiveReadBytes},
	{"survey of the archive of jobs with its service", "us", jobSizes, archiveReadTime},
	{"heap of a survey of the archive of jobs", "bytes", jobSizes, archiveHeap},
	{"snapshot of open jobs", "bytes", jobSizes, snapshotBytes},
	{"snapshot of open jobs", "us", jobSizes, snapshotTime},
	{"snapshot of ended jobs", "bytes", []int{100, 1000, 4000}, endedSnapshotBytes},
}

func accepted(i int) (cawork.JobID, cajob.Record) {
	id := cawork.JobID(fmt.Sprintf("%s.%d", shard, i))
	job := cawork.Job{ID: id, Team: "nordtrikot", Accepted: began, Spec: cawork.JobSpec{
		Kind: cawork.WorkKindBatch, Tasks: 1, MaxAttempts: 5, Idempotent: true, RunTime: time.Minute,
		Size:    cawork.Resources{CPU: cawork.Cores(1), Memory: cawork.GiB},
		Payload: make([]byte, 256),
	}}
	return id, cajob.Record{Type: cajob.RecordJobAccepted, At: began, JobAccepted: &cajob.JobAccepted{Job: job, Key: "key-" + string(id)}}
}

// life returns the records of a job of one task with a payload of 256 bytes.
func life(i int) []cajob.Record {
	id, first := accepted(i)
	attempt := cawork.AttemptID(string(id) + ".0.1")
	intent := cajob.Intent{
		Attempt: attempt, Task: cawork.TaskRef{Job: id}, Upstream: cawork.UpstreamID(fmt.Sprintf("upstream-%04d", i%910)), View: 1,
	}
	return []cajob.Record{
		first,
		{Type: cajob.RecordAttemptsIntended, At: began, AttemptsIntended: &cajob.AttemptsIntended{Attempts: []cajob.Intent{intent}}},
		{Type: cajob.RecordAttemptSettled, At: began, AttemptSettled: &cajob.AttemptSettled{
			Attempt: attempt, State: cawork.TaskStateDone, Observed: true,
		}},
		{Type: cajob.RecordJobEnded, At: began, JobEnded: &cajob.JobEnded{Job: id, Outcome: cawork.OutcomeDone}},
	}
}

func encoded(b *testing.B, from, jobs int) [][]byte {
	b.Helper()
	var out [][]byte
	for i := range jobs {
		for _, r := range life(from + i) {
			out = append(out, must[[]byte](b)(r.Encode()))
		}
	}
	return out
}

// busy returns a state with open jobs, each with an attempt that runs.
func busy(b *testing.B, open int) *cajob.State {
	b.Helper()
	s := cajob.NewState(shard, cajob.DefaultRetention())
	for i := range open {
		for _, r := range life(i)[:2] {
			apply(b, s, r)
		}
	}
	return s
}

// rested returns a state with ended jobs.
func rested(b *testing.B, ended int) *cajob.State {
	b.Helper()
	s := cajob.NewState(shard, cajob.DefaultRetention())
	for i := range ended {
		for _, r := range life(i) {
			apply(b, s, r)
		}
	}
	return s
}

func apply(b *testing.B, s *cajob.State, r cajob.Record) {
	b.Helper()
	if err := s.ApplyRecord(r); err != nil {
		b.Fatal(err)
	}
}

func total(records [][]byte) float64 {
	sum := 0
	for _, r := range records {
		sum += len(r)
	}
	return float64(sum)
}

func recordBytes(b *testing.B, jobs int) float64 { return total(encoded(b, 0, jobs)) }

func request(records [][]byte) cashard.ReplicateRequest {
	return cashard.ReplicateRequest{
		To: cashard.Member{VM: "entry-02", Incarnation: 1_764_800_000_000_000_000},
		View: cashard.View{
			Shard: shard, Number: 1, Witness: "upstream-0001",
			Primary: cashard.Member{VM: "entry-01", Incarnation: 1_764_800_000_000_000_000},
			Backup:  cashard.Member{VM: "entry-02", Incarnation: 1_764_800_000_000_000_000},
		},
		First: 1000, Records: records, Settled: true,
	}
}

func bothBytes(b *testing.B, r cashard.ReplicateRequest) float64 {
	b.Helper()
	out := must[[]byte](b)(cbor.Marshal(r))
	back := must[[]byte](b)(cbor.Marshal(cashard.ReplicateReply{Adopted: 1, Last: 1000}))
	return float64(len(out) + len(back))
}

func replicateBytes(b *testing.B, jobs int) float64 {
	return bothBytes(b, request(encoded(b, 0, jobs)))
}

func replicaHeartbeats(b *testing.B, shards int) float64 {
	return float64(shards) * bothBytes(b, request(nil))
}

func replicateTime(b *testing.B, jobs int) float64 {
	return microseconds(20_000/jobs/10+1, func() {
		message := must[[]byte](b)(cbor.Marshal(request(encoded(b, 0, jobs))))
		var got cashard.ReplicateRequest
		if err := cbor.Unmarshal(message, &got); err != nil {
			b.Fatal(err)
		}
	})
}

func applyTime(b *testing.B, open int) float64 {
	s := busy(b, open)
	const jobs = 500
	records := encoded(b, open, jobs)
	return microseconds(1, func() {
		for _, r := range records {
			if err := s.Apply(r); err != nil {
				b.Fatal(err)
			}
		}
	}) / jobs
}

// archived returns the payloads of appends that hold the records of one job
// each, as at 2.5 starts a second and four appends.
func archived(b *testing.B, jobs int) [][]byte {
	b.Helper()
	var encoder calog.Encoder
	var out [][]byte
	var batch []calog.Entry
	for i, r := range encoded(b, 0, jobs) {
		index := int64(i + 1)
		id := calog.EntryID{Writer: string(shard), Sequence: index}
		batch = append(batch, calog.Entry{ID: id, Shard: shard, View: 1, Index: index, Body: r})
		if len(batch) == recordsPerJob {
			out = append(out, must[[]byte](b)(encoder.Encode(batch)))
			batch = nil
		}
	}
	return out
}

// archiveBytes counts what appends of the archive take on the wire.
func archiveBytes(b *testing.B, jobs int) float64 {
	_, bytes := archive(b, jobs)
	return float64(bytes.Load())
}

// archive is a log that holds jobs, appended as an entry does.
func archive(b *testing.B, jobs int) (caplatform.Log, *atomic.Int64) {
	b.Helper()
	l, bytes := logService(b)
	for _, body := range archived(b, jobs) {
		must[caplatform.Offset](b)(l.Append(b.Context(), "shards", [][]byte{body}))
	}
	return l, bytes
}

func archiveReadBytes(b *testing.B, jobs int) float64 {
	l, bytes := archive(b, jobs)
	before := bytes.Load()
	must[[]calog.Trace](b)(calog.Survey(b.Context(), l, "shards"))
	return float64(bytes.Load() - before)
}

func archiveReadTime(b *testing.B, jobs int) float64 {
	l, _ := archive(b, jobs)
	return microseconds(1, func() { must[[]calog.Trace](b)(calog.Survey(b.Context(), l, "shards")) })
}

func archiveHeap(b *testing.B, jobs int) float64 {
	l, _ := archive(b, jobs)
	return heapOf(func() any { return must[[]calog.Trace](b)(calog.Survey(b.Context(), l, "shards")) })
}

func snapshotBytes(b *testing.B, open int) float64 {
	return float64(len(must[[]byte](b)(busy(b, open).Snapshot())))
}

func snapshotTime(b *testing.B, open int) float64 {
	s := busy(b, open)
	return microseconds(5, func() { must[[]byte](b)(s.Snapshot()) })
}

func endedSnapshotBytes(b *testing.B, ended int) float64 {
	return float64(len(must[[]byte](b)(rested(b, ended).Snapshot())))
}
