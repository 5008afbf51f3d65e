// Package caworkload describes the work of a soak that has the shape of a firm's: teams
// with limits, queues with kinds of jobs, and an advisor that admits a part of the upstreams
// for each step. It draws jobs from a source of random numbers and finds jobs that wait
// although there is room.
package caworkload

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/tailscale/hujson"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

// queueHost is the host of all queues. The path selects the queue.
const queueHost = "soak.example"

// Workload is the work of a soak.
type Workload struct {
	// Zones is the number of availability zones of nodes and upstreams.
	Zones int `json:"zones"`
	// Upstream is the capacity of each upstream.
	Upstream Size `json:"upstream"`
	// JobsPerSecond is the mean rate of submissions for each upstream.
	JobsPerSecond float64 `json:"jobs_per_second"`
	Advisor       Advisor `json:"advisor"`
	Teams         []Team  `json:"teams"`
	Queues        []Queue `json:"queues"`
}

// Size is an amount of processors and memory.
type Size struct {
	CPU       cawork.MilliCPU `json:"cpu_milli"`
	MemoryMiB int64           `json:"memory_mib"`
}

// Resources returns the size as resources.
func (s Size) Resources() cawork.Resources {
	return cawork.Resources{CPU: s.CPU, Memory: cawork.Bytes(s.MemoryMiB) * cawork.MiB}
}

// Advisor describes how the advisor differs from what the configuration says of it.
type Advisor struct {
	// CostFactor multiplies the time that the configuration gives for a question.
	CostFactor float64 `json:"cost_factor"`
	// OneTurn means that the questions of all callers wait for each other.
	OneTurn bool `json:"one_turn"`
}

// Team is a customer, with its share of the submissions.
type Team struct {
	Name  cawork.TeamName `json:"name"`
	Key   string          `json:"key"`
	Share float64         `json:"share"`
	// Weight is the weight of the team in the configuration.
	Weight float64 `json:"weight"`
	// Limit bounds the running tasks of the team, in upstreams. Zero means no bound.
	LimitUpstreams float64 `json:"limit_upstreams"`
}

// Queue is a queue and the kind of jobs that it gets.
type Queue struct {
	Name caspec.QueueName `json:"name"`
	// Share is the share of the submissions that go to the queue.
	Share       float64  `json:"share"`
	Priority    int      `json:"priority"`
	MaxAttempts int      `json:"max_attempts"`
	Stretch     float64  `json:"stretch"`
	TargetMS    int64    `json:"target_ms"`
	Approval    Approval `json:"approval"`
	Jobs        Kind     `json:"jobs"`
}

// Approval describes how the advisor handles a question about a step of a queue.
type Approval struct {
	FixedMS       float64 `json:"fixed_ms"`
	PerUpstreamMS float64 `json:"per_upstream_ms"`
	ValidMS       int64   `json:"valid_ms"`
	// ApprovedShare is the share of the upstreams that may run a step.
	ApprovedShare float64 `json:"approved_share"`
}

// Spec returns the approval as the configuration describes it.
func (a Approval) Spec() caspec.Approval {
	return caspec.Approval{
		FixedCost: milliseconds(a.FixedMS), CostPerUpstream: milliseconds(a.PerUpstreamMS), Validity: milliseconds(float64(a.ValidMS)),
	}
}

// Actual returns the approval with the costs that the advisor really has.
func (a Advisor) Actual(spec caspec.Approval) caspec.Approval {
	spec.FixedCost = time.Duration(float64(spec.FixedCost) * a.CostFactor)
	spec.CostPerUpstream = time.Duration(float64(spec.CostPerUpstream) * a.CostFactor)
	return spec
}

func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// Parse reads a workload from JSON with comments. It rejects fields that it does not know.
func Parse(name string, data []byte) (Workload, error) {
	plain, err := hujson.Standardize(data)
	if err != nil {
		return Workload{}, cakind.Wrap(cakind.KindInvalid, err, "parse %s", name)
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	w := Workload{Advisor: Advisor{CostFactor: 1}}
	if err := decoder.Decode(&w); err != nil {
		return Workload{}, cakind.Wrap(cakind.KindInvalid, err, "decode %s", name)
	}
	if problem := w.problem(); problem != "" {
		return Workload{}, cakind.New(cakind.KindInvalid, "%s: %s", name, problem)
	}
	return w, nil
}

// problem returns what makes the workload unusable, or an empty string.
func (w Workload) problem() string {
	switch {
	case w.Zones < 1 || w.JobsPerSecond <= 0 || w.Advisor.CostFactor <= 0:
		return "zones, jobs_per_second and cost_factor must be positive"
	case w.Upstream.CPU <= 0 || w.Upstream.MemoryMiB <= 0:
		return "the upstreams have no capacity"
	case totalShare(w.Teams, Team.share) <= 0 || totalShare(w.Queues, Queue.share) <= 0:
		return "the shares of the teams and of the queues must have a positive sum"
	}
	for _, q := range w.Queues {
		if problem := q.Jobs.problem(); problem != "" {
			return fmt.Sprintf("queue %s: %s", q.Name, problem)
		}
	}
	return ""
}

func (t Team) share() float64  { return t.Share }
func (q Queue) share() float64 { return q.Share }

// Spec returns the queue as the configuration describes it.
func (q Queue) Spec(pool caspec.PoolName) caspec.Queue {
	approval := q.Approval.Spec()
	return caspec.Queue{
		Name: q.Name, Host: queueHost, Prefix: "/" + string(q.Name) + "/", Pool: pool, Priority: q.Priority, MaxAttempts: q.MaxAttempts,
		Stretch: q.Stretch, TargetLatency: milliseconds(float64(q.TargetMS)), Approval: &approval,
	}
}

// Policy returns the configuration for a pool.
func (w Workload) Policy(version int64, pool caspec.PoolName) caspec.Policy {
	p := caspec.Policy{Version: version, Pools: []caspec.Pool{{Name: pool}}}
	for _, q := range w.Queues {
		p.Queues = append(p.Queues, q.Spec(pool))
	}
	for _, t := range w.Teams {
		p.Teams = append(p.Teams, caspec.Team{Name: t.Name, Weight: t.Weight, Keys: []string{t.Key}, Limit: w.LimitOf(t)})
	}
	return p
}

// LimitOf returns the limit of a team.
func (w Workload) LimitOf(t Team) cawork.Resources {
	return cawork.Resources{
		CPU:    cawork.MilliCPU(float64(w.Upstream.CPU) * t.LimitUpstreams),
		Memory: cawork.Bytes(float64(w.Upstream.Resources().Memory) * t.LimitUpstreams),
	}
}

// WithLimitFactor returns the workload with the limit of a team multiplied.
func (w Workload) WithLimitFactor(team int, factor float64) Workload {
	w.Teams = append([]Team(nil), w.Teams...)
	w.Teams[team].LimitUpstreams *= factor
	return w
}

// WithAdvisor returns the workload with another advisor.
func (w Workload) WithAdvisor(a Advisor) Workload {
	w.Advisor = a
	return w
}
