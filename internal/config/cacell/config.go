// Package cacell holds the configuration of a cell: its zones, teams, keys,
// open queues and the policy for each kind of work. An open queue accepts work
// without a key.
package cacell

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"io/fs"
	"maps"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/config/cadocument"
	"celeryarch.example/celeryarch/internal/config/camerge"
)

//go:generate go tool enumer -type=UnconfirmedKeys -trimprefix=UnconfirmedKeys -transform=snake -text -output=unconfirmedkeys_names.go

// Topic is the topic of the log on which configurations are published.
const Topic = "config"

// KeyID identifies a key. It is not secret.
type KeyID string

// KeyHash is the SHA-256 hash of a key in hexadecimal digits.
type KeyHash string

// QueueName names an open queue.
type QueueName string

// UnconfirmedKeys selects how an entry handles keys while it cannot confirm
// that its configuration is the current one.
type UnconfirmedKeys int

// The ways to handle keys that cannot be confirmed.
const (
	// UnconfirmedKeysRefuse rejects new work that comes with a key before it runs.
	UnconfirmedKeysRefuse UnconfirmedKeys = iota
	// UnconfirmedKeysServe continues to use the last known keys.
	UnconfirmedKeysServe
)

// Zone is an availability zone of the cell.
type Zone struct {
	Name cawork.ZoneName
	// AllowancePercent is the percentage of each team's upper limit that is
	// allocated to the zone. The percentages of all zones add up to 100.
	AllowancePercent int
}

// Team is a team with its share weight and its upper limit.
type Team struct {
	Name  cawork.TeamName
	Share float64
	Limit Limit
}

// Key is the hash of a key and the team that it authenticates.
type Key struct {
	ID        KeyID
	Team      cawork.TeamName
	Hash      KeyHash
	Withdrawn bool
}

// Queue is an open queue: it accepts work of some kinds without a key and
// charges it to a team.
type Queue struct {
	Name  QueueName
	Team  cawork.TeamName
	Kinds []cawork.WorkKind
}

// Allows reports whether the queue accepts work of the kind.
func (q Queue) Allows(k cawork.WorkKind) bool { return slices.Contains(q.Kinds, k) }

// Policy is the policy for a kind of work.
type Policy struct {
	Kind cawork.WorkKind
	// QueueBound is the maximum number of tasks that wait for one team at one
	// entry.
	QueueBound int
	// MaxAttempts is the maximum number of attempts of a task.
	MaxAttempts int
	Placement   cawork.Placement
	// Aging is the waiting time after which the priority of work rises by one
	// step.
	Aging time.Duration
	// Reservation is the longest time for which a gang may reserve capacity
	// before it uses it. It is zero for other kinds.
	Reservation time.Duration
	// WaitBound is the longest predicted wait at which batch work is still
	// queued. Zero means no bound.
	WaitBound time.Duration
	// RefuseLate rejects batch work that is predicted to start after its deadline.
	RefuseLate bool
}

// Config is the configuration of a cell. It is immutable.
type Config struct {
	doc     document
	encoded []byte
}

// Load reads the configuration from a folder. The error lists all problems.
func Load(folder fs.FS) (Config, error) {
	node, problems := camerge.Folder(folder)
	if err := problems.Err(); err != nil {
		return Config{}, err
	}
	return FromNode(node)
}

// Decode reads a configuration from its canonical encoding.
func Decode(body []byte) (Config, error) {
	node, problems := camerge.Parse("", body)
	if err := problems.Err(); err != nil {
		return Config{}, err
	}
	return FromNode(node)
}

// FromNode reads and validates a configuration. The error lists all problems.
func FromNode(n camerge.Node) (Config, error) {
	doc := defaultDocument()
	problems := cadocument.Decode(n, &doc)
	c := Config{doc: doc}
	if len(problems) == 0 {
		problems = addPositions(c.Validate(), n)
	}
	if err := problems.Err(); err != nil {
		return Config{}, err
	}
	c.encoded = cadocument.Encode(doc)
	return c, nil
}

// Encode returns the canonical encoding. Equal configurations have equal
// encodings.
func (c Config) Encode() []byte { return slices.Clone(c.encoded) }

// Hash returns the SHA-256 hash of the canonical encoding in hexadecimal
// digits.
func (c Config) Hash() string {
	sum := sha256.Sum256(c.encoded)
	return hex.EncodeToString(sum[:])
}

// IsZero reports whether the configuration is the zero value.
func (c Config) IsZero() bool { return c.encoded == nil }

// Zones returns the zones sorted by name.
func (c Config) Zones() []Zone {
	return sortedValues(c.doc.Zones, func(n cawork.ZoneName, d zoneDocument) Zone {
		return Zone{Name: n, AllowancePercent: d.AllowancePercent}
	})
}

// ZoneNames returns the sorted names of the zones.
func (c Config) ZoneNames() []cawork.ZoneName {
	return slices.Sorted(maps.Keys(c.doc.Zones))
}

// Teams returns the teams sorted by name.
func (c Config) Teams() []Team { return sortedValues(c.doc.Teams, newTeam) }

// Team returns the team with the name.
func (c Config) Team(name cawork.TeamName) (Team, bool) {
	d, ok := c.doc.Teams[name]
	return newTeam(name, d), ok
}

func newTeam(n cawork.TeamName, d teamDocument) Team {
	return Team{Name: n, Share: d.Share, Limit: d.Limit.limit()}
}

// Keys returns the keys sorted by ID.
func (c Config) Keys() []Key {
	return sortedValues(c.doc.Keys, func(id KeyID, d keyDocument) Key {
		return Key{ID: id, Team: d.Team, Hash: d.SHA256, Withdrawn: d.Withdrawn}
	})
}

// Queues returns the open queues sorted by name.
func (c Config) Queues() []Queue { return sortedValues(c.doc.Queues, newQueue) }

// Queue returns the open queue with the name.
func (c Config) Queue(name QueueName) (Queue, bool) {
	d, ok := c.doc.Queues[name]
	return newQueue(name, d), ok
}

func newQueue(n QueueName, d queueDocument) Queue {
	return Queue{Name: n, Team: d.Team, Kinds: slices.Clone(d.Kinds)}
}

// Policy returns the policy for a kind of work.
func (c Config) Policy(kind cawork.WorkKind) Policy {
	d := c.doc.Policy[kind]
	return Policy{
		Kind:        kind,
		QueueBound:  d.QueueBound,
		MaxAttempts: d.MaxAttempts,
		Placement:   d.Placement,
		Aging:       d.Aging,
		Reservation: d.Reservation,
		WaitBound:   d.WaitBound,
		RefuseLate:  d.RefuseLate,
	}
}

// KeyFreshness returns how long keys are accepted after the configuration was
// last confirmed to be the current one.
func (c Config) KeyFreshness() time.Duration { return c.doc.KeyFreshness }

// UnconfirmedKeys returns how keys are handled once KeyFreshness has passed.
func (c Config) UnconfirmedKeys() UnconfirmedKeys { return c.doc.UnconfirmedKeys }

// ZoneAllowance returns the part of a team's upper limit that is allocated to a zone.
// The parts of all zones add up to the limit exactly.
func (c Config) ZoneAllowance(team cawork.TeamName, zone cawork.ZoneName) cawork.Resources {
	t, _ := c.Team(team)
	from := 0
	for _, z := range c.Zones() {
		to := from + z.AllowancePercent
		if z.Name == zone {
			return t.Limit.Portion(from, to)
		}
		from = to
	}
	return cawork.Resources{}
}

func sortedValues[K cmp.Ordered, D, V any](m map[K]D, build func(K, D) V) []V {
	values := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		values = append(values, build(k, m[k]))
	}
	return values
}
