package caadmit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/request/caadmit"
)

// BenchmarkAging offers 1.2 times the capacity of 8 slots for a minute of
// simulated time. One request in ten has a deadline of 100 ms, the others of
// 30 s. With an aging of 1 ns requests go in the order of their arrival.
func BenchmarkAging(b *testing.B) {
	const slots, service, short = 8, 10 * time.Millisecond, 100 * time.Millisecond
	for _, aging := range []time.Duration{1, 500 * time.Millisecond, time.Second} {
		b.Run(aging.String(), func(b *testing.B) {
			for b.Loop() {
				q := caadmit.NewQueues(caadmit.DefaultPolicy().WithAging(aging))
				rng := rand.New(rand.NewPCG(7, 7))
				var offered, done [2]int
				arrival := start
				for now := start; now.Before(start.Add(time.Minute)); now = now.Add(service / slots) {
					for !arrival.After(now) {
						ticket := &caadmit.Ticket{Team: "a", Deadline: arrival.Add(30 * time.Second), Payload: 0}
						if rng.IntN(10) == 0 {
							ticket.Deadline, ticket.Payload = arrival.Add(short), 1
						}
						offered[ticket.Payload.(int)]++
						_ = q.Admit(now, ticket, caadmit.Capacity{Slots: slots, ServiceTime: service})
						arrival = arrival.Add(time.Duration(rng.ExpFloat64() / 1.2 * float64(service/slots)))
					}
					q.Expire(now.Add(service))
					if ticket := q.Next(service, acceptAny); ticket != nil {
						done[ticket.Payload.(int)]++
					}
				}
				b.ReportMetric(float64(done[1])/float64(offered[1]), "short-done/offered")
				b.ReportMetric(float64(done[0])/float64(offered[0]), "long-done/offered")
				b.ReportMetric(float64(done[0]+done[1])/(60*slots/service.Seconds()), "goodput/capacity")
			}
		})
	}
}
