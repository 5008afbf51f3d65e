package caroute

import "celeryarch.example/celeryarch/internal/base/cawork"

const (
	// retryRatio is the part of the requests that may be tried again.
	retryRatio = 0.1
	// maxBalance bounds the retries saved up for a burst.
	maxBalance = 100.0
	// maxUpstreamBudgets bounds the upstreams with a budget. Borrowed ones come and go.
	maxUpstreamBudgets = 4096
)

// budget bounds retries to a part of the requests. It starts empty, so that
// the attempts never pass 1.1 times the requests.
//
// Worked example: 20 requests add 2 to the balance, which pays for two
// retries; a third is refused until ten more requests have come.
type budget struct{ balance float64 }

func (b *budget) deposit() { b.balance = min(b.balance+retryRatio, maxBalance) }

// coversRetry tolerates the rounding error of ten deposits.
func (b *budget) coversRetry() bool { return b.balance > 1-1e-9 }

func (b *budget) withdraw() { b.balance-- }

// Budgets holds the retry budgets of teams and upstreams. That of a team bounds
// its attempts; that of an upstream bounds the retries that it gets, so that
// the failures of some upstreams do not become the overload of the others.
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

// Request accounts for the first attempt of a request.
func (b *Budgets) Request(team cawork.TeamName, up cawork.UpstreamID) {
	if len(b.upstreams) > maxUpstreamBudgets {
		clear(b.upstreams)
	}
	budgetOf(b.teams, team).deposit()
	budgetOf(b.upstreams, up).deposit()
}

// Retry reports whether a request of the team may be tried again at any of the
// upstreams, and withdraws from the budget of the team when it may.
func (b *Budgets) Retry(team cawork.TeamName, upstreams []cawork.UpstreamID) bool {
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

// Exhausted returns those of the upstreams whose budget allows no retry.
func (b *Budgets) Exhausted(upstreams []cawork.UpstreamID) []cawork.UpstreamID {
	var exhausted []cawork.UpstreamID
	for _, up := range upstreams {
		if !budgetOf(b.upstreams, up).coversRetry() {
			exhausted = append(exhausted, up)
		}
	}
	return exhausted
}

// Retried accounts for a retry that goes to the upstream.
func (b *Budgets) Retried(up cawork.UpstreamID) { budgetOf(b.upstreams, up).withdraw() }

// Forget drops the budget of an upstream.
func (b *Budgets) Forget(up cawork.UpstreamID) { delete(b.upstreams, up) }

func budgetOf[K comparable](m map[K]*budget, k K) *budget {
	b, ok := m[k]
	if !ok {
		b = &budget{}
		m[k] = b
	}
	return b
}
