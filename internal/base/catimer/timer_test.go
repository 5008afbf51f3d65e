package catimer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/catimer"
)

func TestEveryTicksOncePerPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sub := catimer.NewService().Every(time.Second)
		defer sub.Close()
		start := time.Now()
		<-sub.C
		<-sub.C
		if diff := cmp.Diff(2*time.Second, time.Since(start)); diff != "" {
			t.Errorf("time of two ticks mismatch (-want +got):\n%s", diff)
		}
	})
}

func TestDriftingServiceRunsFast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := catimer.NewDriftingService(2)
		serviceStart := s.Now()
		sub := s.After(10 * time.Second)
		defer sub.Close()
		systemStart := time.Now()
		<-sub.C
		if diff := cmp.Diff(5*time.Second, time.Since(systemStart)); diff != "" {
			t.Errorf("system time mismatch (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(10*time.Second, s.Now().Sub(serviceStart)); diff != "" {
			t.Errorf("service time mismatch (-want +got):\n%s", diff)
		}
	})
}
