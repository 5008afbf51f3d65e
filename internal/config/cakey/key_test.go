package cakey

import (
	"fmt"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/config/cacell"
)

// configWith returns a configuration that assigns the keys to the team knit.
func configWith(t *testing.T, withdrawn bool, keys ...GeneratedKey) cacell.Config {
	t.Helper()
	var grants []string
	for _, k := range keys {
		grants = append(grants, fmt.Sprintf(`%q: {"team": "knit", "sha256": %q, "withdrawn": %v}`, k.ID, k.Hash, withdrawn))
	}
	config, err := cacell.Load(fstest.MapFS{"a.json": {Data: []byte(`{
		"zones": {"a": {"allowance_percent": 100}},
		"teams": {"knit": {"share": 1, "limit": {"processors": 1, "memory": "1GiB", "accelerators": 0}}},
		"keys": {` + strings.Join(grants, ",") + `}}`)}})
	if err != nil {
		t.Fatal(err)
	}
	return config
}

func TestAuthenticate(t *testing.T) {
	known, other, withdrawn := Generate(), Generate(), Generate()
	ring := NewKeyring(configWith(t, false, known, other))
	got, err := ring.Authenticate(known.Secret)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Principal{Team: "knit", Key: known.ID}, got); diff != "" {
		t.Error(diff)
	}
	tests := []struct {
		name   string
		ring   *Keyring
		secret string
	}{
		{"empty", ring, ""},
		{"malformed", ring, "password"},
		{"without id", ring, "cak__x"},
		{"unknown", ring, Generate().Secret},
		{"hash instead of the key", ring, string(known.Hash)},
		{"id of one, secret of another", ring, strings.Replace(known.Secret, string(known.ID), string(other.ID), 1)},
		{"truncated", ring, known.Secret[:len(known.Secret)-1]},
		{"extra character", ring, known.Secret + "A"},
		{"withdrawn", NewKeyring(configWith(t, true, withdrawn)), withdrawn.Secret},
		{"no configuration", NewKeyring(cacell.Config{}), known.Secret},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, err := test.ring.Authenticate(test.secret)
			if diff := cmp.Diff(cakind.KindUnauthenticated, cakind.Of(err)); err == nil || diff != "" {
				t.Errorf("%v %s", err, diff)
			}
			if diff := cmp.Diff(Principal{}, got); diff != "" {
				t.Error(diff)
			}
			if test.secret != "" && strings.Contains(err.Error(), test.secret) {
				t.Errorf("the error contains the key: %v", err)
			}
		})
	}
}

func TestGeneratedKeysDiffer(t *testing.T) {
	a, b := Generate(), Generate()
	if a.ID == b.ID || a.Secret == b.Secret || a.Hash == b.Hash {
		t.Errorf("%+v and %+v have a part in common", a.ID, b.ID)
	}
	if diff := cmp.Diff(HashOf(a.Secret), a.Hash); diff != "" {
		t.Error(diff)
	}
}

func BenchmarkAuthenticate(b *testing.B) {
	known := Generate()
	ring := &Keyring{keys: map[cacell.KeyID]cacell.Key{known.ID: {ID: known.ID, Team: "knit", Hash: known.Hash}}}
	for b.Loop() {
		if _, err := ring.Authenticate(known.Secret); err != nil {
			b.Fatal(err)
		}
	}
}
