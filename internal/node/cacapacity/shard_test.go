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
	startTime = time.Unix(1_764_800_000, 0).UTC()
	jobCounts = []int{100, 1000, 10_000}
)

var shardMeasurements = []measurement{
	{"records of jobs", "bytes", []int{1, 16, 128}, recordBytes},
	{"replication of jobs in one message", "bytes", []int{1, 16, 128}, replicateBytes},
	{"one heartbeat to a backup", "bytes", []int{1, 2, 3}, replicaHeartbeatBytes},
	{"one job (4 records) applied beside so many open", "us", jobCounts, applyTime},
	{"one job (4 records) encoded and sent to a backup", "us", []int{1, 16, 128}, replicateTime},
	{"jobs in the archive of the log", "bytes", []int{1, 16, 128}, archiveBytes},
	{"survey of the archive of jobs", "bytes", jobCounts, archiveReadBytes},
	{"survey of the archive of jobs with its service", "us", jobCounts, archiveReadTime},
	{"heap of a survey of the archive of jobs", "bytes", jobCounts, archiveHeap},
	{"snapshot of open jobs", "bytes", jobCounts, snapshotBytes},
	{"snapshot of open jobs", "us", jobCounts, snapshotTime},
	{"snapshot of ended jobs", "bytes", []int{100, 1000, 4000}, endedSnapshotBytes},
}

func acceptedJob(i int) (cawork.JobID, cajob.Record) {
	id := cawork.JobID(fmt.Sprintf("%s.%d", shard, i))
	job := cawork.Job{ID: id, Team: "nordtrikot", Accepted: startTime, Spec: cawork.JobSpec{
		Kind: cawork.WorkKindBatch, Tasks: 1, MaxAttempts: 5, Idempotent: true, RunTime: time.Minute,
		Size:    cawork.Resources{CPU: cawork.Cores(1), Memory: cawork.GiB},
		Payload: make([]byte, 256),
	}}
	return id, cajob.Record{Type: cajob.RecordJobAccepted, At: startTime, JobAccepted: &cajob.JobAccepted{Job: job, Key: "key-" + string(id)}}
}

// jobRecords returns the records of a completed job that has one task and a
// payload of 256 bytes.
func jobRecords(i int) []cajob.Record {
	id, first := acceptedJob(i)
	attempt := cawork.AttemptID(string(id) + ".0.1")
	intent := cajob.Intent{
		Attempt: attempt, Task: cawork.TaskRef{Job: id}, Upstream: cawork.UpstreamID(fmt.Sprintf("upstream-%04d", i%910)), View: 1,
	}
	return []cajob.Record{
		first,
		{Type: cajob.RecordAttemptsIntended, At: startTime, AttemptsIntended: &cajob.AttemptsIntended{Attempts: []cajob.Intent{intent}}},
		{Type: cajob.RecordAttemptSettled, At: startTime, AttemptSettled: &cajob.AttemptSettled{
			Attempt: attempt, State: cawork.TaskStateDone, Observed: true,
		}},
		{Type: cajob.RecordJobEnded, At: startTime, JobEnded: &cajob.JobEnded{Job: id, Outcome: cawork.OutcomeDone}},
	}
}

func encodedRecords(b *testing.B, from, jobs int) [][]byte {
	b.Helper()
	var out [][]byte
	for i := range jobs {
		for _, r := range jobRecords(from + i) {
			out = append(out, must[[]byte](b)(r.Encode()))
		}
	}
	return out
}

// stateOfOpenJobs returns a state with open jobs, each with a running attempt.
func stateOfOpenJobs(b *testing.B, open int) *cajob.State {
	b.Helper()
	s := cajob.NewState(shard, cajob.DefaultRetention())
	for i := range open {
		for _, r := range jobRecords(i)[:2] {
			apply(b, s, r)
		}
	}
	return s
}

// stateOfEndedJobs returns a state with ended jobs.
func stateOfEndedJobs(b *testing.B, ended int) *cajob.State {
	b.Helper()
	s := cajob.NewState(shard, cajob.DefaultRetention())
	for i := range ended {
		for _, r := range jobRecords(i) {
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

func totalBytes(records [][]byte) float64 {
	sum := 0
	for _, r := range records {
		sum += len(r)
	}
	return float64(sum)
}

func recordBytes(b *testing.B, jobs int) float64 { return totalBytes(encodedRecords(b, 0, jobs)) }

func replicateRequest(records [][]byte) cashard.ReplicateRequest {
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

func roundTripBytes(b *testing.B, r cashard.ReplicateRequest) float64 {
	b.Helper()
	out := must[[]byte](b)(cbor.Marshal(r))
	reply := must[[]byte](b)(cbor.Marshal(cashard.ReplicateReply{Adopted: 1, Last: 1000}))
	return float64(len(out) + len(reply))
}

func replicateBytes(b *testing.B, jobs int) float64 {
	return roundTripBytes(b, replicateRequest(encodedRecords(b, 0, jobs)))
}

func replicaHeartbeatBytes(b *testing.B, shards int) float64 {
	return float64(shards) * roundTripBytes(b, replicateRequest(nil))
}

func replicateTime(b *testing.B, jobs int) float64 {
	return cpuMicroseconds(20_000/jobs/10+1, func() {
		message := must[[]byte](b)(cbor.Marshal(replicateRequest(encodedRecords(b, 0, jobs))))
		var got cashard.ReplicateRequest
		if err := cbor.Unmarshal(message, &got); err != nil {
			b.Fatal(err)
		}
	})
}

func applyTime(b *testing.B, open int) float64 {
	s := stateOfOpenJobs(b, open)
	const jobs = 500
	records := encodedRecords(b, open, jobs)
	return cpuMicroseconds(1, func() {
		for _, r := range records {
			if err := s.Apply(r); err != nil {
				b.Fatal(err)
			}
		}
	}) / jobs
}

// archivePayloads returns the payloads of appends to the log. Each holds the
// records of one job, as with 2.5 job starts and four appends a second.
func archivePayloads(b *testing.B, jobs int) [][]byte {
	b.Helper()
	var encoder calog.Encoder
	var out [][]byte
	var batch []calog.Entry
	for i, r := range encodedRecords(b, 0, jobs) {
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

// archiveBytes measures the bytes that appends of the archive transfer.
func archiveBytes(b *testing.B, jobs int) float64 {
	_, bytes := newArchive(b, jobs)
	return float64(bytes.Load())
}

// newArchive returns a log with the records of jobs, appended in the same way as
// by an entry, and the counter of bytes of its client.
func newArchive(b *testing.B, jobs int) (caplatform.Log, *atomic.Int64) {
	b.Helper()
	l, bytes := logClient(b)
	for _, body := range archivePayloads(b, jobs) {
		must[caplatform.Offset](b)(l.Append(b.Context(), "shards", [][]byte{body}))
	}
	return l, bytes
}

func archiveReadBytes(b *testing.B, jobs int) float64 {
	l, bytes := newArchive(b, jobs)
	before := bytes.Load()
	must[[]calog.ShardSummary](b)(calog.ScanShards(b.Context(), l, "shards"))
	return float64(bytes.Load() - before)
}

func archiveReadTime(b *testing.B, jobs int) float64 {
	l, _ := newArchive(b, jobs)
	return cpuMicroseconds(1, func() { must[[]calog.ShardSummary](b)(calog.ScanShards(b.Context(), l, "shards")) })
}

func archiveHeap(b *testing.B, jobs int) float64 {
	l, _ := newArchive(b, jobs)
	return heapOf(func() any { return must[[]calog.ShardSummary](b)(calog.ScanShards(b.Context(), l, "shards")) })
}

func snapshotBytes(b *testing.B, open int) float64 {
	return float64(len(must[[]byte](b)(stateOfOpenJobs(b, open).Snapshot())))
}

func snapshotTime(b *testing.B, open int) float64 {
	s := stateOfOpenJobs(b, open)
	return cpuMicroseconds(5, func() { must[[]byte](b)(s.Snapshot()) })
}

func endedSnapshotBytes(b *testing.B, ended int) float64 {
	return float64(len(must[[]byte](b)(stateOfEndedJobs(b, ended).Snapshot())))
}
