package calayout

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// policyOf returns a policy whose teams have one key each.
func policyOf(keyOfTeam map[string]string) caspec.Policy {
	var p caspec.Policy
	for name, key := range keyOfTeam {
		p.Teams = append(p.Teams, caspec.Team{Name: cawork.TeamName(name), Keys: []string{key}})
	}
	return p.WithIndex()
}

// TestShardsOfKeyNeverChange guards against a request that arrives again and goes to another shard than before, whatever
// versions do to names and keys, and against a leader that fails on what it has stored.
func TestShardsOfKeyNeverChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := rapid.SampledFrom([]Layout{Even(3, nil), Compute(350, 8, 1, teams(60, 5, 4, 3))}).Draw(t, "layout")
		shards := make(map[caspec.KeyID][]int)
		for now := range int64(30) {
			p := caspec.Policy{}
			for _, key := range rapid.Permutation([]string{"a", "b", "c", "d", "e"}).Draw(t, "keys")[:4] {
				name := rapid.SampledFrom([]string{"team-00", "team-01", "team-02", "x", "y"}).Draw(t, "name")
				p.Teams = append(p.Teams, caspec.Team{Name: cawork.TeamName(name), Keys: []string{key}})
			}
			next, _ := l.WithPolicy(p.WithIndex(), now)
			record, err := next.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if l, err = Decode(record); err != nil {
				t.Fatal(err)
			}
			for id, tenure := range l.Keys {
				if before, ok := shards[id]; ok && !cmp.Equal(before, tenure.Shards) {
					t.Fatalf("shards of key %v: %v, before %v", id, tenure.Shards, before)
				}
				shards[id] = tenure.Shards
			}
		}
	})
}

// TestUnlistedKeysEnd guards against a layout that grows with each key and each name that was ever listed.
func TestUnlistedKeysEnd(t *testing.T) {
	l := Compute(350, 8, 1, nil)
	const minute = 60_000
	now := int64(minute)
	for i := range 3 * maxUnlistedKeys {
		now += minute
		l, _ = l.WithPolicy(policyOf(map[string]string{"team": fmt.Sprint("key-", i), fmt.Sprint("renamed-", i): "fixed"}), now)
	}
	fixed := l.Keys[caspec.KeyIDOf("fixed")]
	if diff := cmp.Diff([]int{maxUnlistedKeys + 2, maxTeamsOfKey}, []int{len(l.Keys), len(fixed.Teams)}); diff != "" {
		t.Errorf("keys, and teams of one that is renamed (-want +got):\n%s", diff)
	}
	if len(l.Teams) > maxUnlistedTeams+maxTeamsOfKey+2 {
		t.Errorf("%d teams are kept", len(l.Teams))
	}
	l, _ = l.WithPolicy(policyOf(map[string]string{"team": "last"}), now)
	l, _ = l.WithPolicy(policyOf(map[string]string{"team": "last"}), now+keyRetention.Milliseconds()+1)
	if diff := cmp.Diff(1, len(l.Keys)); diff != "" {
		t.Errorf("keys once the others have ended (-want +got):\n%s", diff)
	}
	if _, changed := l.WithPolicy(policyOf(map[string]string{"team": "last"}), now+2*keyRetention.Milliseconds()); changed {
		t.Error("the layout changes though the keys do not")
	}
}

// layoutWithoutKeys is the record of builds that know no keys.
type layoutWithoutKeys struct {
	Shards  int                       `cbor:"1,keyasint,omitempty"`
	Teams   map[cawork.TeamName][]int `cbor:"2,keyasint,omitempty"`
	Weights []float64                 `cbor:"3,keyasint,omitempty"`
}

// TestEarlierBuildFindsRenamedTeam guards against entries of the build before that send a renamed team to another shard
// than those of this build, in an update and in a roll-back. That build reads the record and never writes it again.
func TestEarlierBuildFindsRenamedTeam(t *testing.T) {
	earlier := Compute(350, 8, 1, teams(60, 5, 4, 3))
	l, _ := earlier.WithPolicy(policyOf(map[string]string{"team-01": "k1", "team-02": "k2"}), 1)
	l, _ = l.WithPolicy(policyOf(map[string]string{"renamed": "k1", "team-01": "k2"}), 2)
	record, err := l.Encode()
	if err != nil {
		t.Fatal(err)
	}
	var read layoutWithoutKeys
	if err := cbor.Unmarshal(record, &read); err != nil {
		t.Fatal(err)
	}
	back := Layout{Shards: read.Shards, Teams: read.Teams, Weights: read.Weights}
	for name, key := range map[cawork.TeamName]string{"renamed": "k1", "team-01": "k2"} {
		want, _ := l.shardsOfCaller(caspec.Caller{Team: name, Key: caspec.KeyIDOf(key)})
		if diff := cmp.Diff(want, back.ShardsOf(name)); diff != "" {
			t.Errorf("shards of %s for the earlier build (-want +got):\n%s", name, diff)
		}
	}
	again, err := Decode(record)
	if diff := cmp.Diff(l, again, cmpopts.EquateEmpty()); err != nil || diff != "" {
		t.Errorf("layout as this build reads it afterwards, error %v (-want +got):\n%s", err, diff)
	}
}

// TestLimitOfMergedTeamIsDivided guards against a team that may run its whole upper limit in each shard that its keys have.
func TestLimitOfMergedTeamIsDivided(t *testing.T) {
	l, _ := Even(3, []cawork.TeamName{"a", "b"}).WithPolicy(policyOf(map[string]string{"a": "ka", "b": "kb"}), 1)
	merged := caspec.Team{Name: "c", Keys: []string{"ka", "kb"}, Limit: cawork.Resources{CPU: 1000}}
	p := l.ShardPolicy(caspec.Policy{Version: 2, Teams: []caspec.Team{merged}}.WithIndex())
	if diff := cmp.Diff(cawork.MilliCPU(500), p.Teams[0].Limit.CPU); diff != "" {
		t.Errorf("limit in each of two shards (-want +got):\n%s", diff)
	}
}
