package caspec

import (
	"slices"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// ZoneDrains are the availability zones that operators have drained: no run starts there
// until the zone is taken back. What runs there goes on. The zero value drains no zone.
type ZoneDrains struct {
	// Position is the end of the operators' records up to which they were read. The
	// drains with the higher position are the newer ones.
	Position int64 `cbor:"1,keyasint,omitempty"`
	// Zones are the drained zones, sorted and without duplicates.
	Zones []cawork.ZoneName `cbor:"2,keyasint,omitempty"`
}

// WithPosition returns the drains as of a later position.
func (d ZoneDrains) WithPosition(position int64) ZoneDrains {
	d.Position = position
	return d
}

// WithZone returns the drains with the zone drained.
func (d ZoneDrains) WithZone(zone cawork.ZoneName) ZoneDrains {
	at, found := slices.BinarySearch(d.Zones, zone)
	if found {
		return d
	}
	d.Zones = slices.Insert(slices.Clone(d.Zones), at, zone)
	return d
}

// WithoutZone returns the drains with the zone taken back.
func (d ZoneDrains) WithoutZone(zone cawork.ZoneName) ZoneDrains {
	at, found := slices.BinarySearch(d.Zones, zone)
	if !found {
		return d
	}
	d.Zones = slices.Delete(slices.Clone(d.Zones), at, at+1)
	return d
}

// Contains reports whether the zone is drained.
func (d ZoneDrains) Contains(zone cawork.ZoneName) bool {
	_, found := slices.BinarySearch(d.Zones, zone)
	return found
}
