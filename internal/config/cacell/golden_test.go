package cacell

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/base/cagolden"
	"celeryarch.example/celeryarch/internal/base/cawork"
)

// contents holds all parts of a configuration.
type contents struct {
	Zones           []Zone
	Teams           []Team
	Keys            []Key
	Queues          []Queue
	Policies        []Policy
	KeyFreshness    time.Duration
	UnconfirmedKeys UnconfirmedKeys
}

func contentsOf(c Config) contents {
	parts := contents{
		Zones: c.Zones(), Teams: c.Teams(), Keys: c.Keys(), Queues: c.Queues(),
		KeyFreshness: c.KeyFreshness(), UnconfirmedKeys: c.UnconfirmedKeys(),
	}
	for _, kind := range cawork.WorkKindValues() {
		parts.Policies = append(parts.Policies, c.Policy(kind))
	}
	return parts
}

// TestEncodingMatchesGoldenFiles checks that the encoding is stable: encoded
// configurations are stored in the log and in all entries, and later program
// versions must decode them to the same values.
func TestEncodingMatchesGoldenFiles(t *testing.T) {
	for _, deployment := range []string{"haugland", "lettergrove"} {
		config, err := Load(os.DirFS(filepath.Join(examplesDir, deployment, "config")))
		if err != nil {
			t.Fatal(err)
		}
		codec := cagolden.Codec{
			Encode: func(any) ([]byte, error) { return config.Encode(), nil },
			Decode: func(data []byte) (any, error) {
				c, err := Decode(data)
				return contentsOf(c), err
			},
		}
		if err := cagolden.Verify(filepath.Join("testdata", "body_"+deployment), contentsOf(config), codec); err != nil {
			t.Errorf("%s: %v", deployment, err)
		}
	}
}
