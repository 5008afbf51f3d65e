package cacell

import (
	"encoding/hex"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/config/camerge"
	"celeryarch.example/celeryarch/internal/config/caproblem"
)

const (
	// wholePercent is what the allowances of all zones add up to.
	wholePercent = 100
	// maxNameLength is the longest name of a zone, team, key or queue in bytes.
	maxNameLength = 63
	// minKeyFreshness leaves entries the time to confirm their configuration.
	minKeyFreshness = 5 * time.Second
)

// validator collects the problems of a configuration.
type validator struct {
	config   Config
	problems caproblem.List
}

func (v *validator) refuse(path, format string, args ...any) {
	v.problems = append(v.problems, caproblem.Problem{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// Validate returns all problems of the configuration in a fixed order.
func (c Config) Validate() caproblem.List {
	v := &validator{config: c}
	v.zones()
	v.teams()
	v.keys()
	v.queues()
	for _, kind := range cawork.WorkKindValues() {
		v.policy(c.Policy(kind))
	}
	if c.KeyFreshness() < minKeyFreshness {
		v.refuse("key_freshness", "%s is below the least, %s", c.KeyFreshness(), minKeyFreshness)
	}
	return v.problems
}

// locate gives each problem the place of its path in the document.
func locate(problems caproblem.List, n camerge.Node) caproblem.List {
	for i, p := range problems {
		problems[i].At = n.Find(strings.Split(p.Path, ".")...).At
	}
	return problems
}

func (v *validator) name(path, name string) {
	if name == "" || len(name) > maxNameLength {
		v.refuse(path, "a name has 1 to %d characters", maxNameLength)
		return
	}
	for _, r := range name {
		if !strings.ContainsRune("abcdefghijklmnopqrstuvwxyz0123456789-_", r) {
			v.refuse(path, "a name has only the characters a-z, 0-9, - and _")
			return
		}
	}
}

func (v *validator) zones() {
	if len(v.config.doc.Zones) == 0 {
		v.refuse("zones", "at least one zone is needed")
		return
	}
	sum := 0
	for _, z := range v.config.Zones() {
		path := "zones." + string(z.Name)
		v.name(path, string(z.Name))
		if z.AllowancePercent < 0 || z.AllowancePercent > wholePercent {
			v.refuse(path+".allowance_percent", "%d is not between 0 and %d", z.AllowancePercent, wholePercent)
		}
		sum += z.AllowancePercent
	}
	if sum != wholePercent {
		v.refuse("zones", "allowance_percent of all zones adds up to %d, not %d", sum, wholePercent)
	}
}

func (v *validator) teams() {
	if len(v.config.doc.Teams) == 0 {
		v.refuse("teams", "at least one team is needed")
	}
	for _, t := range v.config.Teams() {
		path := "teams." + string(t.Name)
		v.name(path, string(t.Name))
		if !(t.Share > 0) || math.IsInf(t.Share, 0) {
			v.refuse(path+".share", "must be a number above 0")
		}
		v.limit(path+".limit", v.config.doc.Teams[t.Name].Limit)
	}
}

func (v *validator) limit(path string, d limitDocument) {
	v.given(path+".processors", d.Processors.bound)
	v.given(path+".memory", d.Memory.bound)
	v.given(path+".accelerators", d.Accelerators.bound)
}

func (v *validator) given(path string, b bound) {
	if !b.given {
		v.refuse(path, `is missing; write "unlimited" where there is no limit`)
	}
}

func (v *validator) team(path string, name cawork.TeamName) {
	if name == "" {
		v.refuse(path, "is missing")
		return
	}
	if _, ok := v.config.Team(name); !ok {
		v.refuse(path, "team %q does not exist", name)
	}
}

func (v *validator) keys() {
	holders := map[KeyHash]KeyID{}
	for _, k := range v.config.Keys() {
		path := "keys." + string(k.ID)
		v.name(path, string(k.ID))
		v.team(path+".team", k.Team)
		digest, err := hex.DecodeString(string(k.Hash))
		if err != nil || len(digest) != 32 || strings.ToLower(string(k.Hash)) != string(k.Hash) {
			v.refuse(path+".sha256", "must be 64 hexadecimal digits in lower case")
			continue
		}
		if other, ok := holders[k.Hash]; ok {
			v.refuse(path+".sha256", "is the hash of key %q too", other)
		}
		holders[k.Hash] = k.ID
	}
}

func (v *validator) queues() {
	for _, q := range v.config.Queues() {
		path := "queues." + string(q.Name)
		v.name(path, string(q.Name))
		v.team(path+".team", q.Team)
		if len(q.Kinds) == 0 {
			v.refuse(path+".kinds", "at least one kind of work is needed")
		}
		for i, k := range q.Kinds {
			if slices.Contains(q.Kinds[:i], k) {
				v.refuse(path+".kinds", "%s stands twice", k)
			}
		}
	}
}

func (v *validator) policy(p Policy) {
	path := "policy." + p.Kind.String()
	if p.QueueBound < 1 {
		v.refuse(path+".queue_bound", "must be at least 1")
	}
	if p.MaxAttempts < 1 {
		v.refuse(path+".max_attempts", "must be at least 1")
	}
	if p.Aging <= 0 {
		v.refuse(path+".aging", "must be more than 0s")
	}
	if p.Reservation < 0 {
		v.refuse(path+".reservation", "must not be below 0s")
	}
	if p.Reservation > 0 && p.Kind != cawork.WorkKindGang {
		v.refuse(path+".reservation", "only gang work reserves capacity")
	}
	if p.WaitBound < 0 {
		v.refuse(path+".wait_bound", "must not be below 0s")
	}
	if p.WaitBound > 0 && p.Kind != cawork.WorkKindBatch {
		v.refuse(path+".wait_bound", "only batch work is refused by its predicted wait")
	}
	if p.RefuseLate && p.Kind != cawork.WorkKindBatch {
		v.refuse(path+".refuse_late", "only batch work is refused by its predicted wait")
	}
}
