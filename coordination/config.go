package coordination

import (
	"celeryarch.example/celeryarch/internal/coord/cafollow"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// Types of an ordered configuration.
type (
	// ConfigFollower tracks the version of a document that is in force.
	ConfigFollower = cafollow.Follower
	// ConfigOptions are the dependencies and settings of a ConfigFollower.
	ConfigOptions = cafollow.Options
	// ConfigPublisher appends changes and waits for their results.
	ConfigPublisher = cafollow.Publisher
	// ConfigPeers fetches snapshots from other followers.
	ConfigPeers = cafollow.Peers
	// ConfigOffer announces the version that is in force at another follower.
	ConfigOffer = cafollow.Offer
	// ConfigVersion is the number of an accepted version, counted from 1.
	ConfigVersion = cafollow.Version
	// ConfigChangeID identifies a change that may be appended more than once.
	ConfigChangeID = cafollow.ChangeID
	// ConfigChange proposes a body as the version after Base.
	ConfigChange = cafollow.Change
	// ConfigReset puts a body in force regardless of the current version.
	ConfigReset = cafollow.Reset
	// ConfigResult tells whether a change was accepted.
	ConfigResult = cafollow.Result
	// ConfigSnapshot is the version in force at an offset of the log.
	ConfigSnapshot = cafollow.Snapshot
	// ConfigDigest is the hash of a body.
	ConfigDigest = cafollow.Digest
	// Log is an append-only log with topics.
	Log = caplatform.Log
	// LogOffset is a position in a topic of a Log.
	LogOffset = caplatform.Offset
	// LogRecord is one record of a topic.
	LogRecord = caplatform.Record
	// LogPage is the result of a read.
	LogPage = caplatform.Page
)

// NewConfigFollower returns a follower. Its Run method must be called.
func NewConfigFollower(o ConfigOptions) *ConfigFollower { return cafollow.NewFollower(o) }
