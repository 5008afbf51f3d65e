package castate_test

import (
	"testing"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

func testJob() *castate.Job {
	return castate.NewJob(caspec.Submission{
		ID: "0123456789abcdef", Steps: []caspec.Step{{Tasks: 2}, {Tasks: 1, After: []int{0}}},
	}, 1000)
}

// TestDecodeJobRejectsInconsistentRecords guards against out-of-range accesses:
// each record is valid CBOR, but has a missing ID or occurrence, an unknown phase,
// or indexes and lengths that disagree with the steps of the job.
func TestDecodeJobRejectsInconsistentRecords(t *testing.T) {
	tests := []struct {
		name    string
		corrupt func(j *castate.Job)
	}{
		{"one step too many", func(j *castate.Job) {
			j.OpenOccurrences[0].Steps = append(j.OpenOccurrences[0].Steps, castate.StepState{})
		}},
		{"one step too few", func(j *castate.Job) { j.OpenOccurrences[0].Steps = j.OpenOccurrences[0].Steps[:1] }},
		{"one task too few", func(j *castate.Job) { j.OpenOccurrences[0].Steps[0].Tasks = j.OpenOccurrences[0].Steps[0].Tasks[:1] }},
		{"unknown job phase", func(j *castate.Job) { j.Phase = 99 }},
		{"unknown task phase", func(j *castate.Job) { j.OpenOccurrences[0].Steps[0].Tasks[1].Phase = -4 }},
		{"nil occurrence", func(j *castate.Job) { j.OpenOccurrences[0] = nil }},
		{"dependency on a step that does not exist", func(j *castate.Job) { j.Submission.Steps[0].After = []int{7} }},
		{"empty ID", func(j *castate.Job) { j.Submission.ID = "" }},
	}
	for _, test := range tests {
		j := testJob()
		j.OpenNext()
		test.corrupt(j)
		b, err := j.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := castate.DecodeJob(b); cakind.Of(err) != cakind.KindInvalid || err == nil {
			t.Errorf("%s: error %v, want one of KindInvalid", test.name, err)
		}
	}
}

// TestDecodeJobAcceptsEncodedJobs guards against checks that reject valid records:
// those of queued, open, canceled and cleared jobs.
func TestDecodeJobAcceptsEncodedJobs(t *testing.T) {
	ended := testJob()
	ended.End(castate.PhaseCompleted, 2000)
	ended.ClearDetails()
	open := testJob()
	open.OpenNext()
	canceled := testJob()
	canceled.OpenNext()
	canceled.End(castate.PhaseCanceled, 2000)
	for _, j := range []*castate.Job{testJob(), open, canceled, ended} {
		b, err := j.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := castate.DecodeJob(b); err != nil {
			t.Errorf("record of a job in phase %v: %v", j.Phase, err)
		}
	}
}

// FuzzDecodeJob guards against records that decode, but make IsReady panic.
func FuzzDecodeJob(f *testing.F) {
	j := testJob()
	j.OpenNext()
	b, err := j.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		j, err := castate.DecodeJob(b)
		if err != nil {
			return
		}
		for _, o := range j.OpenOccurrences {
			for i := range o.Steps {
				j.IsReady(o, i)
			}
		}
	})
}
