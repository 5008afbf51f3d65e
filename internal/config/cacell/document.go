package cacell

import (
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// document is the representation of a configuration in files and in the log.
type document struct {
	Zones           map[cawork.ZoneName]zoneDocument   `json:"zones"`
	Teams           map[cawork.TeamName]teamDocument   `json:"teams"`
	Keys            map[KeyID]keyDocument              `json:"keys"`
	Queues          map[QueueName]queueDocument        `json:"queues"`
	Policy          map[cawork.WorkKind]policyDocument `json:"policy"`
	KeyFreshness    time.Duration                      `json:"key_freshness"`
	UnconfirmedKeys UnconfirmedKeys                    `json:"unconfirmed_keys"`
}

type zoneDocument struct {
	AllowancePercent int `json:"allowance_percent"`
}

type teamDocument struct {
	Share float64       `json:"share"`
	Limit limitDocument `json:"limit"`
}

type limitDocument struct {
	Processors   processors   `json:"processors"`
	Memory       memory       `json:"memory"`
	Accelerators accelerators `json:"accelerators"`
}

type keyDocument struct {
	Team      cawork.TeamName `json:"team"`
	SHA256    KeyHash         `json:"sha256"`
	Withdrawn bool            `json:"withdrawn"`
}

type queueDocument struct {
	Team  cawork.TeamName   `json:"team"`
	Kinds []cawork.WorkKind `json:"kinds"`
}

type policyDocument struct {
	QueueBound  int              `json:"queue_bound"`
	MaxAttempts int              `json:"max_attempts"`
	Placement   cawork.Placement `json:"placement"`
	Aging       time.Duration    `json:"aging"`
	Reservation time.Duration    `json:"reservation"`
	WaitBound   time.Duration    `json:"wait_bound,omitzero"`
	RefuseLate  bool             `json:"refuse_late,omitzero"`
}

// defaultDocument returns the values that apply where a configuration sets
// none. The canonical encoding writes out every default, so that a program
// version with other defaults decodes the same configuration.
func defaultDocument() document {
	return document{
		Zones:  map[cawork.ZoneName]zoneDocument{},
		Teams:  map[cawork.TeamName]teamDocument{},
		Keys:   map[KeyID]keyDocument{},
		Queues: map[QueueName]queueDocument{},
		Policy: map[cawork.WorkKind]policyDocument{
			cawork.WorkKindLookup: {
				QueueBound: 512, MaxAttempts: 2, Placement: cawork.PlacementSpread, Aging: time.Second,
			},
			cawork.WorkKindBatch: {
				QueueBound: 10000, MaxAttempts: 5, Placement: cawork.PlacementPack, Aging: time.Minute,
			},
			cawork.WorkKindService: {
				QueueBound: 1000, MaxAttempts: 10, Placement: cawork.PlacementSpread, Aging: 30 * time.Second,
			},
			cawork.WorkKindGang: {
				QueueBound: 1000, MaxAttempts: 5, Placement: cawork.PlacementPack, Aging: time.Minute,
				Reservation: 2 * time.Minute,
			},
		},
		KeyFreshness:    5 * time.Second,
		UnconfirmedKeys: UnconfirmedKeysRefuse,
	}
}
