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
	// Service is the expected time for which a request holds a slot.
	Service time.Duration
}

type teamQueue struct {
	policy TeamPolicy
	// waiting is ordered by the time at which the requests are due.
	waiting *list.List
	// finish is the virtual time up to which the team has been served, in
	// seconds of slot time divided by weight.
	finish float64
}

// Queues holds the waiting requests of all teams.
//
// Weighted fair queueing, worked example: teams a (weight 2) and b (weight 1)
// both wait, every request holds a slot for 1 s. Serving a advances its
// virtual time by 1/2, serving b by 1. The team with the lowest virtual time
// is next, so the order is a b a a b a a b, two of a for each of b.
type Queues struct {
	policy  Policy
	teams   map[cawork.TeamName]*teamQueue
	active  []*teamQueue
	virtual float64
	total   int
}

// NewQueues returns empty queues under the policy.
func NewQueues(p Policy) *Queues {
	return &Queues{policy: p, teams: map[cawork.TeamName]*teamQueue{}}
}

// SetPolicy replaces the policy. Requests that wait already stay.
func (q *Queues) SetPolicy(p Policy) {
	q.policy = p
	for name, t := range q.teams {
		t.policy = p.Of(name)
	}
}

// Len returns the number of waiting requests.
func (q *Queues) Len() int { return q.total }

// Admit adds a request to the queue of its team, in the order of the times at
// which requests are due. It refuses when the queues are full, or when the
// request is expected to wait beyond its deadline or the bound of its team.
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

// Check returns the refusal that Admit would give, nil for none.
func (q *Queues) Check(now time.Time, t *Ticket, c Capacity) *Refusal {
	team := q.team(t.Team)
	t.due = q.policy.due(now, t.Deadline, c.Service)
	wait := q.expectedWait(team, team.before(t), c)
	if reason := q.refusal(now, team, t, wait, c); reason != "" {
		return &Refusal{reason: reason, retryAfter: max(wait, minRetryAfter)}
	}
	return nil
}

// Readmit adds a request that is tried again to the head of the queue of its
// team. Its place is not bounded, because the request was admitted before.
func (q *Queues) Readmit(t *Ticket) {
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
	var over []*Ticket
	for _, team := range q.active {
		for e := team.waiting.Front(); e != nil; e = e.Next() {
			if t := e.Value.(*Ticket); now.After(t.Deadline) {
				over = append(over, t)
			}
		}
	}
	for _, t := range over {
		q.Remove(t)
	}
	return over
}

// Next removes and returns the first request that take accepts, asking for
// the head of each team in the order of weighted fairness, and charges the
// team the expected slot time. It returns nil when no head is accepted.
func (q *Queues) Next(service time.Duration, take func(*Ticket) bool) *Ticket {
	tried := make([]bool, len(q.active))
	for range q.active {
		i := q.leastServed(tried)
		team := q.active[i]
		head := team.waiting.Front().Value.(*Ticket)
		if !take(head) {
			tried[i] = true
			continue
		}
		q.virtual = max(q.virtual, team.finish)
		team.charge(service)
		q.unlink(team, head)
		return head
	}
	return nil
}

// Charge accounts for slot time that a team got without waiting, or, when
// negative, corrects a former charge.
func (q *Queues) Charge(name cawork.TeamName, service time.Duration) {
	team := q.team(name)
	if team.waiting.Len() == 0 {
		team.finish = max(team.finish, q.virtual)
	}
	// The virtual time follows requests served without waiting too. Otherwise
	// a team that used an idle cell alone would pay for it later.
	if service > 0 {
		q.virtual = max(q.virtual, team.finish)
	}
	team.charge(service)
}

// Idle forgets the teams that wait for nothing and are owed nothing.
func (q *Queues) Idle() {
	for name, t := range q.teams {
		if t.waiting.Len() == 0 && t.finish <= q.virtual {
			delete(q.teams, name)
		}
	}
}

// last returns the last request that goes before k, nil for none, and the
// number of those behind k.
func (t *teamQueue) last(k *Ticket) (*list.Element, int) {
	behind := 0
	e := t.waiting.Back()
	for e != nil && e.Value.(*Ticket).due.After(k.due) {
		e = e.Prev()
		behind++
	}
	return e, behind
}

// before returns the number of requests that go before k.
func (t *teamQueue) before(k *Ticket) int {
	_, behind := t.last(k)
	return t.waiting.Len() - behind
}

func (t *teamQueue) insert(k *Ticket) {
	e, _ := t.last(k)
	if e == nil {
		k.element = t.waiting.PushFront(k)
		return
	}
	k.element = t.waiting.InsertAfter(k, e)
}

func (t *teamQueue) charge(service time.Duration) {
	t.finish += service.Seconds() / t.policy.Weight
}

func (q *Queues) team(name cawork.TeamName) *teamQueue {
	t, ok := q.teams[name]
	if !ok {
		t = &teamQueue{policy: q.policy.Of(name), waiting: list.New(), finish: q.virtual}
		q.teams[name] = t
	}
	return t
}

func (q *Queues) activate(t *teamQueue) {
	if t.waiting.Len() > 0 {
		return
	}
	t.finish = max(t.finish, q.virtual)
	q.active = append(q.active, t)
}

func (q *Queues) unlink(t *teamQueue, k *Ticket) {
	t.waiting.Remove(k.element)
	k.element = nil
	q.total--
	if t.waiting.Len() > 0 {
		return
	}
	for i, o := range q.active {
		if o == t {
			q.active = append(q.active[:i], q.active[i+1:]...)
			return
		}
	}
}

func (q *Queues) leastServed(tried []bool) int {
	best := -1
	for i, t := range q.active {
		if tried[i] {
			continue
		}
		if best < 0 || t.finish < q.active[best].finish {
			best = i
		}
	}
	return best
}

func (q *Queues) refusal(now time.Time, team *teamQueue, t *Ticket, wait time.Duration, c Capacity) string {
	switch {
	case q.total >= q.maxTotal():
		return "the queues of the entry are full"
	case team.waiting.Len() >= team.policy.MaxQueued:
		return "the queue of the team is full"
	case wait > team.policy.MaxWait:
		return "the expected wait is beyond the bound of the team"
	case now.Add(wait + c.Service).After(t.Deadline):
		return "the request is not expected to end before its deadline"
	}
	return ""
}

func (q *Queues) maxTotal() int {
	if q.policy.MaxTotal <= 0 {
		return defaultMaxTotal
	}
	return q.policy.MaxTotal
}

// expectedWait estimates the wait of one more request of the team: the
// requests of the team before it, divided by the part of the slots that the
// weight of the team buys among the waiting teams.
func (q *Queues) expectedWait(team *teamQueue, before int, c Capacity) time.Duration {
	weights := 0.0
	for _, t := range q.active {
		weights += t.policy.Weight
	}
	if team.waiting.Len() == 0 {
		weights += team.policy.Weight
	}
	share := team.policy.Weight / weights
	rounds := float64(before+1) / (share * float64(max(c.Slots, 1)))
	return time.Duration(rounds * float64(c.Service))
}
