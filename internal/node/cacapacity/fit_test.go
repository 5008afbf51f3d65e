package cacapacity_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/node/cacapacity"
)

func TestFit(t *testing.T) {
	got, err := cacapacity.Fit([]cacapacity.Point{{Size: 0, Cost: 0}, {Size: 1, Cost: 4}, {Size: 2, Cost: 2}})
	if err != nil {
		t.Fatal(err)
	}
	want := cacapacity.Line{Base: 1, Slope: 1, Residual: 0.5}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("line mismatch (-want +got):\n%s", diff)
	}
}

func TestFitNeedsTwoSizes(t *testing.T) {
	_, err := cacapacity.Fit([]cacapacity.Point{{Size: 1, Cost: 4}, {Size: 1, Cost: 2}})
	if diff := cmp.Diff(cakind.KindInvalid, cakind.Of(err)); diff != "" {
		t.Errorf("kind mismatch (-want +got):\n%s", diff)
	}
}
