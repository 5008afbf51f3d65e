package caadmit

import (
	"container/list"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

const minRetryAfter = 50 * time.Millisecond

// Ticket is a request that waits for a slot. Payload belongs to the caller.
type Ticket struct {
	Team     cawork.TeamName
	Deadline time.Time
	Payload  any

	due     time.Time
	element *list.Element
}

// Capacity describes the slots that serve the queues.
type Capacity struct {
	// Slots is the number of slots that may be used at the same time.
	Slots int
	// ServiceTime is the expected time for which a request holds a slot.
	ServiceTime time.Duration
}

type teamQueue struct {
	policy TeamPolicy
	// waiting is ordered by due time.
	waiting *list.List
	// virtualFinish is the virtual time up to which the team has been served, in
	// seconds of slot time divided by weight.
	virtualFinish float64
}

// Queues holds the waiting requests of all teams.
//
// Weighted fair queueing, worked example: teams a (weight 2) and b (weight 1)
// both wait, every request holds a slot for 1 s. Serving a advances its
// virtual time by 1/2, serving b by 1. The team with the lowest virtual time
// is next, so the order is a b a a b a a b, two of a for each of b.
type Queues struct {
	policy      Policy
	teams       map[cawork.TeamName]*teamQueue
	active      []*teamQueue
	virtualTime float64
	total       int
}

// NewQueues returns empty queues under the policy.
func NewQueues(p Policy) *Queues {
	return &Queues{policy: p, teams: map[cawork.TeamName]*teamQueue{}}
}

// SetPolicy replaces the policy. Requests that already wait stay admitted.
func (q *Queues) SetPolicy(p Policy) {
	q.policy = p
	for name, tq := range q.teams {
		tq.policy = p.ForTeam(name)
	}
}

// Len returns the number of waiting requests.
func (q *Queues) Len() int { return q.total }

// Admit adds a request to the queue of its team by due time. It refuses the
// request when the queues are full, when its expected wait exceeds the limit of
// its team, or when it is expected to end after its deadline.
func (q *Queues) Admit(now time.Time, t *Ticket, c Capacity) *Refusal {
	if err := q.Check(now, t, c); err != nil {
		return err
	}
	team := q.team(t.Team)
	q.activate(team)
	team.insert(t)
	q.total++
	return nil
}

// Check returns the refusal that Admit would return, nil for none.
func (q *Queues) Check(now time.Time, t *Ticket, c Capacity) *Refusal {
	team := q.team(t.Team)
	t.due = q.policy.due(now, t.Deadline, c.ServiceTime)
	wait := q.expectedWait(team, team.countBefore(t), c)
	if reason := q.refusalReason(now, team, t, wait, c); reason != "" {
		return &Refusal{reason: reason, retryAfter: max(wait, minRetryAfter)}
	}
	return nil
}

// Requeue adds a request that is retried to the head of the queue of its team.
// No limit applies, because the request was admitted before.
func (q *Queues) Requeue(t *Ticket) {
	team := q.team(t.Team)
	q.activate(team)
	t.element = team.waiting.PushFront(t)
	q.total++
}

// Remove takes a request out of its queue. It reports whether the request was
// still waiting.
func (q *Queues) Remove(t *Ticket) bool {
	if t.element == nil {
		return false
	}
	q.unlink(q.teams[t.Team], t)
	return true
}

// Expire removes and returns the requests whose deadline has passed.
func (q *Queues) Expire(now time.Time) []*Ticket {
	var expired []*Ticket
	for _, team := range q.active {
		for e := team.waiting.Front(); e != nil; e = e.Next() {
			if t := e.Value.(*Ticket); now.After(t.Deadline) {
				expired = append(expired, t)
			}
		}
	}
	for _, t := range expired {
		q.Remove(t)
	}
	return expired
}

// Next removes and returns the first request that accept accepts. It offers the
// first request of each team, the team with the lowest virtual time first, and
// charges the chosen team the expected slot time. It returns nil when none is
// accepted.
func (q *Queues) Next(service time.Duration, accept func(*Ticket) bool) *Ticket {
	rejected := make([]bool, len(q.active))
	for range q.active {
		i := q.leastServed(rejected)
		team := q.active[i]
		head := team.waiting.Front().Value.(*Ticket)
		if !accept(head) {
			rejected[i] = true
			continue
		}
		q.virtualTime = max(q.virtualTime, team.virtualFinish)
		team.charge(service)
		q.unlink(team, head)
		return head
	}
	return nil
}

// Charge accounts for slot time that a team used without waiting, or, when
// negative, corrects an earlier charge.
func (q *Queues) Charge(name cawork.TeamName, service time.Duration) {
	team := q.team(name)
	if team.waiting.Len() == 0 {
		team.virtualFinish = max(team.virtualFinish, q.virtualTime)
	}
	// Requests served without waiting advance the virtual time too. Otherwise a
	// team that used idle slots alone would be served late once others wait.
	if service > 0 {
		q.virtualTime = max(q.virtualTime, team.virtualFinish)
	}
	team.charge(service)
}

// RemoveIdleTeams removes the teams without waiting requests whose virtual time is not ahead
// of that of the queues.
func (q *Queues) RemoveIdleTeams() {
	for name, tq := range q.teams {
		if tq.waiting.Len() == 0 && tq.virtualFinish <= q.virtualTime {
			delete(q.teams, name)
		}
	}
}

// insertionPoint returns the last request that goes before t, nil for none, and
// the number of those behind t.
func (tq *teamQueue) insertionPoint(t *Ticket) (*list.Element, int) {
	behind := 0
	e := tq.waiting.Back()
	for e != nil && e.Value.(*Ticket).due.After(t.due) {
		e = e.Prev()
		behind++
	}
	return e, behind
}

// countBefore returns the number of requests that go before t.
func (tq *teamQueue) countBefore(t *Ticket) int {
	_, behind := tq.insertionPoint(t)
	return tq.waiting.Len() - behind
}

func (tq *teamQueue) insert(t *Ticket) {
	e, _ := tq.insertionPoint(t)
	if e == nil {
		t.element = tq.waiting.PushFront(t)
		return
	}
	t.element = tq.waiting.InsertAfter(t, e)
}

func (tq *teamQueue) charge(service time.Duration) {
	tq.virtualFinish += service.Seconds() / tq.policy.Weight
}

func (q *Queues) team(name cawork.TeamName) *teamQueue {
	tq, ok := q.teams[name]
	if !ok {
		tq = &teamQueue{policy: q.policy.ForTeam(name), waiting: list.New(), virtualFinish: q.virtualTime}
		q.teams[name] = tq
	}
	return tq
}

func (q *Queues) activate(tq *teamQueue) {
	if tq.waiting.Len() > 0 {
		return
	}
	tq.virtualFinish = max(tq.virtualFinish, q.virtualTime)
	q.active = append(q.active, tq)
}

func (q *Queues) unlink(tq *teamQueue, t *Ticket) {
	tq.waiting.Remove(t.element)
	t.element = nil
	q.total--
	if tq.waiting.Len() > 0 {
		return
	}
	for i, other := range q.active {
		if other == tq {
			q.active = append(q.active[:i], q.active[i+1:]...)
			return
		}
	}
}

func (q *Queues) leastServed(rejected []bool) int {
	best := -1
	for i, tq := range q.active {
		if rejected[i] {
			continue
		}
		if best < 0 || tq.virtualFinish < q.active[best].virtualFinish {
			best = i
		}
	}
	return best
}

func (q *Queues) refusalReason(now time.Time, team *teamQueue, t *Ticket, wait time.Duration, c Capacity) string {
	switch {
	case q.total >= q.maxTotal():
		return "the queues of the entry are full"
	case team.waiting.Len() >= team.policy.MaxQueued:
		return "the queue of the team is full"
	case wait > team.policy.MaxWait:
		return "the expected wait exceeds the limit of the team"
	case now.Add(wait + c.ServiceTime).After(t.Deadline):
		return "the request is not expected to end before its deadline"
	}
	return ""
}

func (q *Queues) maxTotal() int {
	if q.policy.MaxTotalQueued <= 0 {
		return defaultMaxTotal
	}
	return q.policy.MaxTotalQueued
}

// expectedWait estimates the wait of one more request of the team: the service
// time of the requests of the team up to it, divided by the share of the slots
// that the team has by its weight among the waiting teams.
func (q *Queues) expectedWait(team *teamQueue, ahead int, c Capacity) time.Duration {
	weights := 0.0
	for _, tq := range q.active {
		weights += tq.policy.Weight
	}
	if team.waiting.Len() == 0 {
		weights += team.policy.Weight
	}
	share := team.policy.Weight / weights
	rounds := float64(ahead+1) / (share * float64(max(c.Slots, 1)))
	return time.Duration(rounds * float64(c.ServiceTime))
}
