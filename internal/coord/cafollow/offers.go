package cafollow

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

const (
	// offerLifetime is how long an offer counts after it was last made.
	offerLifetime = 30 * time.Second
	// fetchesPerPeriod bounds the fetches between two polls.
	fetchesPerPeriod = 3
)

// offerBook holds the versions that peers offer, and picks whom to ask.
type offerBook struct {
	offers map[cawork.VMID]standingOffer
	// turn counts the peers that were asked.
	turn int
	// budget is the number of fetches left until the next poll.
	budget int
}

// standingOffer is an offer with the time when it was made and the turn in
// which its peer was last asked.
type standingOffer struct {
	Offer
	made  time.Time
	asked int
}

func newOfferBook() offerBook {
	return offerBook{offers: map[cawork.VMID]standingOffer{}, budget: fetchesPerPeriod}
}

func (b *offerBook) note(o Offer, now time.Time) {
	s := b.offers[o.VM]
	s.Offer, s.made = o, now
	b.offers[o.VM] = s
}

// startPeriod drops old offers and allows fetches again.
func (b *offerBook) startPeriod(now time.Time) {
	b.budget = fetchesPerPeriod
	for vm, o := range b.offers {
		if now.Sub(o.made) > offerLifetime {
			delete(b.offers, vm)
		}
	}
}

// next takes the peer to ask among those that offer at least the version: the
// one asked least recently, so that a peer that cannot help does not keep the
// others from being asked.
func (b *offerBook) next(least Version) (Offer, bool) {
	var best standingOffer
	for _, o := range b.offers {
		if o.Version >= least && (best.VM == "" || o.before(best)) {
			best = o
		}
	}
	if best.VM == "" || b.budget == 0 {
		return Offer{}, false
	}
	b.budget--
	b.turn++
	best.asked = b.turn
	b.offers[best.VM] = best
	return best.Offer, true
}

func (o standingOffer) before(other standingOffer) bool {
	switch {
	case o.asked != other.asked:
		return o.asked < other.asked
	case o.Version != other.Version:
		return o.Version > other.Version
	default:
		return o.VM < other.VM
	}
}
