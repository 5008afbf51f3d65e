// Package cakey generates and authenticates the keys of teams. A key is shown
// once; the configuration holds only its hash.
package cakey

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"strings"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/config/cacell"
)

const (
	// keyPrefix marks keys, so that secret scanners detect leaked ones.
	keyPrefix = "cak_"
	// secretSize is the size of the random part of a key in bytes.
	secretSize = 32
	// idSize is the size of the random part of a key ID in bytes.
	idSize = 6
)

// GeneratedKey is a newly generated key. The caller sends Secret, which must be shown
// only once; the configuration stores Hash.
type GeneratedKey struct {
	ID     cacell.KeyID
	Secret string
	Hash   cacell.KeyHash
}

// Generate returns a new random key.
func Generate() GeneratedKey {
	id := make([]byte, idSize)
	secret := make([]byte, secretSize)
	// crypto/rand.Read never returns an error: it crashes the program when the
	// system has no randomness.
	_, _ = rand.Read(id)
	_, _ = rand.Read(secret)
	issued := GeneratedKey{ID: cacell.KeyID("k" + hex.EncodeToString(id))}
	issued.Secret = keyPrefix + string(issued.ID) + "_" + base64.RawURLEncoding.EncodeToString(secret)
	issued.Hash = HashOf(issued.Secret)
	return issued
}

// HashOf returns the hash of a key as stored in the configuration.
func HashOf(secret string) cacell.KeyHash {
	sum := sha256.Sum256([]byte(secret))
	return cacell.KeyHash(hex.EncodeToString(sum[:]))
}

// Principal is the team and the key ID that a key authenticates.
type Principal struct {
	Team cawork.TeamName
	Key  cacell.KeyID
}

// Keyring authenticates keys by the hashes of one version of the
// configuration. It is immutable.
type Keyring struct {
	keys map[cacell.KeyID]cacell.Key
}

// NewKeyring returns the keyring of a configuration.
func NewKeyring(c cacell.Config) *Keyring {
	r := &Keyring{keys: map[cacell.KeyID]cacell.Key{}}
	for _, k := range c.Keys() {
		r.keys[k.ID] = k
	}
	return r
}

// Authenticate returns the principal of the key, or an error of
// KindUnauthenticated that does not contain the key.
//
// The key ID inside the key selects the hash, so that the time taken does not
// grow with the number of keys. The hashes are compared in constant time.
func (r *Keyring) Authenticate(secret string) (Principal, error) {
	if secret == "" {
		return Principal{}, cakind.New(cakind.KindUnauthenticated, "a key is required: send the header Authorization: Bearer KEY")
	}
	id, ok := parseID(secret)
	if !ok {
		return Principal{}, cakind.New(cakind.KindUnauthenticated, "the key is malformed")
	}
	key, found := r.keys[id]
	match := subtle.ConstantTimeCompare([]byte(HashOf(secret)), []byte(key.Hash)) == 1
	if !found || !match {
		return Principal{}, cakind.New(cakind.KindUnauthenticated, "the key is not known")
	}
	if key.Withdrawn {
		return Principal{}, cakind.New(cakind.KindUnauthenticated, "key %s was withdrawn", id)
	}
	return Principal{Team: key.Team, Key: id}, nil
}

func parseID(secret string) (cacell.KeyID, bool) {
	rest, ok := strings.CutPrefix(secret, keyPrefix)
	if !ok {
		return "", false
	}
	id, _, ok := strings.Cut(rest, "_")
	return cacell.KeyID(id), ok && id != ""
}
