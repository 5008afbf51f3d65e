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

// TestRecordsThatContradictThemselves holds records that decode and would lead
// outside of the lists of a job.
func TestRecordsThatContradictThemselves(t *testing.T) {
	tests := []struct {
		name string
		make func(j *castate.Job)
	}{
		{"a step too many", func(j *castate.Job) { j.Open[0].Steps = append(j.Open[0].Steps, castate.StepState{}) }},
		{"a step too few", func(j *castate.Job) { j.Open[0].Steps = j.Open[0].Steps[:1] }},
		{"a task too few", func(j *castate.Job) { j.Open[0].Steps[0].Tasks = j.Open[0].Steps[0].Tasks[:1] }},
		{"a phase that is not known", func(j *castate.Job) { j.Phase = 99 }},
		{"a phase of a task that is not known", func(j *castate.Job) { j.Open[0].Steps[0].Tasks[1].Phase = -4 }},
		{"no occurrence", func(j *castate.Job) { j.Open[0] = nil }},
		{"a step after a later one", func(j *castate.Job) { j.Submission.Steps[0].After = []int{7} }},
		{"no id", func(j *castate.Job) { j.Submission.ID = "" }},
	}
	for _, test := range tests {
		j := testJob()
		j.OpenNext()
		test.make(j)
		b, err := j.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := castate.DecodeJob(b); cakind.Of(err) != cakind.KindInvalid || err == nil {
			t.Errorf("%s: error %v, want one of KindInvalid", test.name, err)
		}
	}
}

func TestRecordsOfAllPhasesAreRead(t *testing.T) {
	ended := testJob()
	ended.End(castate.PhaseCompleted, 2000)
	ended.Forget()
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
		for _, o := range j.Open {
			for i := range o.Steps {
				j.IsReady(o, i)
			}
		}
	})
}
