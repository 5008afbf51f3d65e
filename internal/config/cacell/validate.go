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
	// wholePercent is the required sum of the allowances of all zones.
	wholePercent = 100
	// maxNameLength is the maximum length in bytes of the name of a zone, team,
	// key or queue.
	maxNameLength = 63
	// minKeyFreshness gives entries enough time to confirm their configuration.
	minKeyFreshness = 5 * time.Second
)

// validator collects the problems of a configuration.
type validator struct {
	config   Config
	problems caproblem.List
}

func (v *validator) reportf(path, format string, args ...any) {
	v.problems = append(v.problems, caproblem.Problem{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// Validate returns all problems of the configuration in a deterministic order.
func (c Config) Validate() caproblem.List {
	v := &validator{config: c}
	v.checkZones()
	v.checkTeams()
	v.checkKeys()
	v.checkQueues()
	for _, kind := range cawork.WorkKindValues() {
		v.checkPolicy(c.Policy(kind))
	}
	if c.KeyFreshness() < minKeyFreshness {
		v.reportf("key_freshness", "%s is below the minimum, %s", c.KeyFreshness(), minKeyFreshness)
	}
	return v.problems
}

// addPositions sets the position of each problem to that of its path in the
// document.
func addPositions(problems caproblem.List, n camerge.Node) caproblem.List {
	for i, p := range problems {
		problems[i].At = n.Find(strings.Split(p.Path, ".")...).Position
	}
	return problems
}

func (v *validator) checkName(path, name string) {
	if name == "" || len(name) > maxNameLength {
		v.reportf(path, "a name has 1 to %d characters", maxNameLength)
		return
	}
	for _, r := range name {
		if !strings.ContainsRune("abcdefghijklmnopqrstuvwxyz0123456789-_", r) {
			v.reportf(path, "a name has only the characters a-z, 0-9, - and _")
			return
		}
	}
}

func (v *validator) checkZones() {
	if len(v.config.doc.Zones) == 0 {
		v.reportf("zones", "at least one zone is needed")
		return
	}
	sum := 0
	for _, z := range v.config.Zones() {
		path := "zones." + string(z.Name)
		v.checkName(path, string(z.Name))
		if z.AllowancePercent < 0 || z.AllowancePercent > wholePercent {
			v.reportf(path+".allowance_percent", "%d is not between 0 and %d", z.AllowancePercent, wholePercent)
		}
		sum += z.AllowancePercent
	}
	if sum != wholePercent {
		v.reportf("zones", "allowance_percent of all zones adds up to %d, not %d", sum, wholePercent)
	}
}

func (v *validator) checkTeams() {
	if len(v.config.doc.Teams) == 0 {
		v.reportf("teams", "at least one team is needed")
	}
	for _, t := range v.config.Teams() {
		path := "teams." + string(t.Name)
		v.checkName(path, string(t.Name))
		if !(t.Share > 0) || math.IsInf(t.Share, 0) {
			v.reportf(path+".share", "must be a number above 0")
		}
		v.checkLimit(path+".limit", v.config.doc.Teams[t.Name].Limit)
	}
}

func (v *validator) checkLimit(path string, d limitDocument) {
	v.requirePresent(path+".processors", d.Processors.dimension)
	v.requirePresent(path+".memory", d.Memory.dimension)
	v.requirePresent(path+".accelerators", d.Accelerators.dimension)
}

func (v *validator) requirePresent(path string, d dimension) {
	if !d.present {
		v.reportf(path, `is missing; write "unlimited" for no limit`)
	}
}

func (v *validator) checkTeam(path string, name cawork.TeamName) {
	if name == "" {
		v.reportf(path, "is missing")
		return
	}
	if _, ok := v.config.Team(name); !ok {
		v.reportf(path, "team %q does not exist", name)
	}
}

func (v *validator) checkKeys() {
	idByHash := map[KeyHash]KeyID{}
	for _, k := range v.config.Keys() {
		path := "keys." + string(k.ID)
		v.checkName(path, string(k.ID))
		v.checkTeam(path+".team", k.Team)
		digest, err := hex.DecodeString(string(k.Hash))
		if err != nil || len(digest) != 32 || strings.ToLower(string(k.Hash)) != string(k.Hash) {
			v.reportf(path+".sha256", "must be 64 hexadecimal digits in lower case")
			continue
		}
		if other, ok := idByHash[k.Hash]; ok {
			v.reportf(path+".sha256", "is also the hash of key %q", other)
		}
		idByHash[k.Hash] = k.ID
	}
}

func (v *validator) checkQueues() {
	for _, q := range v.config.Queues() {
		path := "queues." + string(q.Name)
		v.checkName(path, string(q.Name))
		v.checkTeam(path+".team", q.Team)
		if len(q.Kinds) == 0 {
			v.reportf(path+".kinds", "at least one kind of work is needed")
		}
		for i, k := range q.Kinds {
			if slices.Contains(q.Kinds[:i], k) {
				v.reportf(path+".kinds", "%s is listed twice", k)
			}
		}
	}
}

func (v *validator) checkPolicy(p Policy) {
	path := "policy." + p.Kind.String()
	if p.QueueBound < 1 {
		v.reportf(path+".queue_bound", "must be at least 1")
	}
	if p.MaxAttempts < 1 {
		v.reportf(path+".max_attempts", "must be at least 1")
	}
	if p.Aging <= 0 {
		v.reportf(path+".aging", "must be more than 0s")
	}
	if p.Reservation < 0 {
		v.reportf(path+".reservation", "must not be negative")
	}
	if p.Reservation > 0 && p.Kind != cawork.WorkKindGang {
		v.reportf(path+".reservation", "only gang work reserves capacity")
	}
	if p.WaitBound < 0 {
		v.reportf(path+".wait_bound", "must not be negative")
	}
	if p.WaitBound > 0 && p.Kind != cawork.WorkKindBatch {
		v.reportf(path+".wait_bound", "only batch work can be refused because of its predicted wait")
	}
	if p.RefuseLate && p.Kind != cawork.WorkKindBatch {
		v.reportf(path+".refuse_late", "only batch work can be refused because of its predicted wait")
	}
}
