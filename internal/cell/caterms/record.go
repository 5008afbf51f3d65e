package caterms

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

const (
	// KeyPrefix precedes the keys of all records.
	KeyPrefix = "definition/"
	// queuePrefix and teamPrefix precede the hash of the name of a queue or a team in its key. Names may be
	// longer than keys.
	queuePrefix = KeyPrefix + "queue/"
	teamPrefix  = KeyPrefix + "team/"
)

// Record is a stored definition. A nil value removes it.
type Record struct {
	Key   string
	Value []byte
}

// definition is the value of a record: a queue or a team, and the newest version of the policy that is known to
// list it.
type definition struct {
	Version int64         `cbor:"1,keyasint"`
	Queue   *caspec.Queue `cbor:"2,keyasint,omitempty"`
	Team    *caspec.Team  `cbor:"3,keyasint,omitempty"`
}

func keyOf[N ~string](prefix string, name N) string {
	return fmt.Sprintf("%s%016x", prefix, xxhash.Sum64String(string(name)))
}

func (d definition) encode() ([]byte, error) {
	b, err := cbor.Marshal(d)
	if err != nil {
		return nil, cakind.Wrap(cakind.KindInternal, err, "encode definition")
	}
	return b, nil
}

// decode decodes the value of a record and checks that it is the one of its key.
func decode(r Record) (definition, error) {
	var d definition
	if err := cbor.Unmarshal(r.Value, &d); err != nil {
		return definition{}, cakind.Wrap(cakind.KindInvalid, err, "decode definition of %d bytes", len(r.Value))
	}
	key := ""
	switch {
	case d.Queue != nil && strings.HasPrefix(r.Key, queuePrefix):
		key, d.Team = keyOf(queuePrefix, d.Queue.Name), nil
	case d.Team != nil && strings.HasPrefix(r.Key, teamPrefix):
		key, d.Queue = keyOf(teamPrefix, d.Team.Name), nil
	}
	if key != r.Key {
		return definition{}, cakind.New(cakind.KindInvalid, "the record of key %q defines something else", r.Key)
	}
	return d, nil
}
