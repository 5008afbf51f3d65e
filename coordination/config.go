package coordination

import (
	"celeryarch.example/celeryarch/internal/coord/cafollow"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// The parts of an ordered configuration.
type (
	// ConfigFollower keeps the version of a document that is in force.
	ConfigFollower = cafollow.Follower
	// ConfigOptions are the surroundings and settings of a ConfigFollower.
	ConfigOptions = cafollow.Options
	// ConfigPublisher appends changes and learns how they were decided.
	ConfigPublisher = cafollow.Publisher
	// ConfigPeers fetches snapshots from other followers.
	ConfigPeers = cafollow.Peers
	// ConfigOffer tells the version that another follower has in force.
	ConfigOffer = cafollow.Offer
	// ConfigVersion counts the accepted versions.
	ConfigVersion = cafollow.Version
	// ConfigChangeID identifies a change over repeated appends of it.
	ConfigChangeID = cafollow.ChangeID
	// ConfigChange proposes a body as the version after Base.
	ConfigChange = cafollow.Change
	// ConfigReset puts a body in force whatever the version is.
	ConfigReset = cafollow.Reset
	// ConfigResult is how a change was decided.
	ConfigResult = cafollow.Result
	// ConfigSnapshot states the version in force after a part of the log.
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

// NewConfigFollower returns a follower that starts with Run.
func NewConfigFollower(o ConfigOptions) *ConfigFollower { return cafollow.NewFollower(o) }
