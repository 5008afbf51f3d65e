// Package caview bounds how old what a leader has read may be when it starts runs by it. Where the
// reads of a leader take long, as behind a full link, it does not know in time which upstreams and
// zones drain and which policy is in force. It then starts nothing rather than by an outdated view.
package caview

import "time"

const (
	// minDeliveryTime is the shortest time that a start is expected to take to its upstream.
	minDeliveryTime = 300 * time.Millisecond
	// maxDeliveryShare is the largest fraction of a bound that the delivery of a start takes up.
	// Where starts take longer, they are given up.
	maxDeliveryShare = 0.5
	// zoneDeliveryTime is how long a start in a drained zone may be on its way.
	zoneDeliveryTime = time.Second
)

// Bounds are the longest times after a change within which a run may still start without regard to
// it. Zero means that there is no bound.
type Bounds struct {
	// ZoneDrain is that of a zone that an operator drains, and UpstreamDrain that of an upstream
	// that reports that it drains.
	ZoneDrain, UpstreamDrain time.Duration
	// Policy is that of a change of the policy.
	Policy time.Duration
	// Stretch is added to ZoneDrain and Policy while the store fails.
	Stretch time.Duration
}

// RecordsValidUntil returns until when runs may be started by the records of operators, whose
// reading began at readAt, and zero if they may for ever.
func (b Bounds) RecordsValidUntil(readAt time.Time, storeFails bool) time.Time {
	stretch := time.Duration(0)
	if storeFails {
		stretch = b.Stretch
	}
	var until time.Time
	if b.ZoneDrain > 0 {
		until = readAt.Add(max(b.ZoneDrain+stretch-zoneDeliveryTime, 0))
	}
	if b.Policy > 0 {
		byPolicy := ValidUntil(readAt, b.Policy+stretch, minDeliveryTime)
		if until.IsZero() || byPolicy.Before(until) {
			until = byPolicy
		}
	}
	return until
}

// ValidUntil returns until when runs may be started by what was read at readAt, where starts must
// arrive within the bound of that and take the delivery time.
func ValidUntil(readAt time.Time, bound, delivery time.Duration) time.Time {
	delivery = min(max(delivery, minDeliveryTime), time.Duration(maxDeliveryShare*float64(bound)))
	return readAt.Add(bound - delivery)
}
