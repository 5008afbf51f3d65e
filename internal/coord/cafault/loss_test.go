package cafault_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"celeryarch.example/celeryarch/internal/coord/camember"
)

func TestLostMessagesKillNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lossy := lan
		lossy.drop = 0.05
		c := startCell(t.Context(), 25, lossy)
		time.Sleep(20 * time.Second)
		var suspected, died atomic.Int64
		for _, p := range c.parts {
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
		c.stop()
		t.Logf("%d suspicions, %d deaths", suspected.Load(), died.Load())
		if died.Load() > 0 {
			t.Errorf("%d deaths were concluded of members that live", died.Load())
		}
	})
}
