package caescrow

import (
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// Complete makes the maps that a decoded account lacks, because the program that
// wrote it did not have them. A team without a balance is an error of
// KindInvalid.
func (a *Account) Complete() error {
	fresh := NewAccount(a.Shard)
	a.Teams = orElse(a.Teams, fresh.Teams)
	a.Closed = orElse(a.Closed, fresh.Closed)
	a.Settled = orElse(a.Settled, fresh.Settled)
	a.Floors = orElse(a.Floors, fresh.Floors)
	a.Rebuilt = orElse(a.Rebuilt, fresh.Rebuilt)
	a.HeirOf = orElse(a.HeirOf, fresh.HeirOf)
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
