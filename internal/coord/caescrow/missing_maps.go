package caescrow

import (
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// AddMissingMaps adds the maps that a decoded account lacks because an earlier program
// version wrote it. A team without a balance is an error of KindInvalid.
func (a *Account) AddMissingMaps() error {
	empty := NewAccount(a.Shard)
	a.Teams = orElse(a.Teams, empty.Teams)
	a.Closed = orElse(a.Closed, empty.Closed)
	a.Settled = orElse(a.Settled, empty.Settled)
	a.Floors = orElse(a.Floors, empty.Floors)
	a.Rebuilt = orElse(a.Rebuilt, empty.Rebuilt)
	a.HeirOf = orElse(a.HeirOf, empty.HeirOf)
	for team, b := range a.Teams {
		if b == nil {
			return cakind.New(cakind.KindInvalid, "team %s has no balance", team)
		}
		b.Received = orElse(b.Received, map[cawork.ShardID]Counter{})
		b.Sent = orElse(b.Sent, map[cawork.ShardID]Counter{})
		b.Acked = orElse(b.Acked, map[cawork.ShardID]int64{})
	}
	return nil
}

func orElse[K comparable, V any](m, fallback map[K]V) map[K]V {
	if m == nil {
		return fallback
	}
	return m
}
