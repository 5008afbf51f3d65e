package cafault_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"celeryarch.example/celeryarch/internal/coord/camember"
)

// TestMessageLossCausesNoFalseDeaths guards against failure detection that declares
// live members dead when 5% of the messages are lost.
func TestMessageLossCausesNoFalseDeaths(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lossy := lan
		lossy.drop = 0.05
		g := startMemberGroup(t.Context(), 25, lossy)
		time.Sleep(20 * time.Second)
		var suspected, died atomic.Int64
		for _, p := range g.memberships {
			changes := p.Subscribe()
			go func() {
				for e := range changes.C {
					switch e.Cause {
					case camember.CauseSuspected:
						suspected.Add(1)
					case camember.CauseDied:
						died.Add(1)
					default:
					}
				}
			}()
		}
		time.Sleep(2 * time.Minute)
		g.stop()
		t.Logf("%d suspicions, %d deaths", suspected.Load(), died.Load())
		if died.Load() > 0 {
			t.Errorf("live members were declared dead %d times", died.Load())
		}
	})
}
