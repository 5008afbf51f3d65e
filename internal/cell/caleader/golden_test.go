package caleader

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

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
