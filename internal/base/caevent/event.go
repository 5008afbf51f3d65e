// Package caevent defines the numbered events that the system logs. A test
// checks that docs/EVENTS.md lists every number.
package caevent

import (
	"github.com/rs/zerolog"
)

//go:generate go tool enumer -type=Number -transform=snake -output=event_names.go

// Number identifies a type of event. Numbers are never reused.
type Number int

// The events. The hundreds digit gives the area: 1xx process, 2xx configuration,
// 3xx membership and ownership, 4xx placement, 5xx requests, 6xx shards and
// limits, 7xx platform. 404 and 605 were never logged and stay unused.
const (
	EntryStarted       Number = 100
	EntryStopping      Number = 101
	EntryStopped       Number = 102
	PartFailed         Number = 103
	StandinStarted     Number = 104
	LinesDropped       Number = 105
	SettingsReloaded   Number = 106
	PanicCaught        Number = 107
	ProcessorBusy      Number = 108
	CallersDrained     Number = 109
	CallersLimited     Number = 110
	ConfigApplied      Number = 200
	ConfigRefused      Number = 201
	ConfigConflict     Number = 202
	ConfigSnapshot     Number = 203
	KeyRefused         Number = 204
	MemberChanged      Number = 300
	OwnershipGained    Number = 301
	OwnershipLost      Number = 302
	OwnershipReleased  Number = 303
	UpstreamListed     Number = 304
	UpstreamUnlisted   Number = 305
	MemberForeign      Number = 306
	FormatInForce      Number = 307
	LayoutKnown        Number = 308
	AgentChosen        Number = 309
	AgentLost          Number = 310
	LeadershipYielded  Number = 311
	UpstreamReborn     Number = 312
	EntryCutOff        Number = 313
	ZoneDrained        Number = 314
	ZoneEmpty          Number = 315
	LeaderBusy         Number = 316
	JobAccepted        Number = 400
	JobRefused         Number = 401
	TaskPlaced         Number = 402
	TaskEnded          Number = 403
	TaskAdopted        Number = 405
	TaskStopped        Number = 406
	JobEnded           Number = 407
	StartFailed        Number = 408
	JobHandedOver      Number = 409
	InvariantBroken    Number = 410
	TaskLapsed         Number = 411
	StepApproved       Number = 412
	UpstreamReached    Number = 413
	AdvisorUnavailable Number = 414
	StepWaits          Number = 415
	ReportUnreadable   Number = 416
	UpstreamDoubted    Number = 417
	TaskCopied         Number = 418
	UpstreamCrashed    Number = 419
	JobGivenUp         Number = 420
	TaskMoved          Number = 421
	ApprovalOverdue    Number = 422
	RecordHeld         Number = 423
	RecordReleased     Number = 424
	ApprovalsAwaited   Number = 425
	StepLacksRoom      Number = 426
	PoolLost           Number = 427
	PoolRegained       Number = 428
	StartsHeldBack     Number = 429
	StartsResumed      Number = 430
	RunTimesLearned    Number = 431
	QueueRemoved       Number = 432
	QueueEnded         Number = 433
	TeamRemoved        Number = 434
	RequestRouted      Number = 500
	RequestRefused     Number = 501
	RequestAnswered    Number = 502
	RequestRetried     Number = 503
	UpstreamEjected    Number = 504
	UpstreamRestored   Number = 505
	CallWaited         Number = 506
	CancelWaited       Number = 507
	JobSought          Number = 508
	ShardTakenOver     Number = 600
	ShardViewChanged   Number = 601
	ShardDeposed       Number = 602
	AllowanceMoved     Number = 603
	AllowanceMinted    Number = 604
	ShardRebuilt       Number = 606
	AllowanceInherited Number = 607
	RecordLater        Number = 608
	LogUnavailable     Number = 700
	LogRestored        Number = 701
	VMListUnavailable  Number = 702
	AppendSlow         Number = 703
)

// Log starts a log line for event n at the given level. The caller adds fields
// and writes the line with Send.
func Log(l zerolog.Logger, level zerolog.Level, n Number) *zerolog.Event {
	return l.WithLevel(level).Int("event", int(n)).Str("name", n.String())
}

// Info starts a log line for event n at level info.
func Info(l zerolog.Logger, n Number) *zerolog.Event { return Log(l, zerolog.InfoLevel, n) }

// Warn starts a log line for event n at level warn.
func Warn(l zerolog.Logger, n Number) *zerolog.Event { return Log(l, zerolog.WarnLevel, n) }
