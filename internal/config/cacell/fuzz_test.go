package cacell

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// FuzzDecode checks that no input makes Decode panic, and that encoding an
// accepted configuration, decoding it and encoding it again gives equal bytes.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(zonesFile))
	f.Add([]byte(`{"zones": {"a": {"allowance_percent": 100}}, "teams": {"t": {"share": 1e300,
		"limit": {"processors": 0.001, "memory": "unlimited", "accelerators": 9}}},
		"queues": {"q": {"team": "t", "kinds": ["gang"]}}, "policy": {"gang": {"aging": "1h"}}}`))
	f.Add([]byte(`{"keys": {"": {"withdrawn": null}}, "unconfirmed_keys": "Refuse"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := Decode(body)
		if err != nil {
			return
		}
		decoded, err := Decode(c.Encode())
		if err != nil {
			t.Fatalf("%s: %v", c.Encode(), err)
		}
		if diff := cmp.Diff(string(c.Encode()), string(decoded.Encode())); diff != "" {
			t.Fatal(diff)
		}
	})
}
