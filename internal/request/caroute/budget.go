package caroute

import "celeryarch.example/celeryarch/internal/base/cawork"

const (
	// retryRatio is the allowed ratio of retries to requests.
	retryRatio = 0.1
	// maxBalance bounds the retries that can accumulate for a burst.
	maxBalance = 100.0
	// maxUpstreamBudgets bounds the upstreams with a budget. Upstreams with
	// borrowed slots change often, and their budgets are not removed one by one.
	maxUpstreamBudgets = 4096
)

// budget is a retry budget: it bounds retries to a fraction of the requests. It
// starts empty, so that attempts never exceed 1.1 times the requests.
//
// Worked example: 20 requests add 2 to the balance, which pays for two
// retries; a third is refused until ten more requests have arrived.
type budget struct{ balance float64 }

func (b *budget) deposit() { b.balance = min(b.balance+retryRatio, maxBalance) }

// coversRetry reports whether the balance pays for a retry. It tolerates the
// rounding error of ten deposits.
func (b *budget) coversRetry() bool { return b.balance > 1-1e-9 }

func (b *budget) withdraw() { b.balance-- }

// Budgets holds the retry budgets of teams and upstreams. The budget of a team
// bounds the retries of its requests. The budget of an upstream bounds the
// retries sent to it, so that retries after failures of some upstreams do not
// overload the others.
type Budgets struct {
	teams     map[cawork.TeamName]*budget
	upstreams map[cawork.UpstreamID]*budget
}

// NewBudgets returns empty budgets.
func NewBudgets() *Budgets {
	return &Budgets{
		teams:     map[cawork.TeamName]*budget{},
		upstreams: map[cawork.UpstreamID]*budget{},
	}
}

// RecordRequest records the first attempt of a request.
func (b *Budgets) RecordRequest(team cawork.TeamName, up cawork.UpstreamID) {
	if len(b.upstreams) > maxUpstreamBudgets {
		clear(b.upstreams)
	}
	budgetOf(b.teams, team).deposit()
	budgetOf(b.upstreams, up).deposit()
}

// AllowRetry reports whether a request of the team may be retried at any of the
// upstreams. If so, it withdraws the retry from the budget of the team.
func (b *Budgets) AllowRetry(team cawork.TeamName, upstreams []cawork.UpstreamID) bool {
	t := budgetOf(b.teams, team)
	if !t.coversRetry() || !b.anyCoversRetry(upstreams) {
		return false
	}
	t.withdraw()
	return true
}

func (b *Budgets) anyCoversRetry(upstreams []cawork.UpstreamID) bool {
	for _, up := range upstreams {
		if budgetOf(b.upstreams, up).coversRetry() {
			return true
		}
	}
	return false
}

// Exhausted returns the upstreams of the list whose budget allows no retry.
func (b *Budgets) Exhausted(upstreams []cawork.UpstreamID) []cawork.UpstreamID {
	var exhausted []cawork.UpstreamID
	for _, up := range upstreams {
		if !budgetOf(b.upstreams, up).coversRetry() {
			exhausted = append(exhausted, up)
		}
	}
	return exhausted
}

// RecordRetry withdraws a retry that is sent to the upstream from its budget.
func (b *Budgets) RecordRetry(up cawork.UpstreamID) { budgetOf(b.upstreams, up).withdraw() }

// RemoveUpstream removes the budget of an upstream.
func (b *Budgets) RemoveUpstream(up cawork.UpstreamID) { delete(b.upstreams, up) }

func budgetOf[K comparable](m map[K]*budget, k K) *budget {
	b, ok := m[k]
	if !ok {
		b = &budget{}
		m[k] = b
	}
	return b
}
