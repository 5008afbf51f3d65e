// Package cakey generates the keys of teams and checks them. A key is shown
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
	// keyPrefix marks a key, so that scanners find one that leaked.
	keyPrefix = "cak_"
	// secretSize is the size of the random part of a key in bytes.
	secretSize = 32
	// idSize is the size of the random part of a key id in bytes.
	idSize = 6
)

// Issued is a key that was just generated. Secret is what the caller presents
// and must be shown only once; Hash is what the configuration keeps.
type Issued struct {
	ID     cacell.KeyID
	Secret string
	Hash   cacell.KeyHash
}

// Generate returns a new random key.
func Generate() Issued {
	id := make([]byte, idSize)
	secret := make([]byte, secretSize)
	// crypto/rand.Read never fails: it ends the program when the system has no
	// randomness.
	_, _ = rand.Read(id)
	_, _ = rand.Read(secret)
	n := Issued{ID: cacell.KeyID("k" + hex.EncodeToString(id))}
	n.Secret = keyPrefix + string(n.ID) + "_" + base64.RawURLEncoding.EncodeToString(secret)
	n.Hash = HashOf(n.Secret)
	return n
}

// HashOf returns the hash of a key as the configuration keeps it.
func HashOf(secret string) cacell.KeyHash {
	sum := sha256.Sum256([]byte(secret))
	return cacell.KeyHash(hex.EncodeToString(sum[:]))
}

// Principal is who a key stands for.
type Principal struct {
	Team cawork.TeamName
	Key  cacell.KeyID
}

// Keyring checks keys against the hashes of one version of the configuration.
// It is not changed after it is built.
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

// Authenticate returns who the key stands for, or an error of
// KindUnauthenticated that does not repeat the key.
//
// The key id inside the key selects the hash, so that the time taken does not
// grow with the number of keys. The hashes are compared in constant time.
func (r *Keyring) Authenticate(secret string) (Principal, error) {
	if secret == "" {
		return Principal{}, cakind.New(cakind.KindUnauthenticated, "a key is required: send the header Authorization: Bearer KEY")
	}
	id, ok := idOf(secret)
	if !ok {
		return Principal{}, cakind.New(cakind.KindUnauthenticated, "the key is malformed")
	}
	key, known := r.keys[id]
	match := subtle.ConstantTimeCompare([]byte(HashOf(secret)), []byte(key.Hash)) == 1
	if !known || !match {
		return Principal{}, cakind.New(cakind.KindUnauthenticated, "the key is not known")
	}
	if key.Withdrawn {
		return Principal{}, cakind.New(cakind.KindUnauthenticated, "key %s was withdrawn", id)
	}
	return Principal{Team: key.Team, Key: id}, nil
}

func idOf(secret string) (cacell.KeyID, bool) {
	rest, ok := strings.CutPrefix(secret, keyPrefix)
	if !ok {
		return "", false
	}
	id, _, ok := strings.Cut(rest, "_")
	return cacell.KeyID(id), ok && id != ""
}
