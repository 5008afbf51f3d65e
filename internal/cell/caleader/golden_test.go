package caleader

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cagolden"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

// storedJob is a job with a task that was started twice and one that waits.
func storedJob() *castate.Job {
	j := castate.NewJob(caspec.Submission{ID: "0123456789abcdef", Queue: "queue", Team: "north", Steps: []caspec.Step{{Tasks: 2, CPU: 1000}}}, 1000)
	j.OpenNext().Steps[0].Tasks[0] = castate.Task{Phase: castate.TaskAssigned, Run: 2, Upstream: "up-1", Born: 7, Failures: 1, Checkpoint: "c"}
	j.Phase, j.RunOrdered, j.OverRate = castate.PhaseRunning, true, true
	j.AddFailedRun(castate.FailedRunID{Number: 1})
	return j
}

// jobWithoutCrashes is the record of a job of builds that count no crashes.
type jobWithoutCrashes struct {
	Submission      caspec.Submission     `cbor:"1,keyasint"`
	AcceptedMS      int64                 `cbor:"2,keyasint"`
	Phase           castate.Phase         `cbor:"3,keyasint,omitempty"`
	OccurrenceCount int                   `cbor:"4,keyasint,omitempty"`
	OpenOccurrences []*castate.Occurrence `cbor:"5,keyasint,omitempty"`
	RunOrdered      bool                  `cbor:"6,keyasint,omitempty"`
	OverRate        bool                  `cbor:"7,keyasint,omitempty"`
	EndedMS         int64                 `cbor:"8,keyasint,omitempty"`
	FailedRuns      []castate.FailedRunID `cbor:"9,keyasint,omitempty"`
}

// TestEarlierBuildKeepsJobButDropsMark covers a roll-back and another upgrade: the earlier build reads all
// that it knows of a job, and drops what later builds know of crashes when it stores the job. This
// build reads that, and adds the same again.
func TestEarlierBuildKeepsJobButDropsMark(t *testing.T) {
	mark := func(j *castate.Job) *castate.Job {
		j.CrashesCounted = true
		j.AddProvenRun(castate.ProvenRunID{Index: 1, Number: 4})
		return j
	}
	back := storedByEarlierBuild(t, mark(storedJob()))
	if diff := cmp.Diff(storedJob(), back); diff != "" {
		t.Errorf("job that the earlier build stored (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(mark(storedJob()), storedByThisBuild(t, mark(back))); diff != "" {
		t.Errorf("job that this build stored after it (-want +got):\n%s", diff)
	}
}

// storedByEarlierBuild returns the job as this build reads it once the earlier build has read and stored it.
func storedByEarlierBuild(t *testing.T, j *castate.Job) *castate.Job {
	t.Helper()
	value, err := j.Encode()
	if err != nil {
		t.Fatal(err)
	}
	var read jobWithoutCrashes
	if err := cbor.Unmarshal(value, &read); err != nil {
		t.Fatal(err)
	}
	if value, err = cbor.Marshal(read); err != nil {
		t.Fatal(err)
	}
	return decodedJob(t, value)
}

// storedByThisBuild returns the job as this build reads it once it has stored it.
func storedByThisBuild(t *testing.T, j *castate.Job) *castate.Job {
	t.Helper()
	value, err := j.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return decodedJob(t, value)
}

func decodedJob(t *testing.T, value []byte) *castate.Job {
	t.Helper()
	j, err := castate.DecodeJob(value)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// TestRecordsOfEarlierBuildAreRead guards against records of the log that an earlier build, which led
// before this one, stored in another form. The bytes are its own.
func TestRecordsOfEarlierBuildAreRead(t *testing.T) {
	for name, r := range map[string]struct {
		sample any
		codec  cagolden.Codec
	}{
		"claim": {
			&Claim{VM: "vm", Address: "a", Token: 7, Seq: 3, Nonce: 9, Released: true},
			cagolden.Codec{
				Encode: cbor.Marshal,
				Decode: func(data []byte) (any, error) {
					c := decodeClaim(LogEntry{Value: data})
					return &c, nil
				},
			},
		},
		"job": {
			storedJob(),
			cagolden.Codec{
				Encode: func(value any) ([]byte, error) { return value.(*castate.Job).Encode() },
				Decode: func(data []byte) (any, error) { return castate.DecodeJob(data) },
			},
		},
	} {
		if err := cagolden.Verify("testdata/before_crashes/"+name, r.sample, r.codec); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
