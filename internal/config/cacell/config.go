// Package cacell holds the configuration of a cell: its zones, teams, keys,
// queues open to all and the policy for each kind of work.
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

// KeyID identifies a key. It is no secret.
type KeyID string

// KeyHash is the SHA-256 hash of a key in hexadecimal digits.
type KeyHash string

// QueueName names a queue that is open to all.
type QueueName string

// UnconfirmedKeys tells what an entry does with keys while it cannot confirm
// that its configuration is in force.
type UnconfirmedKeys int

// The choices for keys that cannot be confirmed.
const (
	// UnconfirmedKeysRefuse refuses new keyed work as not run.
	UnconfirmedKeysRefuse UnconfirmedKeys = iota
	// UnconfirmedKeysServe goes on with the keys that were last known.
	UnconfirmedKeysServe
)

// Zone is an availability zone of the cell.
type Zone struct {
	Name cawork.ZoneName
	// AllowancePercent is the part of every upper limit that is minted in the
	// zone. The zones add up to 100.
	AllowancePercent int
}

// Team is a team with its share weight and its upper limit.
type Team struct {
	Name  cawork.TeamName
	Share float64
	Limit Limit
}

// Key is the hash of a key and the team that it stands for.
type Key struct {
	ID        KeyID
	Team      cawork.TeamName
	Hash      KeyHash
	Withdrawn bool
}

// Queue takes work of some kinds without a key and charges it to a team.
type Queue struct {
	Name  QueueName
	Team  cawork.TeamName
	Kinds []cawork.WorkKind
}

// Allows reports whether the queue takes work of the kind.
func (q Queue) Allows(k cawork.WorkKind) bool { return slices.Contains(q.Kinds, k) }

// Policy is the policy for a kind of work.
type Policy struct {
	Kind cawork.WorkKind
	// QueueBound is the most that waits for one team at one entry.
	QueueBound int
	// MaxAttempts is the most attempts that a task gets.
	MaxAttempts int
	Placement   cawork.Placement
	// Aging is the waiting time that raises work by one step in the order.
	Aging time.Duration
	// Reservation is the longest time for which a gang may hold capacity that
	// it does not use yet. It is zero for other kinds.
	Reservation time.Duration
	// WaitBound is the longest predicted wait with which batch work is queued.
	// Zero sets no bound.
	WaitBound time.Duration
	// RefuseLate refuses batch work that is predicted to start after its deadline.
	RefuseLate bool
}

// Config is the configuration of a cell. It is not changed after it is built.
type Config struct {
	doc     document
	encoded []byte
}

// Load reads the configuration of a folder. The error lists all problems.
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
		problems = locate(c.Validate(), n)
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

// Zones returns the zones in the order of their names.
func (c Config) Zones() []Zone {
	return sorted(c.doc.Zones, func(n cawork.ZoneName, d zoneDocument) Zone {
		return Zone{Name: n, AllowancePercent: d.AllowancePercent}
	})
}

// ZoneNames returns the names of the zones in order.
func (c Config) ZoneNames() []cawork.ZoneName {
	return slices.Sorted(maps.Keys(c.doc.Zones))
}

// Teams returns the teams in the order of their names.
func (c Config) Teams() []Team { return sorted(c.doc.Teams, newTeam) }

// Team returns the team of a name.
func (c Config) Team(name cawork.TeamName) (Team, bool) {
	d, ok := c.doc.Teams[name]
	return newTeam(name, d), ok
}

func newTeam(n cawork.TeamName, d teamDocument) Team {
	return Team{Name: n, Share: d.Share, Limit: d.Limit.limit()}
}

// Keys returns the keys in the order of their ids.
func (c Config) Keys() []Key {
	return sorted(c.doc.Keys, func(id KeyID, d keyDocument) Key {
		return Key{ID: id, Team: d.Team, Hash: d.SHA256, Withdrawn: d.Withdrawn}
	})
}

// Queues returns the queues open to all in the order of their names.
func (c Config) Queues() []Queue { return sorted(c.doc.Queues, newQueue) }

// Queue returns the queue of a name.
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

// KeyFreshness returns how long keys are honored after the configuration was
// last confirmed to be in force.
func (c Config) KeyFreshness() time.Duration { return c.doc.KeyFreshness }

// UnconfirmedKeys returns what to do with keys after that time.
func (c Config) UnconfirmedKeys() UnconfirmedKeys { return c.doc.UnconfirmedKeys }

// Mint returns the part of the upper limit of a team that is minted in a
// zone. The parts of all zones add up to the limit exactly.
func (c Config) Mint(team cawork.TeamName, zone cawork.ZoneName) cawork.Resources {
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

func sorted[K cmp.Ordered, D, V any](m map[K]D, build func(K, D) V) []V {
	values := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		values = append(values, build(k, m[k]))
	}
	return values
}
